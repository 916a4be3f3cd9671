//! Which answer belongs to a request, and when it is certain that a request was not run.
//!
//! A server may send a duplicate answer on a connection, at the point where the next one is due,
//! also the copy of a refusal. If the request that it refused is under way again there, the copy
//! carries the right identifier, so comparing identifiers is not enough. Two rules make an answer the
//! request's own by construction:
//!
//! - A connection carries a tag (the identifier that a request carries and its answer repeats)
//!   once at most. An answer with the tag of the request under way can then not be a copy of an
//!   earlier one.
//! - A connection is used again only if its last answer carried the tag of its request. A request
//!   without a tag, and one whose server repeats none, so has a connection of its own.
//!
//! Whatever its tag, an answer needs the status of a final response ([`FinalStatus`]). Where the
//! status ends an answer with its head, content that follows all the same must not be taken for the
//! next one: a success that announces content is no answer, and after another one the connection is
//! closed.
//!
//! Peers that are known to send one answer to each request are exempt ([`AnswerOrder::Strict`]).
//!
//! A request passes through three states, [`HeldRequest`], [`SentExchange`] and [`OwnAnswer`]. A
//! [`NotRunProof`] comes from the first, which drops the request for it, or from the last;
//! [`RunRecord`] sums up the attempts of a request. What a [`HeldRequest`] holds is a
//! [`RequestMessage`], so that the claim that nothing was sent can only be made by what has the
//! request, and no more once a connection has it.
//!
//! [`commands`] change a [`ConnectionHistory`] or a [`RunRecord`]; [`queries`] only read them.

mod answer;
mod history;
mod proof;
mod runs;
mod state;
mod status;
mod tag;

pub mod commands;
pub mod queries;

pub use answer::{AnswerFault, AnswerHead, OwnAnswer};
pub use history::{AnswerOrder, ConnectionHistory};
pub use proof::{NotRunProof, RunCertainty};
pub use runs::RunRecord;
pub use state::{HeldRequest, RequestMessage, SentExchange};
pub use status::FinalStatus;
pub use tag::ExchangeTag;
