//! Latencies by workspace and class of call.

use std::collections::BTreeMap;

use base::prelude::*;
use interface::status::HistogramWire;
use serde::Serialize;

use super::limits::unresponsive_note;
use crate::daemons::{count_unresponsive, query_daemons};
use crate::objects::read_nodes;
use crate::output::{ListReport, ReportRow};
use crate::{CliError, CommandOutcome, Session};

/// Which histograms to read.
#[derive(Clone, Debug, Default)]
pub struct HistogramFilter {
    /// Reads only this workspace; all if `None`.
    pub workspace: Option<WorkspaceName>,
    /// Reads only this node; all if `None`.
    pub node: Option<NodeName>,
}

/// Row of the list of histograms; percentiles are those of the slowest daemon.
#[derive(Clone, Debug, Serialize)]
pub struct HistogramRow {
    workspace: WorkspaceName,
    class: Arc<str>,
    measure: Arc<str>,
    daemons: usize,
    count: u64,
    p50_us: u64,
    p95_us: u64,
    p99_us: u64,
    max_us: u64,
}

impl ReportRow for HistogramRow {
    const COLUMNS: &'static [&'static str] = &[
        "workspace",
        "class",
        "measure",
        "daemons",
        "count",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "max ms",
    ];
    const EMPTY_TEXT: &'static str = "no measurements yet";

    fn cells(&self) -> Vec<String> {
        vec![
            self.workspace.to_string(),
            self.class.to_string(),
            self.measure.to_string(),
            self.daemons.to_string(),
            self.count.to_string(),
            format_millis(self.p50_us),
            format_millis(self.p95_us),
            format_millis(self.p99_us),
            format_millis(self.max_us),
        ]
    }
}

fn format_millis(micros: u64) -> String {
    format!("{}.{}", micros / 1_000, micros % 1_000 / 100)
}

impl HistogramRow {
    fn new(wire: &HistogramWire) -> Self {
        Self {
            workspace: wire.workspace.clone(),
            class: Arc::clone(&wire.class),
            measure: Arc::clone(&wire.measure),
            daemons: 0,
            count: 0,
            p50_us: 0,
            p95_us: 0,
            p99_us: 0,
            max_us: 0,
        }
    }

    /// Adds the histogram of one daemon: counts are summed, and each percentile is
    /// the highest of any daemon, since the values themselves are not reported.
    fn add(&mut self, wire: &HistogramWire) {
        self.daemons += 1;
        self.count += wire.count;
        self.p50_us = self.p50_us.max(wire.p50_us);
        self.p95_us = self.p95_us.max(wire.p95_us);
        self.p99_us = self.p99_us.max(wire.p99_us);
        self.max_us = self.max_us.max(wire.max_us);
    }
}

/// Lists the histograms of all daemons.
pub async fn list_histograms(
    session: &Session,
    filter: &HistogramFilter,
) -> Result<CommandOutcome, CliError> {
    let mut entries = read_nodes(session).await?;
    if let Some(node) = &filter.node {
        entries.retain(|entry| entry.node == *node);
    }
    let daemons = query_daemons(session, entries).await;
    let statuses = daemons.iter().filter_map(|daemon| daemon.status.as_ref());
    let matches = |wire: &&HistogramWire| {
        let workspace = filter.workspace.as_ref();
        workspace.is_none_or(|workspace| *workspace == wire.workspace)
    };
    let mut rows: BTreeMap<_, HistogramRow> = BTreeMap::new();
    for wire in statuses
        .flat_map(|status| &status.histograms)
        .filter(matches)
    {
        let key = (
            wire.workspace.clone(),
            Arc::clone(&wire.class),
            Arc::clone(&wire.measure),
        );
        rows.entry(key)
            .or_insert_with(|| HistogramRow::new(wire))
            .add(wire);
    }
    let mut report = ListReport::new(rows.into_values().collect());
    report
        .notes
        .extend(unresponsive_note(count_unresponsive(&daemons)));
    Ok(CommandOutcome::success(report))
}
