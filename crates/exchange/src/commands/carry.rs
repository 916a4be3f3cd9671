//! Exchanges on a connection.

use crate::{
    AnswerFault, AnswerHead, ConnectionHistory, ExchangeTag, FinalStatus, HeldRequest, OwnAnswer,
    SentExchange,
};

/// Records that a connection carries a request from now on, and hands it out for that.
pub fn send<T>(history: &mut ConnectionHistory, held: HeldRequest<T>) -> (SentExchange, T) {
    let HeldRequest { request, tag } = held;
    let number = history.record(tag.as_ref().map(ExchangeTag::hash));
    (SentExchange { tag, number }, request)
}

/// Decides whether an answer is the one to the exchange that the connection carries.
pub fn accept(
    history: &mut ConnectionHistory,
    exchange: SentExchange,
    head: AnswerHead<'_>,
) -> Result<OwnAnswer, AnswerFault> {
    let status = FinalStatus::try_from(head.status)?;
    if status == FinalStatus::NO_CONTENT && head.announces_content {
        return Err(AnswerFault::UnexpectedContent);
    }
    // Nothing else was sent here that it could answer.
    let is_only = exchange.number == 1 || history.is_strict();
    let is_named = match (&exchange.tag, head.tag) {
        (Some(tag), Some(answer_tag)) if tag.as_str() == answer_tag => true,
        (Some(_), Some(_)) => return Err(AnswerFault::OtherTag),
        (Some(_), None) | (None, _) if is_only => false,
        (Some(_), None) | (None, _) => return Err(AnswerFault::Untagged),
    };
    history.set_proven(is_named);
    if status.is_contentless() && head.announces_content {
        history.spoil();
    }
    Ok(OwnAnswer {
        is_named,
        must_be_named: exchange.tag.is_some() && !history.is_strict(),
    })
}
