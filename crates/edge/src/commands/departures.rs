//! Servers that the store no longer offers: read by this node, or by others.

use base::prelude::*;
use notices::{Departure, ServerRun};
use replicas::{Endpoint, Presence};

use super::refresh_targets;
use crate::EdgeState;
use crate::border::ports::StoreCollection;
use crate::peer::Digest;

/// Targets that this node has read in the store as ready.
pub(super) fn ready_runs(state: &EdgeState) -> Vec<ServerRun> {
    let targets = state.targets.iter().map(|target| ServerRun {
        server: target.id.clone(),
        incarnation: target.incarnation,
    });
    let is_ready = |run: &ServerRun| {
        listed_run(state, run).is_some_and(|endpoint| endpoint.presence == Presence::Ready)
    };
    targets.filter(is_ready).collect()
}

/// Records which of these servers the node has now read to be leaving or gone.
pub(super) fn record_departures(state: &mut EdgeState, runs: Vec<ServerRun>, now: ClockTime) {
    let listed = state.collection(StoreCollection::Endpoints);
    let revision = listed.map(|entry| entry.revision).unwrap_or_default();
    for run in runs {
        let endpoint = listed_run(state, &run);
        if endpoint.is_some_and(|endpoint| endpoint.presence != Presence::Leaving) {
            continue;
        }
        let departure = Departure {
            run,
            revision,
            read_at: now,
        };
        state.departures.record(departure, true);
    }
}

/// Adds the departures that another node knows.
pub(super) fn merge_departures(state: &mut EdgeState, digest: &Digest) {
    let mut has_targets = false;
    for departure in &digest.departures {
        if !state.departures.record(departure.clone(), false) {
            continue;
        }
        let run = &departure.run;
        let mut targets = state.targets.iter();
        if targets.any(|target| target.id == run.server && target.incarnation == run.incarnation) {
            log::info!(endpoint:% = run.server, node:% = digest.from, revision:% = departure.revision; "endpoint has left as another node has read");
            has_targets = true;
        }
    }
    if has_targets {
        refresh_targets(state);
        state.needs_plan = true;
    }
}

/// Endpoint as listed, if it is this run of the server.
fn listed_run<'a>(state: &'a EdgeState, run: &ServerRun) -> Option<&'a Endpoint> {
    let view = state.planner.endpoints().get(&run.server)?;
    Some(&view.endpoint).filter(|endpoint| endpoint.incarnation == run.incarnation)
}
