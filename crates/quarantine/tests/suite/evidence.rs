//! Evidence of several nodes, and its bounds.

use quarantine::commands::merge_evidence;
use quarantine::queries::{evidence_hash, fresh_evidence, watched_evidence};
use quarantine::{
    AnswerStage, CrashEvidence, CrashReport, QuarantineSettings, QuarantineState, RequestDigest,
    ServerCrash, SuspectClearance,
};

use crate::support::{
    COMMON, DEADLY, SECOND, answer, at, crash, is_rejected, is_rejected_at, new_state, part,
    state_after_crashes,
};

#[test]
fn a_part_that_another_node_is_about_to_clear_is_not_quarantined_meanwhile() {
    let mut state = new_state();
    for index in 0..3 {
        crash(&mut state, &[COMMON], 10 + index, index, index * 500);
    }
    assert_eq!(state.verdicts(), []);
    assert!(!is_rejected_at(&state, &[COMMON], 1_300));
    assert!(is_rejected_at(&state, &[COMMON], 1_400));
    let clearance = CrashEvidence {
        reports: Vec::new(),
        clearances: vec![SuspectClearance {
            suspect: part(COMMON),
            cleared_at: at(1_100),
        }],
    };
    merge_evidence(&mut state, &clearance, at(1_350));
    assert!(!is_rejected_at(&state, &[COMMON], 1_400));
}

#[test]
fn evidence_merges_to_the_same_verdicts_in_any_order() {
    // Each node sees one of the three crashes.
    let evidence: Vec<_> = (0..3)
        .map(|index| {
            let mut state = new_state();
            let now = index * SECOND;
            crash(&mut state, &[COMMON, DEADLY], 10 + index, index, now);
            fresh_evidence(&state, at(now))
        })
        .collect();
    let clearance = CrashEvidence {
        reports: Vec::new(),
        clearances: vec![SuspectClearance {
            suspect: part(COMMON),
            cleared_at: at(2_500),
        }],
    };
    let messages: Vec<_> = evidence.into_iter().chain([clearance]).collect();
    let mut hashes = Vec::new();
    for order in [[0, 1, 2, 3], [3, 2, 1, 0], [1, 3, 0, 2]] {
        let mut state = new_state();
        for index in order {
            merge_evidence(&mut state, &messages[index], at(3 * SECOND));
            merge_evidence(&mut state, &messages[index], at(3 * SECOND));
        }
        assert!(is_rejected(&state, &[DEADLY]), "{order:?}");
        assert!(!is_rejected(&state, &[COMMON]), "{order:?}");
        hashes.push(evidence_hash(&state));
    }
    assert!(hashes.iter().all(|hash| *hash == hashes[0]));
}

#[test]
fn a_node_that_starts_learns_the_verdict_from_watched_evidence() {
    let state = state_after_crashes();
    let mut started = new_state();
    merge_evidence(&mut started, &watched_evidence(&state), at(3 * SECOND));
    assert!(is_rejected(&started, &[DEADLY]));
    assert_eq!(evidence_hash(&started), evidence_hash(&state));
}

#[test]
fn an_answer_at_another_node_voids_a_report() {
    let mut state = new_state();
    answer(&mut state, &[COMMON], 50, 5 * SECOND);
    let report = CrashReport {
        stage: AnswerStage::Begun,
        suspect: part(COMMON),
        crash: ServerCrash(1),
        request: RequestDigest(10),
        sent_at: at(4 * SECOND),
        seen_at: at(4 * SECOND),
    };
    let evidence = CrashEvidence {
        reports: vec![report],
        clearances: Vec::new(),
    };
    merge_evidence(&mut state, &evidence, at(6 * SECOND));
    let fresh = fresh_evidence(&state, at(6 * SECOND));
    assert_eq!(fresh.clearances.len(), 1, "the other node must learn of it");
    assert_eq!(watched_evidence(&state).reports, []);
}

#[test]
fn the_memory_is_bounded() {
    let settings = QuarantineSettings {
        max_reported_suspects: 20,
        max_answered_suspects: 30,
        ..QuarantineSettings::default()
    };
    let mut state = QuarantineState::new(settings);
    for index in 0..2_000 {
        let now = index * 300;
        crash(&mut state, &[10_000 + index], index, index, now);
        crash(&mut state, &[DEADLY], 5_000 + index, 5_000 + index, now);
        answer(&mut state, &[20_000 + index], 8_000 + index, now);
    }
    let evidence = fresh_evidence(&state, at(600_000));
    assert!(evidence.reports.len() <= 20, "{}", evidence.reports.len());
    assert!(watched_evidence(&state).reports.len() <= 20 * 12);
    let is_rejected = is_rejected_at(&state, &[DEADLY], 600_000);
    assert!(is_rejected, "it has the most reports");
}
