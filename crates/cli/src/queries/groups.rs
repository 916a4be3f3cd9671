//! Replica groups.

use base::prelude::*;
use groups::{FabricRecord, GroupPhase, GroupRecord};
use serde::Serialize;
use serde_json::{Value, json};

use super::limits::unresponsive_note;
use crate::daemons::{
    DaemonStatus, GroupObservations, collect_observations, count_unresponsive, query_daemons,
};
use crate::objects::{read_fabrics, read_nodes};
use crate::output::{ListReport, ReportRow};
use crate::{CliError, CommandOutcome, Report, ReportBody, Session};

/// Row of the list of groups.
#[derive(Clone, Debug, Serialize)]
pub struct GroupRow {
    group: GroupName,
    deployment: DeploymentName,
    fabric: FabricName,
    epoch: GroupEpoch,
    members: usize,
    state: &'static str,
    reasons: Vec<String>,
}

impl ReportRow for GroupRow {
    const COLUMNS: &'static [&'static str] = &[
        "group",
        "deployment",
        "fabric",
        "epoch",
        "members",
        "state",
        "reasons",
    ];
    const EMPTY_TEXT: &'static str = "there are no groups";

    fn cells(&self) -> Vec<String> {
        vec![
            self.group.to_string(),
            self.deployment.to_string(),
            self.fabric.to_string(),
            self.epoch.to_string(),
            self.members.to_string(),
            self.state.to_owned(),
            self.reasons.join("; "),
        ]
    }
}

/// State of a group by its record and the reports of the daemons.
pub fn state_of(group: &GroupRecord, observations: &GroupObservations) -> &'static str {
    match (group.phase, observations.serving, observations.not_serving) {
        (GroupPhase::Draining, _, _) => "draining",
        (GroupPhase::Active, 0, 0) => "not seen",
        (GroupPhase::Active, 0, _) => "not serving",
        (GroupPhase::Active, _, _) => "serving",
    }
}

/// Lists the groups.
pub async fn list_groups(session: &Session) -> Result<CommandOutcome, CliError> {
    let records = read_fabrics(session).await?;
    let daemons = query_daemons(session, read_nodes(session).await?).await;
    let mut rows = Vec::new();
    for record in &records {
        rows.extend(
            record
                .groups
                .iter()
                .map(|group| make_row(record, group, &daemons)),
        );
    }
    rows.sort_by(|one, other| one.group.cmp(&other.group));
    let mut report = ListReport::new(rows);
    report
        .notes
        .extend(unresponsive_note(count_unresponsive(&daemons)));
    Ok(CommandOutcome::success(report))
}

fn make_row(record: &FabricRecord, group: &GroupRecord, daemons: &[DaemonStatus]) -> GroupRow {
    let observations = collect_observations(daemons, &group.group, group.epoch);
    GroupRow {
        group: group.group.clone(),
        deployment: group.deployment.clone(),
        fabric: record.fabric.clone(),
        epoch: group.epoch,
        members: group.members.len(),
        state: state_of(group, &observations),
        reasons: observations.reasons,
    }
}

/// State of one group and the reasons for it.
pub struct GroupReport {
    fabric: FabricName,
    holder: Option<NodeName>,
    group: GroupRecord,
    observations: GroupObservations,
    unresponsive: usize,
}

impl Report for GroupReport {
    fn to_json(&self) -> Value {
        let members = self.group.members.iter().map(|member| {
            json!({
                "host": member.host,
                "address": member.address,
                "incarnation": member.incarnation,
            })
        });
        json!({
            "group": self.group.group,
            "deployment": self.group.deployment,
            "fabric": self.fabric,
            "owner": self.holder,
            "epoch": self.group.epoch,
            "state": state_of(&self.group, &self.observations),
            "members": members.collect::<Vec<_>>(),
            "seen_serving": self.observations.serving,
            "seen_not_serving": self.observations.not_serving,
            "reasons": self.observations.reasons,
            "silent_daemons": self.unresponsive,
        })
    }

    fn to_body(&self) -> ReportBody {
        let owner = self.holder.as_ref().map_or("nobody", NodeName::as_str);
        let mut lines = vec![
            format!("group {} is {}", self.group.group, self.state_text()),
            format!("deployment {}", self.group.deployment),
            format!("fabric domain {}, owned by {owner}", self.fabric),
            format!("epoch {}", self.group.epoch),
        ];
        for (rank, member) in self.group.members.iter().enumerate() {
            let location = format!("{} at {}", member.host, member.address);
            lines.push(format!("member {rank}: {location}"));
        }
        lines.extend(self.observations.reasons.iter().cloned());
        lines.extend(unresponsive_note(self.unresponsive));
        ReportBody::Text(lines.join("\n"))
    }
}

impl GroupReport {
    fn state_text(&self) -> String {
        let observations = &self.observations;
        let reporting = observations.serving + observations.not_serving;
        let state = state_of(&self.group, observations);
        format!(
            "{state} ({} of {reporting} daemons report it as serving)",
            observations.serving
        )
    }
}

/// Shows whether a group is serving and why.
pub async fn explain_group(session: &Session, name: GroupName) -> Result<CommandOutcome, CliError> {
    let records = read_fabrics(session).await?;
    let daemons = query_daemons(session, read_nodes(session).await?).await;
    let found = records.into_iter().find_map(|record| {
        let group = record
            .groups
            .into_iter()
            .find(|group| group.group == name)?;
        Some((record.fabric, record.lease.map(|lease| lease.holder), group))
    });
    let Some((fabric, holder, group)) = found else {
        return Err(CliError::Missing {
            kind: "group",
            name: name.to_string(),
            list: "groups list",
        });
    };
    let observations = collect_observations(&daemons, &group.group, group.epoch);
    Ok(CommandOutcome::success(GroupReport {
        fabric,
        holder,
        group,
        observations,
        unresponsive: count_unresponsive(&daemons),
    }))
}
