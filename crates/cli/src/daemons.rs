//! Queries the daemons for their status.

use base::prelude::*;
use futures_util::stream::{self, StreamExt};
use interface::status::{GroupStatusWire, StatusWire};
use interface::{NodeEntry, StatusOutcome};

use crate::Session;

/// Status requests in flight at once.
const MAX_CONCURRENT_QUERIES: usize = 64;
/// Longest time to wait for the status of a daemon.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Registration of a daemon and its status.
#[derive(Clone, Debug)]
pub struct DaemonStatus {
    /// Registration of the daemon in the store.
    pub entry: NodeEntry,
    /// Status that the daemon reported; `None` if it did not answer or another node did.
    pub status: Option<Box<StatusWire>>,
}

/// Reads the status of daemons concurrently; results are in the order of the entries.
pub async fn query_daemons(session: &Session, entries: Vec<NodeEntry>) -> Vec<DaemonStatus> {
    let calls = entries.into_iter().map(|entry| async move {
        let deadline = session.clock.now() + STATUS_TIMEOUT;
        let status = match session.nodes.status(entry.admin, deadline).await {
            StatusOutcome::Reported(status) if status.node == entry.node => Some(status),
            _ => None,
        };
        DaemonStatus { entry, status }
    });
    stream::iter(calls)
        .buffered(MAX_CONCURRENT_QUERIES)
        .collect()
        .await
}

/// Number of daemons without a status.
pub fn count_unresponsive(daemons: &[DaemonStatus]) -> usize {
    daemons
        .iter()
        .filter(|daemon| daemon.status.is_none())
        .count()
}

/// What the daemons report about one epoch of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupObservations {
    /// Number of daemons that report the group as serving.
    pub serving: usize,
    /// Number of daemons that report the group as not serving.
    pub not_serving: usize,
    /// Distinct reasons that daemons give for the group not serving.
    pub reasons: Vec<String>,
}

/// Collects what the daemons report about one epoch of a group.
pub fn collect_observations(
    daemons: &[DaemonStatus],
    group: &GroupName,
    epoch: GroupEpoch,
) -> GroupObservations {
    let mut observations = GroupObservations::default();
    let statuses = daemons.iter().filter_map(|daemon| daemon.status.as_ref());
    let groups = statuses.flat_map(|status| &status.groups);
    for report in groups.filter(|report| report.group == *group && report.epoch == epoch) {
        if report.serving {
            observations.serving += 1;
        } else {
            observations.not_serving += 1;
            add_reasons(&mut observations.reasons, report);
        }
    }
    observations
}

fn add_reasons(reasons: &mut Vec<String>, report: &GroupStatusWire) {
    for member in &report.missing {
        let reason = format!("host {}: {}", member.host, member.reason);
        if !reasons.contains(&reason) {
            reasons.push(reason);
        }
    }
}
