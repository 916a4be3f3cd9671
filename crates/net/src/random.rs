//! Seeds for the generators that decision states hold.

use rand::TryRng;
use rand::rngs::SysRng;

/// Seed from the operating system.
///
/// # Panics
///
/// If the operating system has no random numbers to give.
pub fn seed_from_system() -> u64 {
    SysRng
        .try_next_u64()
        .expect("the operating system gives random numbers")
}
