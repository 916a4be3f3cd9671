//! Which requests may run more than once.

use base::prelude::*;
use intent::queries::find_route;
use relay::AttemptId;

use super::config_age::{ConfigAge, config_age};
use crate::state::CarriedAttempt;
use crate::{EdgeState, PassRequest};

/// Whether a request may run more than once by all versions of the configuration since its arrival.
///
/// A version whose content has not arrived may allow it to run once only.
pub(crate) fn may_repeat(state: &EdgeState, call: CallId, now: ClockTime) -> bool {
    relay::queries::is_repeatable(&state.relay, call) && config_age(state, now) == ConfigAge::Newest
}

/// Whether an attempt of this node or of another one may still be sent, after the time that it took
/// to open a connection.
pub(crate) fn may_send_attempt(state: &EdgeState, attempt: AttemptId) -> bool {
    match state.carried.get(&attempt.call) {
        Some(CarriedAttempt { request, .. }) => {
            !(request.is_repeat && is_once_only(state, request))
        }
        None => relay::queries::may_send(&state.relay, attempt),
    }
}

/// Whether a request of another node may run once only by this node's version of the
/// configuration, which is newer than the one that accepted it.
pub(crate) fn is_once_only(state: &EdgeState, request: &PassRequest) -> bool {
    let is_newer = request.version < state.config.version();
    let config = state.config.get();
    let config = config.filter(|_| request.version.is_some() && is_newer);
    let route = config.and_then(|config| find_route(config, &request.host, &request.path));
    route.is_some_and(|route| !route.kind.is_repeatable())
}
