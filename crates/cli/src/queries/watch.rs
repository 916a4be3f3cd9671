//! Waits until a version of the document is in force on every daemon.

use std::collections::BTreeMap;

use base::prelude::*;
use interface::NodeEntry;
use interface::status::RejectedWire;
use serde::Serialize;

use crate::daemons::{DaemonStatus, query_daemons};
use crate::objects::{read_document, read_nodes};
use crate::output::{ListReport, ReportRow};
use crate::{CliError, CommandOutcome, ExitStatus, Session};

/// Interval between two polls of the daemons.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Version to watch.
#[derive(Clone, Debug)]
pub struct WatchRequest {
    /// Version to wait for; the newest one if `None`.
    pub version: Option<ObjectVersion>,
    /// Section whose rejection by a daemon makes the command fail.
    pub section: Option<SectionName>,
    /// Longest time to wait.
    pub timeout: Duration,
}

/// Row for a daemon that lags behind the version or rejects a section.
#[derive(Clone, Debug, Serialize)]
pub struct WatchRow {
    node: NodeName,
    role: String,
    version: Option<ObjectVersion>,
    state: &'static str,
    detail: String,
}

impl ReportRow for WatchRow {
    const COLUMNS: &'static [&'static str] = &["node", "role", "version", "state", "detail"];
    const EMPTY_TEXT: &'static str = "no daemon lags and no section is held back";

    fn cells(&self) -> Vec<String> {
        let version = self
            .version
            .map_or("-".to_owned(), |version| version.to_string());
        vec![
            self.node.to_string(),
            self.role.clone(),
            version,
            self.state.to_owned(),
            self.detail.clone(),
        ]
    }
}

/// Polls the lagging daemons until none is left or the timeout ends.
pub async fn watch_version(
    session: &Session,
    request: &WatchRequest,
) -> Result<CommandOutcome, CliError> {
    let deadline = session.clock.now() + request.timeout;
    let version = match request.version {
        Some(version) => version,
        None => read_document(session).await?.0,
    };
    let mut pending = read_nodes(session).await?;
    let count = pending.len();
    let mut rejected = BTreeMap::new();
    loop {
        let daemons = query_daemons(session, pending).await;
        let (done, lagging) = split_daemons(daemons, version);
        for daemon in done {
            add_rejected(&mut rejected, &daemon);
        }
        if lagging.is_empty() || session.clock.now() >= deadline {
            return Ok(report_watch(request, version, count, &lagging, rejected));
        }
        pending = lagging.into_iter().map(|daemon| daemon.entry).collect();
        session.wait(POLL_INTERVAL).await;
    }
}

fn split_daemons(
    daemons: Vec<DaemonStatus>,
    version: ObjectVersion,
) -> (Vec<DaemonStatus>, Vec<DaemonStatus>) {
    daemons.into_iter().partition(|daemon| {
        let status = daemon.status.as_ref();
        status.is_some_and(|status| status.configuration.version >= version)
    })
}

type RejectedRows = BTreeMap<(SectionName, String), (WatchRow, usize)>;

/// Counts the daemons that reject a section, with the row of the first of them.
fn add_rejected(rejected: &mut RejectedRows, daemon: &DaemonStatus) {
    let Some(status) = &daemon.status else { return };
    for section in &status.configuration.rejected {
        let detail = describe_rejected(section);
        let row = || {
            let row = WatchRow {
                node: daemon.entry.node.clone(),
                role: daemon.entry.role.to_string(),
                version: Some(status.configuration.version),
                state: "holds back",
                detail: detail.clone(),
            };
            (row, 0)
        };
        let key = (section.section.clone(), detail.clone());
        rejected.entry(key).or_insert_with(row).1 += 1;
    }
}

fn describe_rejected(rejected: &RejectedWire) -> String {
    let in_force = match rejected.in_force {
        Some(revision) => format!("revision {revision} stays in force"),
        None => "left out".to_owned(),
    };
    let faults = rejected.faults.iter();
    let faults = faults.map(|fault| {
        format!(
            "line {}, column {}: {}",
            fault.line, fault.column, fault.message
        )
    });
    format!(
        "section {} revision {}: {in_force}: {}",
        rejected.section,
        rejected.revision,
        faults.collect::<Vec<_>>().join("; ")
    )
}

fn report_watch(
    request: &WatchRequest,
    version: ObjectVersion,
    count: usize,
    lagging: &[DaemonStatus],
    rejected: RejectedRows,
) -> CommandOutcome {
    let is_rejected = |section: &SectionName| rejected.keys().any(|(name, _)| name == section);
    let status = if request.section.as_ref().is_some_and(is_rejected) {
        ExitStatus::Faulty
    } else if lagging.is_empty() && count > 0 {
        ExitStatus::Done
    } else {
        ExitStatus::Pending
    };
    let mut rows: Vec<_> = lagging.iter().map(lagging_row).collect();
    for (mut row, daemons) in rejected.into_values() {
        row.detail = format!("{} (daemons: {daemons})", row.detail);
        rows.push(row);
    }
    let reached = count - lagging.len();
    let summary = format!("version {version} is in force on {reached} of {count} daemons");
    let mut notes = vec![summary];
    if count == 0 {
        notes.push("no daemon is registered: start the daemons first".to_owned());
    }
    CommandOutcome::with_status(ListReport { rows, notes }, status)
}

fn lagging_row(daemon: &DaemonStatus) -> WatchRow {
    let NodeEntry { node, role, .. } = daemon.entry.clone();
    let status = daemon.status.as_ref();
    WatchRow {
        node,
        role: role.to_string(),
        version: status.map(|status| status.configuration.version),
        state: if status.is_some() { "behind" } else { "silent" },
        detail: String::new(),
    }
}
