//! How old this node's configuration is, and what it may say by it.
//!
//! Digests name versions, so a node knows of a newer one whatever keeps its content away. It then
//! knows since when it has been behind, whoever is to hand the content over, and acts on it: at
//! first requests that the newer version may allow wait, then they are rejected, and before the
//! platform's bound is over all requests are.
//!
//! While neither this node nor a hub reaches the store, nothing can be acknowledged and nobody may
//! be able to hand the content over, so the node goes on with what it has.

use base::prelude::*;
use intent::queries::{AccessOutcome, check_access, find_route};
use intent::{Route, RoutingConfig, Workspace};

use super::hubs::has_able_hub;
use super::owner::{others_contact, store_contact};
use crate::border::ports::StoreCollection;
use crate::{Arrival, EdgeState, RejectReason};

/// Time that the content of a version usually takes after its number is known, and for which a
/// request waits for it at most.
const CONTENT_WAIT: Duration = Duration::from_millis(300);
/// Interval at which a request that waits for the content checks for it.
const CONTENT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which the number of an acknowledged version reaches every node by way of the hubs.
const NOTICE_TIME: Duration = Duration::from_millis(1_000);

/// Time without a response of the store after which a node that hears no hub takes it for away.
const STORE_SILENCE: Duration = Duration::from_millis(1_500);

/// Time without a response to any other node from which the store may be away: the longest wait of a
/// watch of the configuration, and two digests.
const OTHERS_SILENCE: Duration = Duration::from_millis(3_000);

/// What this node knows of newer versions of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ConfigAge {
    /// It knows of none.
    Newest,
    /// It has known of one for less time than the content takes.
    Arriving,
    /// The content is late.
    Late,
    /// The content is later than usual ways take, so that this node has to ask for it.
    Missing,
    /// The platform's bound for the version is nearly over.
    Outdated,
}

/// Age of the configuration in force.
pub(crate) fn config_age(state: &EdgeState, now: ClockTime) -> ConfigAge {
    let Some(behind_since) = state.config_notices.behind_since() else {
        return ConfigAge::Newest;
    };
    let config_apply = state.settings.bounds.config_apply;
    let limit = config_apply
        .saturating_sub(NOTICE_TIME)
        .max(config_apply / 2);
    match now.since(behind_since) {
        behind if behind >= limit && !is_store_away(state, now) => ConfigAge::Outdated,
        behind if behind >= limit / 3 => ConfigAge::Missing,
        behind if behind >= CONTENT_WAIT => ConfigAge::Late,
        _ => ConfigAge::Arriving,
    }
}

/// Whether the store responds neither to this node nor to any hub.
///
/// A full link can keep one collection, or the digests of all hubs, from arriving, and hubs with full
/// links can't read, so none of these alone says that the store is away. It isn't while it responds
/// to some node.
fn is_store_away(state: &EdgeState, now: ClockTime) -> bool {
    let is_unavailable =
        |collection| matches!(state.collection(collection), Some(entry) if entry.is_unavailable);
    let responds_to_others = others_contact(state).is_some_and(|at| now.since(at) < OTHERS_SILENCE);
    if !is_unavailable(StoreCollection::RoutingConfig) || responds_to_others {
        return false;
    }
    match has_able_hub(state, now) {
        Some(is_able) => !is_able,
        None => {
            let last_response = store_contact(state);
            StoreCollection::REQUIRED.into_iter().all(is_unavailable)
                && last_response.is_none_or(|at| now.since(at) >= STORE_SILENCE)
        }
    }
}

/// Route and workspace of a request by a configuration, or why it has none.
pub(crate) fn admit<'a>(
    config: &'a RoutingConfig,
    arrival: &Arrival,
) -> Result<(&'a Arc<Route>, Option<&'a Workspace>), RejectReason> {
    let route = find_route(config, &arrival.host, &arrival.path).ok_or(RejectReason::NoRoute)?;
    match check_access(config, route, arrival.key.as_deref()) {
        AccessOutcome::Workspace(workspace) => Ok((route, Some(workspace))),
        AccessOutcome::Public => Ok((route, None)),
        AccessOutcome::Denied => Err(RejectReason::Denied),
    }
}

/// Instant until which a request waits that only a version on its way may allow.
pub(crate) fn content_wait(
    state: &EdgeState,
    arrival: &Arrival,
    now: ClockTime,
) -> Option<ClockTime> {
    let config = state.config.get()?;
    let until = now + CONTENT_CHECK_INTERVAL;
    let has_time = (arrival.client_deadline).is_none_or(|deadline| until < deadline);
    let waits = has_time
        && now.since(arrival.arrived_at) < CONTENT_WAIT
        && config_age(state, now) == ConfigAge::Arriving
        && admit(config, arrival).is_err();
    waits.then_some(until)
}
