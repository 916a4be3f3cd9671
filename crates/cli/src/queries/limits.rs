//! Running and waiting calls by workspace and service.

use std::collections::BTreeMap;

use base::prelude::*;
use serde::Serialize;

use crate::daemons::{count_unresponsive, query_daemons};
use crate::objects::read_nodes;
use crate::output::{ListReport, ReportRow};
use crate::{CliError, CommandOutcome, Session};

/// Calls of one workspace to one service, summed over all gateways.
#[derive(Clone, Debug, Serialize)]
pub struct LimitRow {
    workspace: WorkspaceName,
    service: ServiceName,
    running: usize,
    waiting: usize,
}

impl ReportRow for LimitRow {
    const COLUMNS: &'static [&'static str] = &["workspace", "service", "running", "waiting"];
    const EMPTY_TEXT: &'static str = "no calls since the gateways started";

    fn cells(&self) -> Vec<String> {
        vec![
            self.workspace.to_string(),
            self.service.to_string(),
            self.running.to_string(),
            self.waiting.to_string(),
        ]
    }
}

/// Lists the calls, summed over all gateways.
pub async fn list_limits(session: &Session) -> Result<CommandOutcome, CliError> {
    let entries = read_nodes(session).await?;
    let daemons = query_daemons(session, entries).await;
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
    report
        .notes
        .extend(unresponsive_note(count_unresponsive(&daemons)));
    Ok(CommandOutcome::success(report))
}

/// Note with the number of daemons that did not answer; `None` if all did.
pub fn unresponsive_note(unresponsive: usize) -> Option<String> {
    (unresponsive > 0)
        .then(|| format!("daemons that did not answer and are left out: {unresponsive}"))
}
