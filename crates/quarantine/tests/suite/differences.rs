//! What other nodes are told of the evidence: differences, the most important first.

use base::prelude::*;
use quarantine::commands::{expire, merge_evidence, record_sent, record_told, renew_suspects};
use quarantine::queries::{
    EvidenceCursor, PeerEvidence, evidence_hash, fresh_evidence, has_fresh_evidence, next_evidence,
};
use quarantine::{CrashEvidence, CrashSuspect, QuarantineState, RequestDigest, SuspectClearance};

use crate::support::{SECOND, answer, at, crash, is_request_rejected, new_state, part};

/// Room for any message of these tests.
const MAX_BYTES: usize = 1_000_000;

fn request(own: u64) -> CrashSuspect {
    CrashSuspect::Request(RequestDigest(own))
}

/// Crashes of one request, half a second apart.
fn crash_often(state: &mut QuarantineState, own: u64, times: u64, millis: u64) {
    for index in 0..times {
        crash(state, &[], own, own * 100 + index, millis + index * 500);
    }
}

/// Suspects of the reports in a message, in order and once each.
fn suspects(evidence: &CrashEvidence) -> Vec<CrashSuspect> {
    let mut suspects: Vec<_> = evidence
        .reports
        .iter()
        .map(|report| report.suspect)
        .collect();
    suspects.dedup();
    suspects
}

/// Sends a node what it is told next until the hashes agree; returns the sizes of the messages.
fn converge(
    sender: &mut QuarantineState,
    receiver: &mut QuarantineState,
    cursor: &mut EvidenceCursor,
    max_bytes: usize,
    now: ClockTime,
) -> Vec<usize> {
    let mut sizes = Vec::new();
    while evidence_hash(sender) != evidence_hash(receiver) {
        assert!(sizes.len() < 1_000, "the hashes never agree");
        let other = PeerEvidence::StillOther;
        let (evidence, next) = next_evidence(sender, cursor, other, max_bytes);
        *cursor = next;
        record_told(sender, &evidence);
        merge_evidence(receiver, &evidence, now);
        sizes.push(evidence.byte_count());
    }
    sizes
}

#[test]
fn a_node_is_told_a_change_once() {
    let mut state = new_state();
    crash_often(&mut state, 7, 2, 0);
    let start = EvidenceCursor::default();
    let (first, cursor) = next_evidence(&state, &start, PeerEvidence::Other, MAX_BYTES);
    assert!(suspects(&first).contains(&request(7)));
    let (again, cursor) = next_evidence(&state, &cursor, PeerEvidence::Other, MAX_BYTES);
    assert!(again.is_empty(), "{again:?}");
    crash_often(&mut state, 8, 2, 2 * SECOND);
    let (second, _) = next_evidence(&state, &cursor, PeerEvidence::Other, MAX_BYTES);
    assert!(suspects(&second).contains(&request(8)));
    assert!(!suspects(&second).contains(&request(7)));
}

#[test]
fn a_request_that_only_one_crash_is_known_of_is_not_told() {
    let mut state = new_state();
    crash_often(&mut state, 7, 1, 0);
    let start = EvidenceCursor::default();
    let (evidence, _) = next_evidence(&state, &start, PeerEvidence::Other, MAX_BYTES);
    assert!(evidence.is_empty());
}

#[test]
fn a_quarantined_request_comes_before_any_number_of_others() {
    let mut state = new_state();
    crash_often(&mut state, 7, 3, 0);
    for own in 100..600 {
        crash_often(&mut state, own, 2, 2 * SECOND);
    }
    expire(&mut state, at(3 * SECOND));
    assert_eq!(state.verdicts().len(), 1);
    let start = EvidenceCursor::default();
    let (evidence, _) = next_evidence(&state, &start, PeerEvidence::Other, 1_000);
    assert_eq!(suspects(&evidence).first(), Some(&request(7)));
    assert!(evidence.byte_count() <= 1_000);
}

