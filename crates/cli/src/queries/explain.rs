//! Log events of one request across nodes.

use std::collections::BTreeSet;

use base::prelude::*;
use serde::Serialize;
use serde_json::{Map, Value};

use crate::output::{ListReport, ReportRow};
use crate::{CliError, CommandOutcome};

/// Window before a request's first event in which changes of node state are shown.
const STATE_WINDOW_BEFORE_MS: u64 = 5_000;
/// Window after a request's last event in which changes of node state are shown.
const STATE_WINDOW_AFTER_MS: u64 = 500;
/// Fields that every log line has and that are not shown.
const COMMON_FIELDS: [&str; 6] = ["unix_ms", "up_ms", "level", "target", "message", "id"];
/// Fields that name targets.
const TARGET_FIELDS: [&str; 3] = ["place", "endpoint", "members"];
/// Messages about the state of a node, shown whichever target they concern.
const NODE_STATE_MESSAGES: [&str; 25] = [
    "started",
    "stopping: no longer ready",
    "configuration applied",
    "older configuration ignored",
    "group ownership changed",
    "group ownership taken over by another node",
    "store unavailable",
    "store available again",
    "store did not respond",
    "watch replaced, as changes may be missing",
    "watch mode changed",
    "log lines dropped",
    "no server reached; other nodes pass requests on",
    "servers reached again",
    "quarantined",
    "released from quarantine",
    "server names a limit",
    "server names no limit any more",
    "server names a limit to another node",
    "server names no limit to another node any more",
    "server announces that it leaves",
    "server announces to another node that it leaves",
    "server wants no requests for a while",
    "failure domain evacuated",
    "evacuation ended",
];

/// Log file of one node or of several.
#[derive(Clone, Debug)]
pub struct LogFile {
    /// Name of the file; used as the node's name for lines that give none.
    pub name: String,
    /// Content of the file.
    pub text: Arc<str>,
}

/// Event in the output.
#[derive(Clone, Debug, Serialize)]
pub struct EventRow {
    /// Milliseconds after the request's first event; negative before it.
    at_ms: i64,
    /// Node that logged the event.
    node: Arc<str>,
    /// `request` for an event of the request, `belief` for a change of a node's state.
    about: &'static str,
    /// Message of the log line.
    message: String,
    /// Other fields of the log line, as `name=value`.
    fields: String,
}

impl ReportRow for EventRow {
    const COLUMNS: &'static [&'static str] = &["ms", "node", "about", "what", "inputs and outcome"];
    const EMPTY_TEXT: &'static str = "no log line has this request ID";

    fn cells(&self) -> Vec<String> {
        vec![
            self.at_ms.to_string(),
            self.node.to_string(),
            self.about.to_owned(),
            self.message.clone(),
            self.fields.clone(),
        ]
    }
}

/// Parsed log line.
struct LogLine {
    node: Arc<str>,
    unix_ms: u64,
    message: String,
    fields: Map<String, Value>,
}

/// Lists the events of one request across nodes in order of time, together with
/// the state that the nodes involved logged about themselves and its targets.
pub fn explain_request(id: &str, files: &[LogFile]) -> Result<CommandOutcome, CliError> {
    let lines: Vec<_> = files.iter().flat_map(read_lines).collect();
    let request_lines: Vec<_> = lines
        .iter()
        .filter(|line| is_of_request(line, id))
        .collect();
    let times = request_lines.iter().map(|line| line.unix_ms);
    let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
        return Err(CliError::UnknownRequest { id: id.to_owned() });
    };
    let nodes: BTreeSet<_> = request_lines.iter().map(|line| line.node.clone()).collect();
    let targets: BTreeSet<_> = request_lines
        .iter()
        .filter_map(|line| field_text(line, "place"))
        .collect();
    let window = first.saturating_sub(STATE_WINDOW_BEFORE_MS)..=last + STATE_WINDOW_AFTER_MS;
    let mut rows: Vec<_> = lines
        .iter()
        .filter_map(|line| {
            let about = if is_of_request(line, id) {
                "request"
            } else if window.contains(&line.unix_ms) && is_related_state(line, &nodes, &targets) {
                "belief"
            } else {
                return None;
            };
            Some(make_row(line, about, first))
        })
        .collect();
    rows.sort_by_key(|row| row.at_ms);
    let note = format!("times are from each node's own clock, and clocks may differ; 0 is {first}");
    let notes = vec![note];
    Ok(CommandOutcome::success(ListReport { rows, notes }))
}

/// Parses the lines of a log.
fn read_lines(file: &LogFile) -> impl Iterator<Item = LogLine> {
    let name: Arc<str> = file.name.as_str().into();
    file.text.lines().filter_map(move |line| {
        let (node, json) = split_line(line)?;
        let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let message = fields.get("message")?.as_str()?.to_owned();
        let unix_ms = fields.get("unix_ms")?.as_u64()?;
        fields.remove("message");
        Some(LogLine {
            node: node.map_or_else(|| name.clone(), Arc::from),
            unix_ms,
            message,
            fields,
        })
    })
}

/// Splits a line into its node and its JSON; the last word before the JSON names the node.
pub(super) fn split_line(line: &str) -> Option<(Option<&str>, &str)> {
    let (prefix, json) = line.split_at(line.find('{')?);
    Some((prefix.split_whitespace().last(), json))
}

fn field_text(line: &LogLine, field: &str) -> Option<String> {
    line.fields.get(field)?.as_str().map(str::to_owned)
}

fn is_of_request(line: &LogLine, id: &str) -> bool {
    line.fields.get("id").and_then(Value::as_str) == Some(id)
}

/// Whether a line is about a target of the request or the state of a node involved.
fn is_related_state(
    line: &LogLine,
    nodes: &BTreeSet<Arc<str>>,
    targets: &BTreeSet<String>,
) -> bool {
    if line.fields.contains_key("id") {
        return false;
    }
    let names_target = TARGET_FIELDS.iter().any(|field| {
        let named = field_text(line, field);
        named.is_some_and(|named| named.split(',').any(|name| targets.contains(name)))
    });
    names_target
        || (nodes.contains(&line.node) && NODE_STATE_MESSAGES.contains(&line.message.as_str()))
}

fn make_row(line: &LogLine, about: &'static str, first: u64) -> EventRow {
    let fields = line.fields.iter();
    let shown = fields.filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
    let pairs = shown.map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    });
    EventRow {
        at_ms: line.unix_ms as i64 - first as i64,
        node: line.node.clone(),
        about,
        message: line.message.clone(),
        fields: pairs.collect::<Vec<_>>().join(" "),
    }
}
