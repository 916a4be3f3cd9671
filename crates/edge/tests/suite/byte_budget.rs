//! Bytes that messages about crashes may take of a link.

use base::prelude::*;
use edge::{ByteBudget, ByteRate};

use crate::support::at;

#[test]
fn rates_follow_from_the_link_and_the_number_of_nodes() {
    // Link, nodes, receivers; bytes a second of what all must know, and of own reports.
    let table = [
        (2_500_000, 3, 2, 125_000, 62_500),
        (2_500_000, 12, 4, 125_000, 41_666),
        (2_500_000, 195, 4, 125_000, 2_564),
        (25_000_000, 195, 8, 1_250_000, 16_410),
        (0, 1, 0, 1, 1),
    ];
    for (link, nodes, receivers, watched, own) in table {
        let rate = ByteRate::of_watched_evidence(link);
        assert_eq!(rate.per_second, watched, "{link}");
        let rate = ByteRate::of_own_evidence(link, nodes, receivers);
        assert_eq!(rate.per_second, own, "{link}, {nodes} nodes");
    }
}

#[test]
fn no_second_has_more_bytes_than_the_burst_and_the_rate() {
    let rate = ByteRate {
        per_second: 10_000,
        burst: 2_000,
    };
    let mut budget = ByteBudget::default();
    let mut sent = Vec::new();
    for millis in (0..5_000).step_by(10) {
        let now = at(10_000 + millis);
        let bytes = budget.available(rate, now).min(700);
        if bytes >= 500 {
            budget.spend(bytes, rate, now);
            sent.push((millis, bytes));
        }
    }
    for from in (0..4_000).step_by(10) {
        let second = sent
            .iter()
            .filter(|(at, _)| (from..from + 1_000).contains(at));
        let bytes: usize = second.map(|(_, bytes)| bytes).sum();
        assert!((8_000..=12_000).contains(&bytes), "{bytes} from {from}");
    }
}

#[test]
fn a_burst_may_be_sent_at_once_after_a_pause() {
    let rate = ByteRate {
        per_second: 10_000,
        burst: 2_000,
    };
    let mut budget = ByteBudget::default();
    budget.spend(2_000, rate, at(1_000));
    assert_eq!(budget.available(rate, at(1_000)), 0);
    assert_eq!(budget.available(rate, at(1_100)), 1_000);
    assert_eq!(budget.available(rate, at(9_000)), 2_000);
    // A message may be larger than what was left.
    budget.spend(5_000, rate, at(9_000));
    assert_eq!(budget.available(rate, at(9_000)), 0);
    assert_eq!(rate.time_for(5_000), Duration::from_millis(500));
}
