//! Which connections may carry which requests.

use crate::{ConnectionHistory, HeldRequest};

/// Whether a connection may carry a request: an unused one any, another one only a tag that it
/// has not carried.
pub fn may_carry<T>(history: &ConnectionHistory, held: &HeldRequest<T>) -> bool {
    if history.is_empty() || history.is_strict() {
        return true;
    }
    let is_new = |hash| !history.contains(hash);
    is_reusable(history) && held.tag.as_ref().is_some_and(|tag| is_new(tag.hash()))
}

/// Whether a connection whose last answer was read may carry another exchange.
pub fn is_reusable(history: &ConnectionHistory) -> bool {
    history.is_strict() || (history.is_proven() && !history.is_full())
}
