//! Accelerators that are healthy but in no complete group.

use std::collections::BTreeMap;

use base::prelude::*;
use groups::{FabricRecord, GroupRecord};
use interface::{HostEntry, Presence};
use serde::Serialize;

use super::hosts::find_reserve;
use super::limits::silent_note;
use crate::daemons::{DaemonStatus, ask_daemons, count_silent, gather_sight};
use crate::objects::{read_drains, read_fabrics, read_hosts, read_nodes};
use crate::output::{ListReport, ReportRow};
use crate::{Answer, CliError, Session};

/// Host with stranded accelerators.
#[derive(Clone, Debug, Serialize)]
pub struct StrandedRow {
    host: HostName,
    fabric: FabricName,
    accelerators: u32,
    reason: String,
}

impl ReportRow for StrandedRow {
    const COLUMNS: &'static [&'static str] = &["host", "fabric", "accelerators", "reason"];
    const NONE: &'static str = "no accelerators are stranded";

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
/// Hosts that leave or are drained are idle on purpose and don't count. Nor does
/// a host that keeps its group from serving, since it is not healthy; the other
/// members of that group do.
pub async fn list_stranded(session: &Session) -> Result<Answer, CliError> {
    let hosts = read_hosts(session).await?;
    let records = read_fabrics(session).await?;
    let (_, drains) = read_drains(session).await?;
    let daemons = ask_daemons(session, read_nodes(session).await?).await;
    let places = place_groups(&records);
    let mut rows = Vec::new();
    let working =
        |entry: &HostEntry| entry.presence == Presence::Live && !drains.hosts.contains(&entry.host);
    for entry in hosts.into_iter().filter(working) {
        let Some(fabric) = entry.fabric.clone() else {
            continue;
        };
        if let Some(reason) = find_reason(&entry, &records, &places, &daemons) {
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
    report.notes.extend(silent_note(count_silent(&daemons)));
    Ok(Answer::done(report))
}

fn place_groups(records: &[FabricRecord]) -> BTreeMap<&HostName, &GroupRecord> {
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
    places: &BTreeMap<&HostName, &GroupRecord>,
    daemons: &[DaemonStatus],
) -> Option<String> {
    let Some(group) = places.get(&entry.host) else {
        let reserve = find_reserve(records, &entry.host);
        return Some(reserve.unwrap_or_else(|| "in no group".to_owned()));
    };
    let sight = gather_sight(daemons, &group.group, group.epoch);
    let itself = format!("host {}:", entry.host);
    let is_missing = sight
        .reasons
        .iter()
        .any(|reason| reason.starts_with(&itself));
    if sight.serving > 0 || sight.missing == 0 || is_missing {
        return None;
    }
    let reasons = sight.reasons.join("; ");
    Some(format!("group {} is not complete: {reasons}", group.group))
}
