//! Gateway and controller daemons.

use std::net::SocketAddr;

use base::prelude::*;
use serde::Serialize;

use crate::daemons::{DaemonStatus, query_daemons};
use crate::objects::read_nodes;
use crate::output::{ListReport, ReportRow};
use crate::{CliError, CommandOutcome, Session};

/// Row of the list of daemons.
#[derive(Clone, Debug, Serialize)]
pub struct NodeRow {
    node: NodeName,
    role: String,
    failure_domain: DomainName,
    admin: SocketAddr,
    state: &'static str,
    version: Option<ObjectVersion>,
    floor: Option<ObjectVersion>,
    held_back: Vec<SectionName>,
}

impl ReportRow for NodeRow {
    const COLUMNS: &'static [&'static str] = &[
        "node",
        "role",
        "failure domain",
        "admin",
        "state",
        "version",
        "floor",
        "held back",
    ];
    const EMPTY_TEXT: &'static str = "no daemon is registered: start the daemons first";

    fn cells(&self) -> Vec<String> {
        let format_version = |version: Option<ObjectVersion>| {
            version.map_or("-".to_owned(), |version| version.to_string())
        };
        let held_back: Vec<_> = self.held_back.iter().map(SectionName::as_str).collect();
        vec![
            self.node.to_string(),
            self.role.clone(),
            self.failure_domain.to_string(),
            self.admin.to_string(),
            self.state.to_owned(),
            format_version(self.version),
            format_version(self.floor),
            held_back.join(" "),
        ]
    }
}

impl From<DaemonStatus> for NodeRow {
    fn from(daemon: DaemonStatus) -> Self {
        let status = daemon.status.as_deref();
        let configuration = status.map(|status| &status.configuration);
        let rejected = configuration.map_or(&[][..], |entry| &entry.rejected);
        Self {
            state: state_of(&daemon),
            version: configuration.map(|entry| entry.version),
            floor: configuration.map(|entry| entry.floor),
            held_back: rejected.iter().map(|entry| entry.section.clone()).collect(),
            node: daemon.entry.node,
            role: daemon.entry.role.to_string(),
            failure_domain: daemon.entry.domain,
            admin: daemon.entry.admin,
        }
    }
}

fn state_of(daemon: &DaemonStatus) -> &'static str {
    match &daemon.status {
        None => "silent",
        Some(status) if !status.ready => "not ready",
        Some(status) if status.configuration.version < status.configuration.floor => "behind",
        Some(_) => "ready",
    }
}

/// Lists the registered daemons.
pub async fn list_nodes(session: &Session) -> Result<CommandOutcome, CliError> {
    let entries = read_nodes(session).await?;
    let daemons = query_daemons(session, entries).await;
    let rows = daemons.into_iter().map(NodeRow::from).collect();
    Ok(CommandOutcome::success(ListReport::new(rows)))
}
