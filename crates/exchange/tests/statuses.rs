//! Which statuses an answer may have.

use exchange::commands::{accept, send};
use exchange::queries::is_reusable;
use exchange::{
    AnswerFault, AnswerHead, AnswerOrder, ConnectionHistory, ExchangeTag, FinalStatus,
    UnsentExchange,
};

const ORDERS: [AnswerOrder; 2] = [AnswerOrder::Unproven, AnswerOrder::Strict];

fn unsent() -> UnsentExchange {
    UnsentExchange::new(ExchangeTag::new("a"))
}

fn head(status: u16) -> AnswerHead<'static> {
    AnswerHead {
        status,
        tag: Some("a"),
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
            let sent = send(&mut history, unsent());
            let received = accept(&mut history, sent, head(status));
            assert_eq!(received, Err(AnswerFault::InvalidStatus), "{status}");
            assert!(!is_reusable(&history) || order == AnswerOrder::Strict);
        }
    }
}
