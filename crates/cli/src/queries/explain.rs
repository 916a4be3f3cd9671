//! One request's story out of the nodes' logs.

use std::collections::BTreeSet;

use base::prelude::*;
use serde::Serialize;
use serde_json::{Map, Value};

use crate::output::{ListReport, ReportRow};
use crate::{Answer, CliError};

/// Time before a request's first line for which beliefs are shown.
const BELIEF_SPAN_MILLIS: u64 = 5_000;
/// Time after its last line.
const AFTER_SPAN_MILLIS: u64 = 500;
/// Fields that every line has and no story needs.
const COMMON_FIELDS: [&str; 6] = ["unix_ms", "up_ms", "level", "target", "message", "id"];
/// Fields that name a server.
const PLACE_FIELDS: [&str; 3] = ["place", "endpoint", "members"];
/// Messages that say what a node believes, whatever server they are about.
const BELIEFS: [&str; 9] = [
    "started",
    "stopping: no longer ready",
    "configuration applied",
    "older configuration ignored",
    "group ownership changed",
    "group ownership taken over by another node",
    "store unavailable",
    "store available again",
    "lines were left out",
];

/// Log of one node.
#[derive(Clone, Debug)]
pub struct LogFile {
    /// Name of the file, which stands for the node where lines don't name one.
    pub name: String,
    /// Its text.
    pub text: Arc<str>,
}

/// Line of a story.
#[derive(Clone, Debug, Serialize)]
pub struct StoryRow {
    /// Milliseconds after the request's first line; negative before it.
    at_ms: i64,
    /// Node that wrote it.
    node: Arc<str>,
    /// Whether it is about the request itself, or what a node believed.
    about: &'static str,
    /// What happened.
    message: String,
    /// Inputs and outcome.
    fields: String,
}

impl ReportRow for StoryRow {
    const COLUMNS: &'static [&'static str] = &["ms", "node", "about", "what", "inputs and outcome"];
    const NONE: &'static str = "no line is about this request";

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

/// Line of a log.
struct LogLine {
    node: Arc<str>,
    unix_ms: u64,
    message: String,
    fields: Map<String, Value>,
}

/// Tells one request's story across nodes, in order, with what each node
/// that touched it believed about its servers.
pub fn explain_request(id: &str, files: &[LogFile]) -> Result<Answer, CliError> {
    let lines: Vec<_> = files.iter().flat_map(read_lines).collect();
    let own: Vec<_> = lines.iter().filter(|line| is_about(line, id)).collect();
    let times = own.iter().map(|line| line.unix_ms);
    let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
        return Err(CliError::UnknownRequest { id: id.to_owned() });
    };
    let nodes: BTreeSet<_> = own.iter().map(|line| line.node.clone()).collect();
    let places: BTreeSet<_> = own.iter().filter_map(|line| text(line, "place")).collect();
    let span = first.saturating_sub(BELIEF_SPAN_MILLIS)..=last + AFTER_SPAN_MILLIS;
    let mut rows: Vec<_> = lines
        .iter()
        .filter_map(|line| {
            let about = if is_about(line, id) {
                "request"
            } else if span.contains(&line.unix_ms) && is_belief(line, &nodes, &places) {
                "belief"
            } else {
                return None;
            };
            Some(row(line, about, first))
        })
        .collect();
    rows.sort_by_key(|row| row.at_ms);
    let note = format!("times are those of each node's clock, which may differ; 0 is {first}");
    let notes = vec![note];
    Ok(Answer::done(ListReport { rows, notes }))
}

/// Lines of a log; whatever stands before the JSON names the node.
fn read_lines(file: &LogFile) -> impl Iterator<Item = LogLine> {
    let name: Arc<str> = file.name.as_str().into();
    file.text.lines().filter_map(move |line| {
        let start = line.find('{')?;
        let mut fields: Map<String, Value> = serde_json::from_str(&line[start..]).ok()?;
        let node = line[..start].split_whitespace().last();
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

fn text(line: &LogLine, field: &str) -> Option<String> {
    line.fields.get(field)?.as_str().map(str::to_owned)
}

fn is_about(line: &LogLine, id: &str) -> bool {
    line.fields.get("id").and_then(Value::as_str) == Some(id)
}

/// Whether a line says what a node believed about the request's servers.
fn is_belief(line: &LogLine, nodes: &BTreeSet<Arc<str>>, places: &BTreeSet<String>) -> bool {
    if line.fields.contains_key("id") {
        return false;
    }
    let names_place = PLACE_FIELDS.iter().any(|field| {
        let named = text(line, field);
        named.is_some_and(|named| named.split(',').any(|name| places.contains(name)))
    });
    names_place || (nodes.contains(&line.node) && BELIEFS.contains(&line.message.as_str()))
}

fn row(line: &LogLine, about: &'static str, first: u64) -> StoryRow {
    let fields = line.fields.iter();
    let shown = fields.filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
    let pairs = shown.map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    });
    StoryRow {
        at_ms: line.unix_ms as i64 - first as i64,
        node: line.node.clone(),
        about,
        message: line.message.clone(),
        fields: pairs.collect::<Vec<_>>().join(" "),
    }
}