#[test]
fn what_did_not_fit_into_a_message_arrives_in_later_ones() {
    for max_bytes in [200, 1_000, 8_000] {
        let (mut sender, mut receiver) = (new_state(), new_state());
        for own in 0..100 {
            crash_often(&mut sender, own, 2, 0);
        }
        let mut cursor = EvidenceCursor::default();
        let now = at(SECOND);
        let sizes = converge(&mut sender, &mut receiver, &mut cursor, max_bytes, now);
        assert!(sizes.iter().all(|size| *size <= max_bytes), "{sizes:?}");
    }
}

#[test]
fn a_lost_message_is_made_up_for_beside_further_changes() {
    let (mut sender, mut receiver) = (new_state(), new_state());
    crash_often(&mut sender, 7, 3, 0);
    let start = EvidenceCursor::default();
    let (_, mut cursor) = next_evidence(&sender, &start, PeerEvidence::Other, MAX_BYTES);
    for own in 100..200 {
        crash_often(&mut sender, own, 2, 2 * SECOND);
        let other = PeerEvidence::StillOther;
        let (evidence, next) = next_evidence(&sender, &cursor, other, 1_000);
        cursor = next;
        merge_evidence(&mut receiver, &evidence, at(3 * SECOND));
        if suspects(&evidence).contains(&request(7)) {
            return;
        }
    }
    panic!("the lost request was never told again");
}

#[test]
fn a_renewal_is_told_although_the_hashes_agree() {
    let mut state = new_state();
    crash_often(&mut state, 7, 5, 0);
    let (_, cursor) = next_evidence(
        &state,
        &EvidenceCursor::default(),
        PeerEvidence::Other,
        MAX_BYTES,
    );
    let (evidence, cursor) = next_evidence(&state, &cursor, PeerEvidence::Same, MAX_BYTES);
    assert!(evidence.is_empty());
    renew_suspects(&mut state, &[request(7)], at(30 * SECOND));
    let (evidence, cursor) = next_evidence(&state, &cursor, PeerEvidence::Same, MAX_BYTES);
    assert_eq!(suspects(&evidence), [request(7)]);
    let (evidence, _) = next_evidence(&state, &cursor, PeerEvidence::Same, MAX_BYTES);
    assert!(evidence.is_empty());
}

#[test]
fn a_clearance_of_what_others_were_told_comes_first() {
    let (mut sender, mut receiver) = (new_state(), new_state());
    crash(&mut sender, &[1], 7, 1, 0);
    crash(&mut sender, &[1], 8, 2, 500);
    let mut cursor = EvidenceCursor::default();
    converge(
        &mut sender,
        &mut receiver,
        &mut cursor,
        MAX_BYTES,
        at(SECOND),
    );
    for own in 100..200 {
        crash_often(&mut sender, own, 3, SECOND);
    }
    answer(&mut sender, &[1], 9, 3 * SECOND);
    let (evidence, _) = next_evidence(&sender, &cursor, PeerEvidence::Other, 1_000);
    let cleared: Vec<_> = evidence
        .clearances
        .iter()
        .map(|item| item.suspect)
        .collect();
    assert!(cleared.contains(&part(1)), "{cleared:?}");
    merge_evidence(&mut receiver, &evidence, at(3 * SECOND));
    assert!(
        !fresh_evidence(&receiver, at(3 * SECOND))
            .clearances
            .iter()
            .any(|item| item.suspect == part(1)),
        "only this node's own are sent on"
    );
}

#[test]
fn a_node_that_still_reports_what_was_cleared_is_told_so() {
    let (mut hub, mut late) = (new_state(), new_state());
    crash(&mut late, &[1], 7, 1, 0);
    let reports = fresh_evidence(&late, at(0));
    let clearance = SuspectClearance {
        suspect: part(1),
        cleared_at: at(100),
    };
    let clearance = CrashEvidence {
        reports: Vec::new(),
        clearances: vec![clearance],
    };
    merge_evidence(&mut hub, &clearance, at(100));
    let start = EvidenceCursor::default();
    let (evidence, cursor) = next_evidence(&hub, &start, PeerEvidence::Other, MAX_BYTES);
    assert!(evidence.is_empty(), "nobody is known to have such reports");
    merge_evidence(&mut hub, &reports, at(200));
    let (evidence, _) = next_evidence(&hub, &cursor, PeerEvidence::Other, MAX_BYTES);
    assert_eq!(evidence.clearances, clearance.clearances);
}

