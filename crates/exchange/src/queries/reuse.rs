//! Which connections may carry which requests.

use crate::{ConnectionHistory, HeldRequest};

/// Whether a connection may carry a request: an unused one any, another one only a tag that it
/// has not carried.
pub fn may_carry<T>(history: &ConnectionHistory, held: &HeldRequest<T>) -> bool {
    if history.is_empty() {
        return true;
    }
    let is_new = |hash| !history.contains(hash);
    let has_new_tag = held.tag.as_ref().is_some_and(|tag| is_new(tag.hash()));
    is_reusable(history) && (history.is_strict() || has_new_tag)
}

/// Whether a connection whose last answer was read may carry another exchange.
pub fn is_reusable(history: &ConnectionHistory) -> bool {
    let is_trusted = history.is_strict() || (history.is_proven() && !history.is_full());
    is_trusted && !history.is_spoiled()
}
