//! Authorization of calls.

use std::collections::BTreeMap;

use base::prelude::*;
use document::{Configuration, ServiceKind};
use limits::{CallIdempotency, WorkspaceLimits};

use crate::items::document_key;
use crate::{CallArrival, CallKind, CallRefusal, GatewayState, RefusalCause};

/// Time after which a caller retries that the document in force refuses while a newer one is known.
const BEHIND_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time after which calls are refused by a gateway that knows of a newer document and lacks it: the
/// bound for changes, 3 s, less the time in which the number of a version reaches every gateway over
/// full links.
const OUTDATED_AGE: Duration = Duration::from_millis(1_500);

/// Result of a successful authorization.
#[derive(Clone, Debug)]
pub(crate) struct Entitlement {
    pub workspace: WorkspaceName,
    pub caller: CallerName,
    pub idempotency: CallIdempotency,
    pub timeout: Duration,
}

/// Authorizes a call.
///
/// A service of another workspace and one that doesn't exist give the same error,
/// so that other workspaces' services cannot be found out by guessing names.
pub(crate) fn authorize(
    state: &GatewayState,
    arrival: &CallArrival,
    now: ClockTime,
) -> Result<Entitlement, CallRefusal> {
    if is_outdated(state, now) {
        return Err(refuse_behind(now));
    }
    let entitlement = find_entitlement(state, arrival);
    entitlement.map_err(|cause| refuse_by_document(state, cause, now))
}

/// Whether the document in force has been known to be superseded for too long.
///
/// Only versions count that are proven or that several peers have announced, so one faulty peer brings
/// this about only if it is a watcher or the only linked one.
pub(crate) fn is_outdated(state: &GatewayState, now: ClockTime) -> bool {
    let version = state.watch.config.in_force.version;
    let behind_since = state
        .peers
        .as_ref()
        .and_then(|layer| layer.peers.behind_since(&document_key(), version));
    behind_since.is_some_and(|since| now.since(since) >= OUTDATED_AGE)
}

fn refuse_behind(now: ClockTime) -> CallRefusal {
    CallRefusal::on_arrival(RefusalCause::DocumentBehind, Some(now + BEHIND_RETRY_DELAY))
}

/// Refusal for a reason that the document in force gives; not a final one while a peer has
/// announced a newer document.
pub(crate) fn refuse_by_document(
    state: &GatewayState,
    cause: RefusalCause,
    now: ClockTime,
) -> CallRefusal {
    if knows_newer_document(state) {
        refuse_behind(now)
    } else {
        CallRefusal::on_arrival(cause, None)
    }
}

fn knows_newer_document(state: &GatewayState) -> bool {
    let layer = state.peers.as_ref();
    let announced = layer.and_then(|layer| layer.peers.announced_version(&document_key()));
    announced > Some(state.watch.config.in_force.version)
}

fn find_entitlement(
    state: &GatewayState,
    arrival: &CallArrival,
) -> Result<Entitlement, RefusalCause> {
    let in_force = &state.watch.config.in_force;
    let (workspace, caller) = in_force
        .callers
        .find(arrival.digest)
        .ok_or(RefusalCause::UnknownKey)?;
    let configuration = &in_force.configuration;
    let allowed = &configuration.workspaces[workspace].services;
    if !allowed.contains(&arrival.service) {
        return Err(RefusalCause::UnknownService);
    }
    let service = configuration
        .services
        .get(&arrival.service)
        .ok_or(RefusalCause::UnknownService)?;
    let idempotency = match (&service.kind, &arrival.kind) {
        (ServiceKind::Model(_), CallKind::Model { .. }) => CallIdempotency::Idempotent,
        (ServiceKind::Plain(_), CallKind::Plain { method, path, .. }) => {
            plain_idempotency(configuration, &arrival.service, method, path)
        }
        _ => return Err(RefusalCause::WrongKind),
    };
    if idempotency == CallIdempotency::NonIdempotent && arrival.key.is_none() {
        return Err(RefusalCause::KeyMissing);
    }
    Ok(Entitlement {
        workspace: workspace.clone(),
        caller: caller.clone(),
        idempotency,
        timeout: service.timeout,
    })
}

fn plain_idempotency(
    configuration: &Configuration,
    service: &ServiceName,
    method: &str,
    path: &str,
) -> CallIdempotency {
    if configuration.is_non_idempotent(service, method, path) {
        CallIdempotency::NonIdempotent
    } else {
        CallIdempotency::Idempotent
    }
}

/// Shares and call limits of the workspaces of a configuration.
pub(crate) fn workspace_limits(
    configuration: &Configuration,
) -> BTreeMap<WorkspaceName, WorkspaceLimits> {
    let workspaces = configuration.workspaces.iter();
    workspaces
        .map(|(workspace, spec)| {
            let limits = WorkspaceLimits {
                share: spec.share,
                call_limit: spec.call_limit,
            };
            (workspace.clone(), limits)
        })
        .collect()
}
