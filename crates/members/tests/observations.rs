//! Observations of groups: their ages are never understated, and the incomplete
//! result takes precedence.

mod common;

use base::prelude::*;
use common::{START, after, frame, ready, sent};
use members::{
    FrameRefusal, GroupCompleteness, GroupLoad, GroupObservation, ObservationReport, PeerEffect,
    PeerMessage, PeerState,
};

const EPOCH: GroupEpoch = GroupEpoch(3);

fn group() -> GroupName {
    GroupName::new("llm-1").unwrap()
}

fn report(completeness: GroupCompleteness, epoch: GroupEpoch, age: u64) -> ObservationReport {
    ObservationReport {
        group: group(),
        epoch,
        completeness,
        load: GroupLoad::default(),
        age: Duration::from_millis(age),
    }
}

/// Name of the peer that the node asks, and the number of the question.
fn ask(state: &mut PeerState, at: u64) -> (String, u64) {
    let effects = state.tick(after(at));
    let questions = effects.iter().find_map(|effect| match effect {
        PeerEffect::Send { to, frame } => match frame.message {
            PeerMessage::Ask(question) => Some((*to, question)),
            _ => None,
        },
        _ => None,
    });
    let (to, question) = questions.expect("a question was due");
    let peer = state
        .live_nodes()
        .find(|record| record.address == to)
        .unwrap();
    (peer.node.to_string(), question)
}

fn answer(state: &mut PeerState, from: &str, question: u64, age: u64, at: u64) -> Vec<PeerEffect> {
    let reports = vec![report(GroupCompleteness::Complete, EPOCH, age)];
    let message = PeerMessage::Answer { question, reports };
    state.receive(frame(from, message), after(at))
}

fn age(state: &PeerState, at: u64) -> Option<u128> {
    let age = state.complete_age(&group(), EPOCH, after(at));
    age.map(|age| age.as_millis())
}

#[test]
fn the_age_of_an_answer_is_measured_from_its_question() {
    let cases = [
        ("at once", 500, 2_001, Some(501)),
        ("late frame", 500, 5_000, Some(3_500)),
        ("process paused in between", 500, 12_000, None),
        ("expired at the sender", 7_000, 2_001, None),
        (
            "older than the clock can represent",
            200_000_000,
            2_001,
            None,
        ),
    ];
    for (name, reported, at, expected) in cases {
        let mut state = ready();
        let (peer, question) = ask(&mut state, 2_000);
        answer(&mut state, &peer, question, reported, at);
        assert_eq!(age(&state, at), expected, "{name}");
    }
}

#[test]
fn an_answer_is_accepted_once_and_only_from_the_peer_asked() {
    let mut state = ready();
    let (peer, question) = ask(&mut state, 2_000);
    let refused = |effects: Vec<PeerEffect>| {
        let is_refusal = |effect: &PeerEffect| {
            matches!(
                effect,
                PeerEffect::Refused {
                    reason: FrameRefusal::UnknownQuestion,
                    ..
                }
            )
        };
        effects.iter().any(is_refusal)
    };
    let other = if peer == "peer-0" { "peer-1" } else { "peer-0" };
    assert!(refused(answer(&mut state, other, question, 0, 2_001)));
    assert!(!refused(answer(&mut state, &peer, question, 0, 2_002)));
    assert!(refused(answer(&mut state, &peer, question, 0, 2_003)));
    assert!(refused(answer(&mut state, &peer, question + 99, 0, 2_004)));
}

#[test]
fn an_incomplete_result_holds_until_a_newer_complete_one() {
    let mut state = ready();
    let (peer, question) = ask(&mut state, 2_000);
    answer(&mut state, &peer, question, 0, 2_100);
    assert!(age(&state, 2_100).is_some());
    let alert = PeerMessage::Alert(vec![report(GroupCompleteness::Incomplete, EPOCH, 50)]);
    let effects = state.receive(frame(&peer, alert.clone()), after(2_500));
    assert!(
        sent(&effects)
            .iter()
            .any(|message| matches!(message, PeerMessage::Alert(_)))
    );
    assert_eq!(age(&state, 2_500), None);
    let repeated = state.receive(frame(&peer, alert), after(2_510));
    assert_eq!(
        sent(&repeated),
        [],
        "a known observation is not forwarded again"
    );
    let (peer, question) = ask(&mut state, 3_200);
    answer(&mut state, &peer, question, 2_000, 3_210);
    assert_eq!(age(&state, 3_210), None, "observed before the alert");
    let (peer, question) = ask(&mut state, 4_300);
    answer(&mut state, &peer, question, 100, 4_310);
    assert_eq!(age(&state, 4_310), Some(110));
}

#[test]
fn an_observation_applies_to_one_epoch() {
    let mut state = ready();
    for (epoch, expected) in [(EPOCH, true), (EPOCH.next(), false)] {
        let observation = GroupObservation {
            group: group(),
            epoch,
            completeness: GroupCompleteness::Complete,
            load: GroupLoad::default(),
            polled_at: START,
        };
        state.record_observation(observation, after(10));
        assert_eq!(age(&state, 10).is_some(), expected);
    }
    let alert = PeerMessage::Alert(vec![report(GroupCompleteness::Incomplete, EPOCH, 0)]);
    state.receive(frame("peer-0", alert), after(20));
    let age = state.complete_age(&group(), EPOCH.next(), after(20));
    assert!(age.is_some(), "an alert of an earlier epoch is ignored");
}

#[test]
fn a_complete_result_in_an_alert_is_ignored() {
    let mut state = ready();
    let alert = PeerMessage::Alert(vec![report(GroupCompleteness::Complete, EPOCH, 0)]);
    state.receive(frame("peer-0", alert), after(20));
    assert_eq!(age(&state, 20), None);
}

#[test]
fn an_answering_node_adds_the_time_since_its_observation() {
    let mut state = ready();
    let observation = GroupObservation {
        group: group(),
        epoch: EPOCH,
        completeness: GroupCompleteness::Complete,
        load: GroupLoad::default(),
        polled_at: after(1_000),
    };
    state.record_observation(observation, after(1_400));
    let effects = state.receive(frame("peer-0", PeerMessage::Ask(9)), after(3_000));
    let reports = vec![report(GroupCompleteness::Complete, EPOCH, 2_000)];
    let question = 9;
    assert_eq!(sent(&effects), [PeerMessage::Answer { question, reports }]);
}
