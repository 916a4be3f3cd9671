//! What the daemons say of themselves.

use base::prelude::*;
use futures_util::stream::{self, StreamExt};
use interface::status::{GroupStatusWire, StatusWire};
use interface::{NodeEntry, StatusOutcome};

use crate::Session;

/// Daemons asked at once.
const ASKED_AT_ONCE: usize = 64;
/// Time in which a daemon must answer.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Daemon and what it said, if it answered.
#[derive(Clone, Debug)]
pub struct DaemonStatus {
    /// Its entry in the store.
    pub entry: NodeEntry,
    /// What it says of itself.
    pub status: Option<Box<StatusWire>>,
}

/// Asks daemons for their status, many at once, in the order of the entries.
pub async fn ask_daemons(session: &Session, entries: Vec<NodeEntry>) -> Vec<DaemonStatus> {
    let calls = entries.into_iter().map(|entry| async move {
        let deadline = session.clock.now() + STATUS_TIMEOUT;
        let status = match session.nodes.status(entry.admin, deadline).await {
            StatusOutcome::Reported(status) if status.node == entry.node => Some(status),
            _ => None,
        };
        DaemonStatus { entry, status }
    });
    stream::iter(calls).buffered(ASKED_AT_ONCE).collect().await
}

/// Daemons that gave no answer.
pub fn count_silent(daemons: &[DaemonStatus]) -> usize {
    daemons
        .iter()
        .filter(|daemon| daemon.status.is_none())
        .count()
}

/// How the daemons see one generation of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupSight {
    /// Daemons that see it serve.
    pub serving: usize,
    /// Daemons that don't.
    pub missing: usize,
    /// What keeps it from serving, as the latter say.
    pub reasons: Vec<String>,
}

/// Gathers what the daemons say of a group.
pub fn gather_sight(daemons: &[DaemonStatus], group: &GroupName, epoch: GroupEpoch) -> GroupSight {
    let mut sight = GroupSight::default();
    let statuses = daemons.iter().filter_map(|daemon| daemon.status.as_ref());
    let groups = statuses.flat_map(|status| &status.groups);
    for seen in groups.filter(|seen| seen.group == *group && seen.epoch == epoch) {
        if seen.serving {
            sight.serving += 1;
        } else {
            sight.missing += 1;
            add_reasons(&mut sight.reasons, seen);
        }
    }
    sight
}

fn add_reasons(reasons: &mut Vec<String>, seen: &GroupStatusWire) {
    for member in &seen.missing {
        let reason = format!("host {}: {}", member.host, member.reason);
        if !reasons.contains(&reason) {
            reasons.push(reason);
        }
    }
}
