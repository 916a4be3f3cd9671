//! Evacuated failure domains, and which nodes still sent to their servers, out of nodes' log lines.
//!
//! Nodes learn of an evacuation at different times and as of different revisions of the store. The
//! revisions order what they log, so that a node that learns late begins no second evacuation.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::explain::{LogFile, split_line};
use crate::CommandOutcome;
use crate::output::{ListReport, ReportRow};

/// Nodes shown in one row of the table.
const MAX_SHOWN_NODES: usize = 5;

/// Evacuation in the output.
#[derive(Clone, Debug, Serialize)]
pub struct EvacuationRow {
    domain: String,
    /// Time at which the first node knew of it, by its own clock.
    since_unix_ms: u64,
    first_node: Arc<str>,
    /// Revision of the store by which the first node knew of it.
    revision: String,
    /// Time at which the first node knew of its end; absent if it has not ended.
    #[serde(skip_serializing_if = "Option::is_none")]
    until_unix_ms: Option<u64>,
    /// Nodes that logged that they knew of it.
    node_count: usize,
    /// Time from the first of these nodes to the last.
    last_node_ms: u64,
    /// Nodes that sent requests to servers of the domain meanwhile, the latest first.
    senders: Vec<LateSender>,
}

/// Node that sent requests after the first node knew of the evacuation.
#[derive(Clone, Debug, Serialize)]
struct LateSender {
    node: Arc<str>,
    attempt_count: usize,
    /// Time from the first node's knowledge to the last of these requests.
    last_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    last_request: Option<String>,
}

impl ReportRow for EvacuationRow {
    const COLUMNS: &'static [&'static str] = &[
        "domain",
        "since",
        "by",
        "revision",
        "until",
        "nodes",
        "last after",
        "still sent",
    ];
    const EMPTY_TEXT: &'static str = "no failure domain was evacuated";

    fn cells(&self) -> Vec<String> {
        let shown = self.senders.iter().take(MAX_SHOWN_NODES);
        let mut senders: Vec<_> = shown.map(LateSender::to_text).collect();
        let hidden_count = self.senders.len().saturating_sub(MAX_SHOWN_NODES);
        if hidden_count > 0 {
            senders.push(format!("{hidden_count} more"));
        }
        let until = self.until_unix_ms.map(|until| until.to_string());
        vec![
            self.domain.clone(),
            self.since_unix_ms.to_string(),
            self.first_node.to_string(),
            self.revision.clone(),
            until.unwrap_or_else(|| "evacuated".to_owned()),
            self.node_count.to_string(),
            format!("{} ms", self.last_node_ms),
            senders.join(", "),
        ]
    }
}

impl LateSender {
    fn to_text(&self) -> String {
        let Self {
            node,
            attempt_count,
            last_ms,
            ..
        } = self;
        let request = self.last_request.iter().map(|id| format!(" ({id})"));
        let request: String = request.collect();
        format!("{node} {attempt_count} until {last_ms} ms{request}")
    }
}

/// Fields of a log line that are read here; their types differ between messages.
#[derive(Deserialize)]
struct LineWire<'a> {
    unix_ms: u64,
    #[serde(borrow)]
    message: Cow<'a, str>,
    domain: Option<Value>,
    revision: Option<Value>,
    servers: Option<Value>,
    place: Option<Value>,
    id: Option<Value>,
}

/// Line that says that a node knows of an evacuation or its end.
struct KnownChange {
    /// Era and revision of the store.
    version: (u64, u64),
    at_ms: u64,
    node: Arc<str>,
    is_evacuated: bool,
}

/// Request that was sent to a server.
struct SentAttempt {
    at_ms: u64,
    node: Arc<str>,
    server: String,
    request: Option<String>,
}

/// What is read from the lines of all nodes.
#[derive(Default)]
struct LogContent {
    changes: BTreeMap<String, Vec<KnownChange>>,
    /// Servers by failure domain, as nodes knew them when it was evacuated.
    servers: BTreeMap<String, BTreeSet<String>>,
    attempts: Vec<SentAttempt>,
    skipped_count: usize,
}

/// Lists the evacuations in the order in which they began.
pub fn list_evacuations(files: &[LogFile]) -> CommandOutcome {
    let mut content = read_content(files);
    let mut rows = Vec::new();
    for (domain, mut changes) in std::mem::take(&mut content.changes) {
        changes.sort_by(|a, b| {
            let order = |change: &KnownChange| (change.version, !change.is_evacuated, change.at_ms);
            order(a).cmp(&order(b))
        });
        let domain_rows = list_rows(&domain, &changes);
        rows.extend(domain_rows);
    }
    for row in &mut rows {
        row.senders = late_senders(&content, row);
    }
    rows.sort_by_key(|row| row.since_unix_ms);
    let mut notes = vec!["times are from each node's own clock, and clocks may differ".to_owned()];
    if content.skipped_count > 0 {
        let count = content.skipped_count;
        notes.push(format!("{count} lines are no log lines and were left out"));
    }
    CommandOutcome::success(ListReport { rows, notes })
}