#[test]
fn own_reports_are_sent_three_times_over_more_than_two_seconds() {
    let mut state = new_state();
    crash(&mut state, &[], 7, 1, 0);
    let mut sent_at = Vec::new();
    for millis in (0..4 * SECOND).step_by(100) {
        expire(&mut state, at(millis));
        let evidence = fresh_evidence(&state, at(millis));
        if !evidence.is_empty() {
            sent_at.push(millis);
            record_sent(&mut state, &evidence, at(millis));
        }
    }
    assert_eq!(sent_at, [0, 300, 2_300]);
    assert!(!has_fresh_evidence(&state));
}

#[test]
fn a_message_of_limited_size_has_clearances_and_reports() {
    let mut state = new_state();
    for own in 0..50 {
        crash(&mut state, &[own], own, own, own);
        answer(&mut state, &[own], 1_000 + own, 100 + own);
        crash(&mut state, &[500 + own], 2_000 + own, 500 + own, 200 + own);
    }
    let evidence = fresh_evidence(&state, at(SECOND));
    for max_bytes in [0, 100, 1_000, 5_000] {
        let limited = evidence.clone().within(max_bytes);
        assert!(limited.byte_count() <= max_bytes);
        let half = max_bytes / 2 / CrashEvidence::REPORT_BYTES;
        assert!(limited.reports.len() >= half.min(evidence.reports.len()));
    }
    assert_eq!(evidence.clone().within(MAX_BYTES), evidence);
}

#[test]
fn a_node_that_starts_learns_of_a_quarantine_beside_many_clearances() {
    for max_bytes in [1_000, 8_000] {
        let (mut hub, mut started) = (new_state(), new_state());
        crash_often(&mut hub, 7, 3, 0);
        let clearances = (0..400).map(|number| SuspectClearance {
            suspect: part(number),
            cleared_at: at(2 * SECOND),
        });
        let clearances = CrashEvidence {
            reports: Vec::new(),
            clearances: clearances.collect(),
        };
        merge_evidence(&mut hub, &clearances, at(2 * SECOND));
        for number in 0..400 {
            // Reports from before make other nodes need the clearances.
            let mut late = new_state();
            crash(&mut late, &[number], 1_000 + number, number, 0);
            merge_evidence(&mut hub, &fresh_evidence(&late, at(0)), at(2 * SECOND));
        }
        let mut cursor = EvidenceCursor::default();
        for _ in 0..2 {
            let other = PeerEvidence::Other;
            let (evidence, next) = next_evidence(&hub, &cursor, other, max_bytes);
            cursor = next;
            merge_evidence(&mut started, &evidence, at(3 * SECOND));
        }
        expire(&mut started, at(3 * SECOND));
        assert!(is_request_rejected(&started, &[], 7), "{max_bytes} bytes");
    }
}

#[test]
fn renewals_that_do_not_fit_are_told_later() {
    let mut state = new_state();
    for own in 0..10 {
        crash_often(&mut state, own, 5, 0);
    }
    let start = EvidenceCursor::default();
    let (_, mut cursor) = next_evidence(&state, &start, PeerEvidence::Other, MAX_BYTES);
    let renewed: Vec<_> = (0..10).map(request).collect();
    renew_suspects(&mut state, &renewed, at(30 * SECOND));
    let mut told = std::collections::BTreeSet::new();
    for round in 0..20 {
        // The third message crosses another change, after which the hashes agree again.
        let peer = match round {
            2 => PeerEvidence::Other,
            _ => PeerEvidence::Same,
        };
        let (evidence, next) = next_evidence(&state, &cursor, peer, 300);
        cursor = next;
        told.extend(suspects(&evidence));
    }
    assert!(
        renewed.iter().all(|suspect| told.contains(suspect)),
        "{told:?}"
    );
    assert!(cursor.is_current(&state));
}

