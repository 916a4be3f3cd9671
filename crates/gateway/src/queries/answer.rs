//! Answers to questions about the gateway.

use base::prelude::*;
use document::queries::was_ever_resolved;
use document::{KeyDigest, ServiceKind};
use members::ReadinessProof;

use super::status::describe;
use crate::state::StopPhase;
use crate::{GatewayAnswer, GatewayQuestion, GatewayState};

/// Answers one question.
pub fn answer_question(
    state: &GatewayState,
    question: GatewayQuestion,
    now: ClockTime,
) -> GatewayAnswer {
    match question {
        GatewayQuestion::Ready => GatewayAnswer::Ready(is_ready(state)),
        GatewayQuestion::Services(digest) => GatewayAnswer::Services(list_services(state, digest)),
        GatewayQuestion::Status => GatewayAnswer::Status(Box::new(describe(state, now))),
    }
}

/// Ready once a whole configuration and the hosts are known, and until a stop begins.
pub(super) fn is_ready(state: &GatewayState) -> bool {
    was_ever_resolved(&state.watch.config) && is_proven(state) && state.stop == StopPhase::Running
}

/// The list of hosts is the platform's; only an outage excuses its absence.
fn is_proven(state: &GatewayState) -> bool {
    let knows_hosts = !state.watch.hosts.is_empty();
    let Some(layer) = &state.peers else {
        return knows_hosts;
    };
    match layer.peers.readiness() {
        None => false,
        Some(ReadinessProof::Store) => knows_hosts,
        Some(ReadinessProof::Peers) => true,
    }
}

fn list_services(state: &GatewayState, digest: KeyDigest) -> Option<Vec<ServiceName>> {
    let in_force = &state.watch.config.in_force;
    let (workspace, _) = in_force.callers.find(digest)?;
    let configuration = &in_force.configuration;
    let allowed = configuration.workspaces[workspace].services.iter();
    let is_model = |service: &&ServiceName| {
        let spec = configuration.services.get(*service);
        spec.is_some_and(|spec| matches!(spec.kind, ServiceKind::Model(_)))
    };
    Some(allowed.filter(is_model).cloned().collect())
}