fn read_content(files: &[LogFile]) -> LogContent {
    let mut content = LogContent::default();
    for file in files {
        let name: Arc<str> = file.name.as_str().into();
        for line in file.text.lines().filter(|line| !line.trim().is_empty()) {
            let parsed = split_line(line).and_then(|(node, json)| {
                let wire: LineWire<'_> = serde_json::from_str(json).ok()?;
                Some((node, wire))
            });
            match parsed {
                Some((node, wire)) => {
                    let node = node.map_or_else(|| name.clone(), Arc::from);
                    read_line(&mut content, node, wire);
                }
                None => content.skipped_count += 1,
            }
        }
    }
    content
}

fn read_line(content: &mut LogContent, node: Arc<str>, wire: LineWire<'_>) {
    let is_evacuated = match wire.message.as_ref() {
        "failure domain evacuated" => true,
        "evacuation ended" => false,
        "attempt started" => {
            let attempt = text(wire.place).map(|server| SentAttempt {
                at_ms: wire.unix_ms,
                node,
                server,
                request: text(wire.id),
            });
            content.attempts.extend(attempt);
            return;
        }
        _ => return,
    };
    let version = text(wire.revision).and_then(|revision| read_version(&revision));
    let (Some(domain), Some(version)) = (text(wire.domain), version) else {
        return;
    };
    if let Some(servers) = text(wire.servers) {
        let known = content.servers.entry(domain.clone()).or_default();
        known.extend(servers.split(',').map(str::to_owned));
    }
    let changes = content.changes.entry(domain).or_default();
    changes.push(KnownChange {
        version,
        at_ms: wire.unix_ms,
        node,
        is_evacuated,
    });
}

/// Era and revision of a version in the form `era:revision`, or `revision` in the first era.
fn read_version(text: &str) -> Option<(u64, u64)> {
    match text.split_once(':') {
        Some((era, revision)) => Some((era.parse().ok()?, revision.parse().ok()?)),
        None => Some((0, text.parse().ok()?)),
    }
}

fn text(value: Option<Value>) -> Option<String> {
    match value? {
        Value::String(text) => Some(text),
        Value::Number(number) => Some(number.to_string()),
        _ => None,
    }
}

/// Evacuations of one domain, of changes in the order of their versions.
fn list_rows(domain: &str, changes: &[KnownChange]) -> Vec<EvacuationRow> {
    let mut rows = Vec::new();
    let mut rest = changes;
    while let Some(start) = rest.iter().position(|change| change.is_evacuated) {
        rest = &rest[start..];
        let end = rest.iter().position(|change| !change.is_evacuated);
        let (known, later) = rest.split_at(end.unwrap_or(rest.len()));
        let length = later.iter().position(|change| change.is_evacuated);
        let (ended, later) = later.split_at(length.unwrap_or(later.len()));
        rows.extend(make_row(domain, known, ended));
        rest = later;
    }
    rows
}

fn make_row(domain: &str, known: &[KnownChange], ended: &[KnownChange]) -> Option<EvacuationRow> {
    let first = known.iter().min_by_key(|change| change.at_ms)?;
    let last_ms = known.iter().map(|change| change.at_ms).max()?;
    let nodes: BTreeSet<_> = known.iter().map(|change| &change.node).collect();
    let (era, revision) = first.version;
    Some(EvacuationRow {
        domain: domain.to_owned(),
        since_unix_ms: first.at_ms,
        first_node: first.node.clone(),
        revision: match era {
            0 => revision.to_string(),
            era => format!("{era}:{revision}"),
        },
        until_unix_ms: ended.iter().map(|change| change.at_ms).min(),
        node_count: nodes.len(),
        last_node_ms: last_ms - first.at_ms,
        senders: Vec::new(),
    })
}

/// Nodes that sent requests to servers of the domain during the evacuation.
fn late_senders(content: &LogContent, row: &EvacuationRow) -> Vec<LateSender> {
    let Some(servers) = content.servers.get(&row.domain) else {
        return Vec::new();
    };
    let mut senders: BTreeMap<&Arc<str>, LateSender> = BTreeMap::new();
    let until_ms = row.until_unix_ms.unwrap_or(u64::MAX);
    let attempts = content.attempts.iter().filter(|attempt| {
        (row.since_unix_ms + 1..until_ms).contains(&attempt.at_ms)
            && servers.contains(&attempt.server)
    });
    for attempt in attempts {
        let sender = senders.entry(&attempt.node).or_insert_with(|| LateSender {
            node: attempt.node.clone(),
            attempt_count: 0,
            last_ms: 0,
            last_request: None,
        });
        sender.attempt_count += 1;
        let elapsed_ms = attempt.at_ms - row.since_unix_ms;
        if elapsed_ms >= sender.last_ms {
            sender.last_ms = elapsed_ms;
            sender.last_request.clone_from(&attempt.request);
        }
    }
    let mut senders: Vec<_> = senders.into_values().collect();
    senders.sort_by_key(|sender| std::cmp::Reverse(sender.last_ms));
    senders
}
