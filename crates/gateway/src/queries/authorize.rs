//! What the holder of a key may do.

use std::collections::BTreeMap;

use base::prelude::*;
use document::{Configuration, ServiceKind};
use limits::{CallIdempotency, WorkspaceLimits};

use crate::{CallArrival, CallKind, GatewayState, RefusalCause};

/// Right to make one call.
#[derive(Clone, Debug)]
pub(crate) struct Entitlement {
    pub workspace: WorkspaceName,
    pub caller: CallerName,
    pub idempotency: CallIdempotency,
    pub timeout: Duration,
}

/// Whether a call may be made.
///
/// A service of another workspace and one that doesn't exist look the same, so
/// that nobody can find out others' services by guessing.
pub(crate) fn authorize(
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
    let repeat = match (&service.kind, &arrival.kind) {
        (ServiceKind::Model(_), CallKind::Model { .. }) => CallIdempotency::Idempotent,
        (ServiceKind::Plain(_), CallKind::Plain { method, path, .. }) => {
            plain_repeat(configuration, &arrival.service, method, path)
        }
        _ => return Err(RefusalCause::WrongKind),
    };
    if repeat == CallIdempotency::NonIdempotent && arrival.key.is_none() {
        return Err(RefusalCause::KeyMissing);
    }
    Ok(Entitlement {
        workspace: workspace.clone(),
        caller: caller.clone(),
        idempotency: repeat,
        timeout: service.timeout,
    })
}

fn plain_repeat(
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

/// Shares of the workspaces in force.
pub(crate) fn workspace_shares(
    configuration: &Configuration,
) -> BTreeMap<WorkspaceName, WorkspaceLimits> {
    let workspaces = configuration.workspaces.iter();
    workspaces
        .map(|(workspace, spec)| {
            let share = WorkspaceLimits {
                share: spec.share,
                call_limit: spec.call_limit,
            };
            (workspace.clone(), share)
        })
        .collect()
}
