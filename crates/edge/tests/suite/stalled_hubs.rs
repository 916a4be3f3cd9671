//! A server that leaves while no hub can read the endpoints, as the links of all of them are full.
//!
//! Guards against failures in which nodes relied on hubs that could no longer know of the change.

use crate::platform::{Departure, Platform, Trouble};

/// Instant at which a server is added, so that the owner sends targets and all nodes but the hubs
/// rely on it.
const ADDED_AT_MS: u64 = 3_000;
/// Instant from which reads of hubs don't end.
const STALLED_AT_MS: u64 = 6_000;
/// Instants at which the server leaves, from that moment on.
const OFFSETS_MS: [u64; 3] = [20, 500, 1_500];
const SAMPLE_MS: u64 = 100;
/// Time beyond the bound that is watched.
const MARGIN_MS: u64 = 4_000;
/// Nodes with the largest capacity, which are the hubs.
const HUBS: usize = 4;

/// Time within which no node may start an attempt at a server that leaves.
fn bound(count: usize) -> u64 {
    if count <= 100 { 3_000 } else { 4_000 }
}

/// How late a node other than the hubs last sent a request to the server.
fn lateness(count: usize, trouble: Trouble, hubs_end: bool, offset: u64) -> u64 {
    let mut platform = Platform::new(count);
    platform.departure = Departure::Announced;
    let left_at = STALLED_AT_MS + offset;
    let until = left_at + bound(count) + MARGIN_MS;
    platform.trouble = Some((trouble, STALLED_AT_MS, until));
    platform.is_troubled = Box::new(|index| index < HUBS);
    platform.run(ADDED_AT_MS);
    platform.add_server();
    let mut late = 0;
    while platform.network.now < until {
        if platform.network.now == left_at {
            platform.leave();
        }
        if platform.network.now == STALLED_AT_MS {
            let modes = platform.network.watch_modes.iter();
            let relying = modes.filter(|mode| mode.receives_targets).count();
            assert_eq!(relying, count - HUBS, "nodes that rely on hubs");
            if hubs_end {
                platform.network.cut_off.extend(0..HUBS);
            }
        }
        let next = platform.network.now + SAMPLE_MS;
        let next = match platform.network.now < left_at {
            true => next.min(left_at),
            false => next,
        };
        platform.run(next);
        if platform.network.now > left_at {
            let elapsed = platform.network.now - left_at;
            if (HUBS..count).any(|index| platform.uses_leaving_server(index)) {
                late = elapsed;
            }
        }
    }
    late
}

fn check(trouble: Trouble, hubs_end: bool) {
    let mut broken = Vec::new();
    for count in [12, 24, 70, 195] {
        let offsets = if count <= 24 {
            &OFFSETS_MS[..]
        } else {
            &OFFSETS_MS[..1]
        };
        for &offset in offsets {
            let late = lateness(count, trouble, hubs_end, offset);
            println!("{trouble:?}, {count} nodes, {offset} ms: {late} ms late at the worst");
            if late > bound(count) {
                broken.push((count, offset, late));
            }
        }
    }
    assert!(broken.is_empty(), "nodes, offset, lateness: {broken:?}");
}

#[test]
fn a_server_that_leaves_while_reads_of_all_hubs_do_not_end_gets_no_late_request() {
    check(Trouble::Endless, false);
}

#[test]
fn a_server_that_leaves_while_all_hubs_get_no_response_gets_no_late_request() {
    check(Trouble::Silent, false);
}

#[test]
fn a_server_that_leaves_while_all_hubs_are_turned_away_gets_no_late_request() {
    check(Trouble::Busy, false);
}

#[test]
fn a_server_that_leaves_as_all_hubs_end_gets_no_late_request() {
    check(Trouble::Silent, true);
}
