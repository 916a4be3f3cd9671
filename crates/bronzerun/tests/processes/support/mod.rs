//! A fleet of processes, callers, and what can go wrong between them.

mod caller;
mod endpoint;
mod fleet;
mod process;
mod raw;
mod relay;

pub use caller::{Caller, Reply, RunningStream, Web, expected_text};
pub use endpoint::Endpoint;
pub use fleet::{API_KEY, Fleet, FleetShape, GroupView, weddings_text};
pub use process::Process;
pub use raw::{Recorder, exchange};
pub use relay::Relay;

use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for a condition; far above what any needs.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(90);
/// Pause between two looks at a condition.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// Waits until a look finds something.
pub fn wait_for<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < deadline, "waited in vain: {what}");
        thread::sleep(LOOK_PAUSE);
    }
}

/// Waits until a condition holds.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    wait_for(what, || holds().then_some(()));
}
