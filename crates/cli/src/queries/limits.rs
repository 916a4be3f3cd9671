//! Calls running and waiting.

use std::collections::BTreeMap;

use base::prelude::*;
use serde::Serialize;

use crate::daemons::{ask_daemons, count_silent};
use crate::objects::read_nodes;
use crate::output::{ListReport, ReportRow};
use crate::{Answer, CliError, Session};

/// Calls of one workspace at one service, over all gateways.
#[derive(Clone, Debug, Serialize)]
pub struct LimitRow {
    workspace: WorkspaceName,
    service: ServiceName,
    running: usize,
    waiting: usize,
}

impl ReportRow for LimitRow {
    const COLUMNS: &'static [&'static str] = &["workspace", "service", "running", "waiting"];
    const NONE: &'static str = "no calls since the gateways started";

    fn cells(&self) -> Vec<String> {
        vec![
            self.workspace.to_string(),
            self.service.to_string(),
            self.running.to_string(),
            self.waiting.to_string(),
        ]
    }
}

/// Adds up the calls of all gateways.
pub async fn list_limits(session: &Session) -> Result<Answer, CliError> {
    let entries = read_nodes(session).await?;
    let daemons = ask_daemons(session, entries).await;
    let statuses = daemons.iter().filter_map(|daemon| daemon.status.as_ref());
    let mut rows = BTreeMap::new();
    for limit in statuses.flat_map(|status| &status.limits) {
        let key = (limit.workspace.clone(), limit.service.clone());
        let row = rows.entry(key).or_insert_with(|| LimitRow {
            workspace: limit.workspace.clone(),
            service: limit.service.clone(),
            running: 0,
            waiting: 0,
        });
        row.running += limit.running;
        row.waiting += limit.waiting;
    }
    let mut report = ListReport::new(rows.into_values().collect());
    report.notes.extend(silent_note(count_silent(&daemons)));
    Ok(Answer::done(report))
}

/// Line that says how many daemons are left out.
pub fn silent_note(silent: usize) -> Option<String> {
    (silent > 0).then(|| format!("daemons that gave no answer and are left out: {silent}"))
}
