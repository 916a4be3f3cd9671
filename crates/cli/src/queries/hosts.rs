//! Hosts of engines and plain services.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use groups::FabricRecord;
use interface::{HostEntry, Presence};
use serde::Serialize;
use serde_json::{Value, json};

use crate::objects::{read_drains, read_fabrics, read_hosts};
use crate::output::{ListReport, ReportRow};
use crate::{CliError, CommandOutcome, Report, ReportBody, Session};

/// Row of the list of hosts.
#[derive(Clone, Debug, Serialize)]
pub struct HostRow {
    host: HostName,
    failure_domain: DomainName,
    fabric: Option<FabricName>,
    service: Option<ServiceName>,
    accelerators: u32,
    state: &'static str,
    group: Option<GroupName>,
}

impl ReportRow for HostRow {
    const COLUMNS: &'static [&'static str] = &[
        "host",
        "failure domain",
        "fabric",
        "service",
        "accelerators",
        "state",
        "group",
    ];
    const EMPTY_TEXT: &'static str = "the platform lists no hosts";

    fn cells(&self) -> Vec<String> {
        let fabric = self.fabric.as_ref().map_or("-", FabricName::as_str);
        let service = self.service.as_ref().map_or("-", ServiceName::as_str);
        let group = self.group.as_ref().map_or("-", GroupName::as_str);
        vec![
            self.host.to_string(),
            self.failure_domain.to_string(),
            fabric.to_owned(),
            service.to_owned(),
            self.accelerators.to_string(),
            self.state.to_owned(),
            group.to_owned(),
        ]
    }
}

/// Maps each host that is in a group to the name of that group.
pub fn group_names_by_host(records: &[FabricRecord]) -> BTreeMap<&HostName, &GroupName> {
    let groups = records.iter().flat_map(|record| &record.groups);
    let members = groups.flat_map(|group| {
        let members = group.members.iter();
        members.map(move |member| (&member.host, &group.group))
    });
    members.collect()
}

/// Reason why a host is in no group, from the record of its fabric domain; `None` if it gives none.
pub fn find_exclusion(records: &[FabricRecord], host: &HostName) -> Option<String> {
    records.iter().find_map(|record| {
        let mut standbys = record.standbys.iter();
        let standby = standbys.find(|standby| standby.member.host == *host);
        let mut stragglers = record.stragglers.iter();
        let straggler = stragglers.find(|straggler| straggler.host == *host);
        match (standby, straggler) {
            (Some(standby), _) => Some(format!("a spare of {}", standby.deployment)),
            (None, Some(_)) => Some("taken out of its group because it was slow".to_owned()),
            (None, None) => None,
        }
    })
}

fn is_leaving(entry: &HostEntry) -> bool {
    entry.presence == Presence::Leaving
}

fn state_of(entry: &HostEntry, drains: &BTreeSet<HostName>) -> &'static str {
    match entry.presence {
        Presence::Leaving => "leaving",
        Presence::Live if drains.contains(&entry.host) => "draining",
        Presence::Live => "live",
    }
}

/// Lists the hosts known to the platform, with their states and groups.
pub async fn list_hosts(session: &Session) -> Result<CommandOutcome, CliError> {
    let hosts = read_hosts(session).await?;
    let records = read_fabrics(session).await?;
    let (_, drains) = read_drains(session).await?;
    let groups = group_names_by_host(&records);
    let rows = hosts.into_iter().map(|entry| HostRow {
        state: state_of(&entry, &drains.hosts),
        group: groups.get(&entry.host).map(|group| (*group).clone()),
        host: entry.host,
        failure_domain: entry.domain,
        fabric: entry.fabric,
        service: entry.service,
        accelerators: entry.accelerators,
    });
    Ok(CommandOutcome::success(ListReport::new(rows.collect())))
}

/// State of one host and the reasons for it.
pub struct HostReport {
    host: HostName,
    entry: Option<HostEntry>,
    group: Option<GroupName>,
    exclusion: Option<String>,
    draining: bool,
}

impl HostReport {
    fn reasons(&self) -> Vec<String> {
        let mut reasons = Vec::new();
        match &self.entry {
            None => {
                reasons.push("the platform does not list it, so it receives no work".to_owned())
            }
            Some(entry) if is_leaving(entry) => {
                reasons.push(
                    "the platform reports it as leaving, so it receives no new work".to_owned(),
                );
            }
            Some(_) => {}
        }
        if self.draining {
            let undrain = format!("bronzerun endpoint undrain {}", self.host);
            reasons.push(format!(
                "an operator has drained it, so it receives no new work: '{undrain}' undoes that"
            ));
        }
        reasons.push(self.assignment());
        reasons
    }

    fn assignment(&self) -> String {
        let service = self.entry.as_ref().and_then(|entry| entry.service.as_ref());
        match (&self.group, service) {
            (Some(group), _) => {
                format!("it is in group {group}: see 'bronzerun groups explain {group}'")
            }
            (None, Some(service)) => format!("it runs the plain service {service}"),
            (None, None) => match &self.exclusion {
                Some(exclusion) => format!("it is in no group: {exclusion}"),
                None if self.entry.as_ref().is_none_or(is_leaving) => {
                    "it is in no group".to_owned()
                }
                None => "it is in no group, so its accelerators are stranded".to_owned(),
            },
        }
    }
}

impl Report for HostReport {
    fn to_json(&self) -> Value {
        json!({
            "host": self.host,
            "listed": self.entry.is_some(),
            "leaving": self.entry.as_ref().map(is_leaving),
            "draining": self.draining,
            "failure_domain": self.entry.as_ref().map(|entry| &entry.domain),
            "fabric": self.entry.as_ref().and_then(|entry| entry.fabric.as_ref()),
            "address": self.entry.as_ref().map(|entry| entry.address),
            "group": self.group,
            "reasons": self.reasons(),
        })
    }

    fn to_body(&self) -> ReportBody {
        let mut lines = vec![format!("host {}", self.host)];
        if let Some(entry) = &self.entry {
            let fabric = entry.fabric.as_ref().map_or("none", FabricName::as_str);
            lines.push(format!("address {}", entry.address));
            lines.push(format!(
                "failure domain {}, fabric domain {fabric}",
                entry.domain
            ));
            lines.push(format!("accelerators {}", entry.accelerators));
        }
        lines.extend(self.reasons());
        ReportBody::Text(lines.join("\n"))
    }
}

/// Shows the state of a host and the reasons for it.
pub async fn explain_host(session: &Session, host: HostName) -> Result<CommandOutcome, CliError> {
    let hosts = read_hosts(session).await?;
    let records = read_fabrics(session).await?;
    let (_, drains) = read_drains(session).await?;
    let group = group_names_by_host(&records)
        .get(&host)
        .map(|group| (*group).clone());
    let exclusion = find_exclusion(&records, &host);
    let entry = hosts.into_iter().find(|entry| entry.host == host);
    let draining = drains.hosts.contains(&host);
    if entry.is_none() && group.is_none() && !draining {
        return Err(CliError::Missing {
            kind: "host",
            name: host.to_string(),
            list: "hosts list",
        });
    }
    Ok(CommandOutcome::success(HostReport {
        host,
        entry,
        group,
        exclusion,
        draining,
    }))
}
