//! Replies to queries about the gateway.

use base::prelude::*;
use document::queries::was_ever_resolved;
use document::{KeyDigest, ServiceKind};
use members::ReadinessProof;

use super::authorize::{is_outdated, refuse_by_document};
use super::status::gateway_status;
use crate::state::ShutdownPhase;
use crate::{GatewayQuery, GatewayReply, GatewayState, RefusalCause};

/// Reply to a query.
pub fn reply_to_query(state: &GatewayState, query: GatewayQuery, now: ClockTime) -> GatewayReply {
    match query {
        GatewayQuery::Ready => GatewayReply::Ready(is_ready(state, now)),
        GatewayQuery::Services(digest) => {
            let services = list_services(state, digest);
            GatewayReply::Services(services.map_err(|cause| refuse_by_document(state, cause, now)))
        }
        GatewayQuery::Status => GatewayReply::Status(Box::new(gateway_status(state, now))),
    }
}

/// Whether the gateway is ready: a complete configuration and the hosts are known
/// and no shutdown has begun.
pub(super) fn is_ready(state: &GatewayState, now: ClockTime) -> bool {
    was_ever_resolved(&state.watch.config)
        && knows_hosts(state)
        && state.shutdown == ShutdownPhase::Running
        && !is_outdated(state, now)
}

/// Whether the hosts are known well enough to serve. The list of hosts comes from
/// the platform only; it may be missing if the peers proved readiness, that is,
/// during an outage of the store.
fn knows_hosts(state: &GatewayState) -> bool {
    let has_hosts = !state.watch.hosts.is_empty();
    let Some(layer) = &state.peers else {
        return has_hosts;
    };
    match layer.peers.readiness() {
        None => false,
        Some(ReadinessProof::Store) => has_hosts,
        Some(ReadinessProof::Peers) => true,
    }
}

fn list_services(
    state: &GatewayState,
    digest: KeyDigest,
) -> Result<Vec<ServiceName>, RefusalCause> {
    let in_force = &state.watch.config.in_force;
    let caller = in_force.callers.find(digest);
    let (workspace, _) = caller.ok_or(RefusalCause::UnknownKey)?;
    let configuration = &in_force.configuration;
    let allowed = configuration.workspaces[workspace].services.iter();
    let is_model = |service: &&ServiceName| {
        let spec = configuration.services.get(*service);
        spec.is_some_and(|spec| matches!(spec.kind, ServiceKind::Model(_)))
    };
    Ok(allowed.filter(is_model).cloned().collect())
}
