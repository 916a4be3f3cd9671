//! Seeds for the random number generators of the decision code.

use rand::TryRng;
use rand::rngs::SysRng;

/// Returns a random seed from the operating system.
///
/// # Panics
///
/// If the operating system provides no random numbers.
pub fn seed_from_system() -> u64 {
    SysRng
        .try_next_u64()
        .expect("the operating system provides random numbers")
}
