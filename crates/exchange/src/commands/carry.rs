//! Exchanges on a connection.

use crate::{AnswerFault, ConnectionHistory, ExchangeTag, HeldRequest, OwnAnswer, SentExchange};

/// Records that a connection carries a request from now on, and hands it out for that.
pub fn send<T>(history: &mut ConnectionHistory, held: HeldRequest<T>) -> (SentExchange, T) {
    let HeldRequest { request, tag } = held;
    let number = history.record(tag.as_ref().map(ExchangeTag::hash));
    (SentExchange { tag, number }, request)
}

/// Decides whether an answer with this tag belongs to the exchange that the connection carries.
pub fn accept(
    history: &mut ConnectionHistory,
    exchange: SentExchange,
    answer_tag: Option<&str>,
) -> Result<OwnAnswer, AnswerFault> {
    // Nothing else was sent here that it could answer.
    let is_only = exchange.number == 1 || history.is_strict();
    let is_named = match (&exchange.tag, answer_tag) {
        (Some(tag), Some(answer_tag)) if tag.as_str() == answer_tag => true,
        (Some(_), Some(_)) => return Err(AnswerFault::OtherTag),
        (Some(_), None) | (None, _) if is_only => false,
        (Some(_), None) | (None, _) => return Err(AnswerFault::Untagged),
    };
    history.set_proven(is_named);
    Ok(OwnAnswer {
        is_named,
        must_be_named: exchange.tag.is_some() && !history.is_strict(),
    })
}
