//! Which targets are cold, and which nodes may send to them meanwhile.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use intent::ColdStart;
use notices::{ColdCeiling, ColdLimit, ColdWindow, ServerRun, select_senders};
use relay::SendTarget;

use super::hubs::is_hub;
use crate::EdgeState;
use crate::state::PeerState;

/// Time without a digest of a node after which it isn't named as a sender.
const GONE_TIMEOUT: Duration = Duration::from_secs(3);
/// Difference below which two ends of a cold time are the same one, read at different nodes.
const SAME_END: Duration = Duration::from_millis(500);

/// How servers of a service behave while they are cold; `None` if that is not limited.
pub(crate) fn cold_start(state: &EdgeState, service: &ServiceName) -> Option<ColdStart> {
    state.settings.bounds.cold?;
    state.config.get()?.services.get(service)?.cold
}

/// Requests that a cold server of a service may receive in a second.
pub(crate) fn cold_ceiling(state: &EdgeState, service: &ServiceName) -> Option<ColdCeiling> {
    let bounds = state.settings.bounds.cold?;
    let start = cold_start(state, service)?;
    ColdCeiling::new(start.per_second, bounds.over, bounds.slack)
}

/// Longest time for which servers of any service are cold after their start.
pub(crate) fn longest_cold_start(state: &EdgeState) -> Option<Duration> {
    let services = state.config.get()?.services.keys();
    let starts = services.filter_map(|service| cold_start(state, service));
    starts.map(|start| start.duration).max()
}

/// Whether any server can be cold.
pub(crate) fn has_cold_limits(state: &EdgeState) -> bool {
    let services = state.config.get().map(|config| config.services.values());
    let mut services = services.into_iter().flatten();
    state.settings.bounds.cold.is_some() && services.any(|service| service.cold.is_some())
}

/// Time in which a server is cold as this node knows it, with the senders that it names.
pub(crate) fn cold_window(
    state: &EdgeState,
    server: &HostName,
    incarnation: HostIncarnation,
    domain: &DomainName,
    service: &ServiceName,
) -> Option<ColdWindow> {
    let ceiling = cold_ceiling(state, service)?;
    let run = ServerRun {
        server: server.clone(),
        incarnation,
    };
    let (until, _) = state.cold.cold_until(&run, domain)?;
    let senders = if state.names_senders {
        name_senders(state, &run, ceiling)
    } else {
        Arc::new([])
    };
    Some(ColdWindow { until, senders })
}

/// Nodes that may send to a cold server, among those that have an entry in the store.
fn name_senders(state: &EdgeState, run: &ServerRun, ceiling: ColdCeiling) -> Arc<[NodeName]> {
    // Nodes that are no hubs hear only hubs, so they know of no node whether it is alive.
    let hears_all = is_hub(state);
    let now = state.cold_checked_at;
    let is_alive = |peer: &PeerState| {
        let heard_at = peer.last_digest_at;
        let is_cut_off = (peer.digest.as_ref()).is_some_and(|digest| digest.is_cut_off);
        let is_heard = heard_at.is_some_and(|at| now.since(at) < GONE_TIMEOUT);
        !is_cut_off && (is_heard || !hears_all)
    };
    let peers = state.peers.iter();
    let peers = peers.map(|(node, peer)| (node, is_alive(peer)));
    let local = (&state.settings.node, state.stopping.is_none());
    select_senders(run, ceiling, peers.chain([local]))
}

/// Targets with those of failure domains whose evacuation has ended as cold, at every node by
/// itself. An owner's message from before names no senders for them.
pub(crate) fn with_cold_domains(
    state: &EdgeState,
    targets: Arc<[SendTarget]>,
) -> Arc<[SendTarget]> {
    let marked_until = |target: &SendTarget| {
        let until = state.cold.domain_until(&target.domain)?;
        cold_ceiling(state, &target.service)?;
        let known = target.cold.as_ref().map(|cold| cold.until);
        known.is_none_or(|known| known < until).then_some(until)
    };
    if !targets.iter().any(|target| marked_until(target).is_some()) {
        return targets;
    }
    let marked = targets.iter().map(|target| {
        let Some(until) = marked_until(target) else {
            return target.clone();
        };
        let senders = target.cold.as_ref().map(|cold| cold.senders.clone());
        let senders = senders.unwrap_or_default();
        SendTarget {
            cold: Some(ColdWindow { until, senders }),
            ..target.clone()
        }
    });
    marked.collect()
}

/// Targets with the ends of cold times that this node has used before where they hardly differ.
///
/// Each message gives a slightly later end, and targets that differ are sent to others again.
pub(crate) fn keep_cold_ends(
    known: &[SendTarget],
    targets: Arc<[SendTarget]>,
) -> Arc<[SendTarget]> {
    if targets.iter().all(|target| target.cold.is_none()) {
        return targets;
    }
    let known: BTreeMap<_, _> = known
        .iter()
        .filter_map(|target| Some(((&target.id, target.incarnation), target.cold.as_ref()?)))
        .collect();
    let kept = targets.iter().map(|target| {
        let mut target = target.clone();
        let before = known.get(&(&target.id, target.incarnation));
        if let (Some(cold), Some(before)) = (&mut target.cold, before)
            && cold.until.since(before.until) < SAME_END
            && before.until.since(cold.until) < SAME_END
        {
            cold.until = before.until;
        }
        target
    });
    kept.collect()
}

/// What this node may send to each cold target.
///
/// A node that doesn't know the ceiling, as it has an older configuration than the owner, sends
/// nothing.
pub(crate) fn cold_limits(state: &EdgeState) -> BTreeMap<HostName, ColdLimit> {
    let node = &state.settings.node;
    let limits = state.targets.iter().filter_map(|target| {
        let cold = target.cold.as_ref()?;
        let ceiling = cold_ceiling(state, &target.service);
        let is_sender = cold.senders.contains(node);
        let limit = ColdLimit {
            incarnation: target.incarnation,
            until: cold.until,
            per_window: match ceiling {
                Some(ceiling) if is_sender => ceiling.per_sender(),
                _ => 0,
            },
        };
        Some((target.id.clone(), limit))
    });
    limits.collect()
}

/// Listed endpoints that are cold.
pub(crate) fn cold_hosts(state: &EdgeState) -> BTreeSet<HostName> {
    if state.cold.is_empty() {
        return BTreeSet::new();
    }
    let views = state.planner.endpoints().values();
    let cold = views.map(|view| &view.endpoint).filter(|endpoint| {
        let run = ServerRun {
            server: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
        };
        cold_start(state, &endpoint.service).is_some()
            && state.cold.cold_until(&run, &endpoint.domain).is_some()
    });
    cold.map(|endpoint| endpoint.id.clone()).collect()
}