#[test]
fn a_clearance_reaches_nodes_that_were_told_of_the_crashes_by_others() {
    let (mut hub, mut node, mut reporter) = (new_state(), new_state(), new_state());
    for number in 0..3 {
        crash(&mut reporter, &[9_000], 7 + number, number, number * 500);
    }
    let reports = fresh_evidence(&reporter, at(SECOND));
    merge_evidence(&mut hub, &reports, at(SECOND));
    merge_evidence(&mut node, &reports, at(SECOND));
    let start = EvidenceCursor::default();
    let (_, mut cursor) = next_evidence(&hub, &start, PeerEvidence::Same, MAX_BYTES);
    let cleared_at = at(SECOND + 100);
    let suspects = (1_000..2_000).map(part).chain([part(9_000)]);
    let clearances = suspects.map(|suspect| SuspectClearance {
        suspect,
        cleared_at,
    });
    let clearances = CrashEvidence {
        reports: Vec::new(),
        clearances: clearances.collect(),
    };
    merge_evidence(&mut hub, &clearances, cleared_at);
    for peer in [PeerEvidence::Other, PeerEvidence::StillOther] {
        let (evidence, next) = next_evidence(&hub, &cursor, peer, 1_000);
        cursor = next;
        merge_evidence(&mut node, &evidence, at(SECOND + 300));
    }
    expire(&mut node, at(2 * SECOND));
    assert!(node.verdicts().is_empty(), "{:?}", node.verdicts());
}

#[test]
fn a_clearance_that_all_nodes_need_is_sent_before_those_of_single_requests() {
    let mut state = new_state();
    let mut reporter = new_state();
    for number in 0..3 {
        crash(&mut reporter, &[1], 7 + number, number, number * 500);
    }
    let reports = fresh_evidence(&reporter, at(SECOND));
    merge_evidence(&mut state, &reports, at(SECOND));
    answer(&mut state, &[1], 50, SECOND + 100);
    for own in 100..300 {
        let millis = SECOND + 200 + own;
        crash(&mut state, &[], own, own, millis);
        answer(&mut state, &[], own, millis + 1);
    }
    let evidence = fresh_evidence(&state, at(2 * SECOND)).within(600);
    let mut cleared = evidence.clearances.iter().map(|item| item.suspect);
    assert!(cleared.any(|suspect| suspect == part(1)), "{evidence:?}");
}

#[test]
fn a_clearance_that_other_nodes_need_is_not_forgotten_for_others() {
    let (mut hub, mut node) = (new_state(), new_state());
    crash(&mut hub, &[1], 7, 1, 0);
    crash(&mut hub, &[1], 8, 2, 500);
    crash(&mut hub, &[1], 9, 3, SECOND);
    let mut cursor = EvidenceCursor::default();
    let now = at(SECOND);
    converge(&mut hub, &mut node, &mut cursor, MAX_BYTES, now);
    answer(&mut hub, &[1], 10, SECOND + 100);
    let clearances = (1_000..4_000).map(|own| SuspectClearance {
        suspect: request(own),
        cleared_at: at(SECOND + own),
    });
    let clearances = CrashEvidence {
        reports: Vec::new(),
        clearances: clearances.collect(),
    };
    merge_evidence(&mut hub, &clearances, at(5 * SECOND));
    let (evidence, _) = next_evidence(&hub, &cursor, PeerEvidence::Other, MAX_BYTES);
    merge_evidence(&mut node, &evidence, at(5 * SECOND));
    expire(&mut node, at(6 * SECOND));
    assert!(node.verdicts().is_empty(), "{:?}", node.verdicts());
}
