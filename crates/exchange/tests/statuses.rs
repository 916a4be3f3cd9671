//! Which statuses an answer may have, and what follows on its connection.

use exchange::commands::{accept, send};
use exchange::queries::{is_reusable, may_carry};
use exchange::{
    AnswerFault, AnswerHead, AnswerOrder, ConnectionHistory, ExchangeTag, FinalStatus, HeldRequest,
    RequestMessage,
};

const ORDERS: [AnswerOrder; 2] = [AnswerOrder::Unproven, AnswerOrder::Strict];

/// Request of a test.
struct TestRequest;

impl RequestMessage for TestRequest {}

fn unsent(tag: &str) -> HeldRequest<TestRequest> {
    HeldRequest::with_tag(TestRequest, ExchangeTag::new(tag))
}

fn head(status: u16, announces_content: bool) -> AnswerHead<'static> {
    AnswerHead {
        status,
        tag: Some("a"),
        announces_content,
    }
}

#[test]
fn only_statuses_from_200_to_599_are_final() {
    for code in 0..=u16::MAX {
        let status = FinalStatus::try_from(code);
        match code {
            200..=599 => assert_eq!(status.map(FinalStatus::code), Ok(code)),
            _ => assert_eq!(status, Err(AnswerFault::InvalidStatus), "{code}"),
        }
    }
}

#[test]
fn an_answer_without_a_final_status_is_not_accepted_and_its_connection_not_used_again() {
    for order in ORDERS {
        for status in [0, 20, 99, 100, 101, 102, 103, 199, 600, 777, 999, 1_000] {
            let mut history = ConnectionHistory::new(order);
            let (sent, _) = send(&mut history, unsent("a"));
            let received = accept(&mut history, sent, head(status, true));
            assert_eq!(received, Err(AnswerFault::InvalidStatus), "{status}");
            assert!(!is_reusable(&history) || order == AnswerOrder::Strict);
        }
    }
}

#[test]
fn a_success_without_content_that_announces_some_is_not_accepted() {
    for order in ORDERS {
        for (announces_content, expected) in [
            (false, Ok(true)),
            (true, Err(AnswerFault::UnexpectedContent)),
        ] {
            let mut history = ConnectionHistory::new(order);
            let (sent, _) = send(&mut history, unsent("a"));
            let received = accept(&mut history, sent, head(204, announces_content));
            let received = received.map(|answer| answer.is_named());
            assert_eq!(received, expected, "{order:?}, {announces_content}");
        }
    }
}

#[test]
fn a_connection_is_closed_after_an_answer_whose_content_may_follow_although_it_has_none() {
    let cases = [
        (200, true, true),
        (205, true, true),
        (304, false, true),
        (304, true, false),
        (399, true, true),
        (599, true, true),
    ];
    for order in ORDERS {
        for (status, announces_content, expected) in cases {
            let mut history = ConnectionHistory::new(order);
            let (sent, _) = send(&mut history, unsent("a"));
            accept(&mut history, sent, head(status, announces_content)).unwrap();
            assert_eq!(is_reusable(&history), expected, "{order:?}, {status}");
            let may_carry_next = may_carry(&history, &unsent("b"));
            assert_eq!(may_carry_next, expected, "{order:?}, {status}");
        }
    }
}
