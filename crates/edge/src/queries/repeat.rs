//! Which requests may run more than once.

use base::prelude::*;

use super::config_age::{ConfigAge, config_age};
use crate::EdgeState;

/// Whether a request may run more than once by all versions of the configuration since its arrival.
///
/// A version whose content has not arrived may allow it to run once only.
pub(crate) fn may_repeat(state: &EdgeState, call: CallId, now: ClockTime) -> bool {
    relay::queries::is_repeatable(&state.relay, call) && config_age(state, now) == ConfigAge::Newest
}
