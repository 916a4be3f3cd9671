//! Which connections carry which exchanges, and which answers belong to them.

use exchange::commands::{accept, send};
use exchange::queries::{is_reusable, may_carry};
use exchange::{
    AnswerFault, AnswerHead, AnswerOrder, ConnectionHistory, ExchangeTag, HeldRequest,
    RequestMessage,
};

/// Tags of a request and of its answer; empty if there is none.
type TagPair = (&'static str, &'static str);

/// Request of a test.
struct TestRequest;

impl RequestMessage for TestRequest {}

fn unsent(tag: &str) -> HeldRequest<TestRequest> {
    HeldRequest::with_tag(TestRequest, ExchangeTag::new(tag))
}

/// Head of an answer with this tag.
fn tagged(tag: Option<&str>) -> AnswerHead<'_> {
    AnswerHead {
        status: 200,
        tag,
        announces_content: true,
    }
}

/// History of a connection that has carried these exchanges, whose answers must be accepted.
fn carried(order: AnswerOrder, exchanges: &[TagPair]) -> ConnectionHistory {
    let mut history = ConnectionHistory::new(order);
    for (tag, answer_tag) in exchanges {
        let (sent, _) = send(&mut history, unsent(tag));
        let answer_tag = Some(*answer_tag).filter(|tag| !tag.is_empty());
        accept(&mut history, sent, tagged(answer_tag)).expect("the answer belongs to the request");
    }
    history
}

#[test]
fn a_tag_never_goes_on_one_connection_twice() {
    let cases: [(&[TagPair], &str, bool); 7] = [
        (&[], "a", true),
        (&[], "", true),
        (&[("a", "a")], "b", true),
        (&[("a", "a")], "a", false),
        (&[("a", "a"), ("b", "b")], "a", false),
        (&[("a", "a"), ("b", "b")], "c", true),
        (&[("a", "a")], "", false),
    ];
    for (exchanges, tag, expected) in cases {
        let history = carried(AnswerOrder::Unproven, exchanges);
        let received = may_carry(&history, &unsent(tag));
        assert_eq!(received, expected, "'{tag}' after {exchanges:?}");
    }
}

#[test]
fn a_connection_is_used_again_only_after_an_answer_that_names_its_request() {
    let cases = [
        ("a", "a", true),
        ("a", "", false),
        ("", "", false),
        ("", "a", false),
    ];
    for (tag, answer_tag, expected) in cases {
        let history = carried(AnswerOrder::Unproven, &[(tag, answer_tag)]);
        assert_eq!(is_reusable(&history), expected, "'{answer_tag}' to '{tag}'");
        assert_eq!(may_carry(&history, &unsent("b")), expected);
    }
}

#[test]
fn a_connection_whose_answer_is_missing_is_not_used_again() {
    let mut history = carried(AnswerOrder::Unproven, &[("a", "a")]);
    let _unanswered = send(&mut history, unsent("b"));
    assert!(!is_reusable(&history));
    assert!(!may_carry(&history, &unsent("c")));
}

#[test]
fn an_answer_of_another_request_is_not_accepted() {
    let cases = [
        (None, "a", Some("a"), Ok(true)),
        (None, "a", None, Ok(false)),
        (None, "", None, Ok(false)),
        (None, "", Some("x"), Ok(false)),
        (None, "a", Some("x"), Err(AnswerFault::OtherTag)),
        (Some("r"), "a", Some("a"), Ok(true)),
        (Some("r"), "a", Some("r"), Err(AnswerFault::OtherTag)),
        (Some("r"), "a", None, Err(AnswerFault::Untagged)),
        (Some("r"), "", None, Err(AnswerFault::Untagged)),
        (Some("r"), "", Some("r"), Err(AnswerFault::Untagged)),
    ];
    for (earlier, tag, answer_tag, expected) in cases {
        let exchanges: Vec<_> = earlier.into_iter().map(|tag| (tag, tag)).collect();
        let mut history = carried(AnswerOrder::Unproven, &exchanges);
        let (sent, _) = send(&mut history, unsent(tag));
        let received =
            accept(&mut history, sent, tagged(answer_tag)).map(|answer| answer.is_named());
        assert_eq!(
            received, expected,
            "{answer_tag:?} to '{tag}' after {earlier:?}"
        );
        assert_eq!(is_reusable(&history), expected == Ok(true), "'{tag}'");
    }
}

#[test]
fn a_refusal_without_the_tag_of_a_tagged_request_proves_nothing() {
    let cases = [
        (AnswerOrder::Unproven, "a", Some("a"), true),
        (AnswerOrder::Unproven, "a", None, false),
        (AnswerOrder::Unproven, "", None, true),
        (AnswerOrder::Strict, "a", None, true),
    ];
    for (order, tag, answer_tag, expected) in cases {
        let mut history = ConnectionHistory::new(order);
        let (sent, _) = send(&mut history, unsent(tag));
        let answer = accept(&mut history, sent, tagged(answer_tag)).unwrap();
        let is_proven = answer.not_run(true).is_some();
        assert_eq!(is_proven, expected, "{order:?}: {answer_tag:?} to '{tag}'");
        assert_eq!(answer.not_run(false), None);
    }
}

#[test]
fn a_peer_in_strict_order_keeps_its_connection_but_not_an_answer_with_another_tag() {
    let exchanges = [("a", "a"), ("a", "a"), ("", ""), ("b", "")];
    let mut history = carried(AnswerOrder::Strict, &exchanges);
    assert!(is_reusable(&history));
    assert!(may_carry(&history, &unsent("a")));
    let (sent, _) = send(&mut history, unsent("a"));
    let received = accept(&mut history, sent, tagged(Some("b")));
    assert_eq!(received, Err(AnswerFault::OtherTag));
}

#[test]
fn a_connection_is_replaced_before_its_history_grows_without_bound() {
    let mut history = ConnectionHistory::new(AnswerOrder::Unproven);
    let mut count = 0;
    while may_carry(&history, &unsent(&format!("r-{count}"))) {
        let tag = format!("r-{count}");
        let (sent, _) = send(&mut history, unsent(&tag));
        accept(&mut history, sent, tagged(Some(&tag))).unwrap();
        count += 1;
        assert!(count <= 10_000, "the history has no bound");
    }
    assert!(count >= 100, "a connection carried {count} exchanges only");
    assert!(!is_reusable(&history));
}

#[test]
fn an_exchange_whose_connection_hands_it_back_keeps_its_tag_and_goes_elsewhere() {
    let mut first = carried(AnswerOrder::Unproven, &[("a", "a")]);
    let (sent, request) = send(&mut first, unsent("b"));
    assert_eq!(
        (first.exchange_count(), sent.tag().map(ExchangeTag::as_str)),
        (2, Some("b"))
    );
    let unsent = sent.take_back(request);
    assert!(!may_carry(&first, &unsent));
    let mut second = ConnectionHistory::new(AnswerOrder::Unproven);
    assert!(may_carry(&second, &unsent));
    let (sent, _) = send(&mut second, unsent);
    assert_eq!(
        (second.exchange_count(), sent.tag().map(ExchangeTag::as_str)),
        (1, Some("b"))
    );
}

#[test]
fn an_empty_tag_names_nothing() {
    assert_eq!(ExchangeTag::new(""), None);
}
