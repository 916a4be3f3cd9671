//! Accelerators that are healthy but in no complete group.

use std::collections::BTreeMap;

use base::prelude::*;
use groups::{FabricRecord, GroupRecord};
use interface::{HostEntry, Presence};
use serde::Serialize;

use super::hosts::find_exclusion;
use super::limits::unresponsive_note;
use crate::daemons::{DaemonStatus, collect_observations, count_unresponsive, query_daemons};
use crate::objects::{read_drains, read_fabrics, read_hosts, read_nodes};
use crate::output::{ListReport, ReportRow};
use crate::{CliError, CommandOutcome, Session};

/// Row of the list of hosts with stranded accelerators.
#[derive(Clone, Debug, Serialize)]
pub struct StrandedRow {
    host: HostName,
    fabric: FabricName,
    accelerators: u32,
    reason: String,
}

impl ReportRow for StrandedRow {
    const COLUMNS: &'static [&'static str] = &["host", "fabric", "accelerators", "reason"];
    const EMPTY_TEXT: &'static str = "no accelerators are stranded";

    fn cells(&self) -> Vec<String> {
        vec![
            self.host.to_string(),
            self.fabric.to_string(),
            self.accelerators.to_string(),
            self.reason.clone(),
        ]
    }
}

/// Lists the hosts whose accelerators are stranded.
///
/// Hosts that are leaving or drained are idle on purpose and are not counted. Nor
/// is a host that keeps its group from serving, since it is not healthy; the other
/// members of that group are counted.
pub async fn list_stranded(session: &Session) -> Result<CommandOutcome, CliError> {
    let hosts = read_hosts(session).await?;
    let records = read_fabrics(session).await?;
    let (_, drains) = read_drains(session).await?;
    let daemons = query_daemons(session, read_nodes(session).await?).await;
    let groups_by_host = groups_by_host(&records);
    let mut rows = Vec::new();
    let in_service =
        |entry: &HostEntry| entry.presence == Presence::Live && !drains.hosts.contains(&entry.host);
    for entry in hosts.into_iter().filter(in_service) {
        let Some(fabric) = entry.fabric.clone() else {
            continue;
        };
        if let Some(reason) = find_reason(&entry, &records, &groups_by_host, &daemons) {
            rows.push(StrandedRow {
                host: entry.host,
                fabric,
                accelerators: entry.accelerators,
                reason,
            });
        }
    }
    let total: u32 = rows.iter().map(|row| row.accelerators).sum();
    let mut report = ListReport::new(rows);
    if total > 0 {
        report
            .notes
            .push(format!("{total} accelerators are stranded"));
    }
    report
        .notes
        .extend(unresponsive_note(count_unresponsive(&daemons)));
    Ok(CommandOutcome::success(report))
}

fn groups_by_host(records: &[FabricRecord]) -> BTreeMap<&HostName, &GroupRecord> {
    let groups = records.iter().flat_map(|record| &record.groups);
    let members = groups.flat_map(|group| {
        let members = group.members.iter();
        members.map(move |member| (&member.host, group))
    });
    members.collect()
}

fn find_reason(
    entry: &HostEntry,
    records: &[FabricRecord],
    groups_by_host: &BTreeMap<&HostName, &GroupRecord>,
    daemons: &[DaemonStatus],
) -> Option<String> {
    let Some(group) = groups_by_host.get(&entry.host) else {
        let exclusion = find_exclusion(records, &entry.host);
        return Some(exclusion.unwrap_or_else(|| "in no group".to_owned()));
    };
    let observations = collect_observations(daemons, &group.group, group.epoch);
    let host_prefix = format!("host {}:", entry.host);
    let is_missing = observations
        .reasons
        .iter()
        .any(|reason| reason.starts_with(&host_prefix));
    if observations.serving > 0 || observations.not_serving == 0 || is_missing {
        return None;
    }
    let reasons = observations.reasons.join("; ");
    Some(format!("group {} is not complete: {reasons}", group.group))
}
