//! Reads of a store that is silent for a while.

use base::prelude::*;
use watch::commands::{observe, start_due_reads};
use watch::{WatchEffect, WatchEvent, WatchState, WatchTimes};

/// Time that a call waits for its response.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which changes must be known.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(3);

#[test]
fn lists_that_a_silent_store_did_not_answer_are_read_within_three_seconds_of_its_return() {
    let failures = [
        WatchEvent::HostsRead(None),
        WatchEvent::DrainsRead(None),
        WatchEvent::FabricsRead(None),
        WatchEvent::DocumentRead(None),
    ];
    for failure in failures {
        let name = format!("{failure:?}");
        let mut state = WatchState::new(WatchTimes::new(Duration::from_secs(1)));
        let sent_at = ClockTime::from_millis(10_000);
        start_due_reads(&mut state, sent_at);
        let failed_at = sent_at + CALL_TIMEOUT;
        observe(&mut state, failure, failed_at);
        // The store has returned just after the call was sent.
        let latest = ClockTime::from_millis(9_900) + PROPAGATION_TIMEOUT;
        let reads = start_due_reads(&mut state, latest);
        let is_polled = |effect: &WatchEffect| matches!(effect, WatchEffect::PollHost { .. });
        let count = reads.iter().filter(|effect| !is_polled(effect)).count();
        assert_eq!(count, 1, "{name}: {reads:?}");
    }
}
