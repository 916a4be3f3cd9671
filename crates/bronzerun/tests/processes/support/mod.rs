//! Test support: a fleet of processes, callers, and faults between them.

mod caller;
mod endpoint;
mod fleet;
mod process;
mod proxy;
mod raw;
mod refusing;

pub use caller::{Caller, HttpClient, Reply, RunningStream, expected_text};
pub use endpoint::FakeEndpoint;
pub use fleet::{API_KEY, Fleet, FleetSpec, GroupView, weddings_text};
pub use process::Process;
pub use proxy::TcpProxy;
pub use raw::{Recorder, exchange};
pub use refusing::{RefusalSpec, RefusingEndpoint};

use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for a condition; far longer than any condition takes.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(90);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls until the closure returns a value.
pub fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(Instant::now() < deadline, "timed out waiting: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Waits until a condition holds.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    wait_for(what, || holds().then_some(()));
}
