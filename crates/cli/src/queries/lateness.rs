//! Versions and departures of servers that nodes knew late, out of their log lines.
//!
//! A node is late with a version until it applies that one or a newer one. A node that started
//! meanwhile is left out, as it had nothing to be late with.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::ops::Range;

use base::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::explain::{LogFile, split_line};
use crate::CommandOutcome;
use crate::output::{ListReport, ReportRow};

/// Longest time for which notices and attempts belong to one departure of a server; one of the
/// same name may run again later.
const DEPARTURE_SPAN_MS: u64 = 60_000;
/// Nodes shown in one row of the table.
const MAX_SHOWN_NODES: usize = 5;

/// Row of the output.
#[derive(Clone, Debug, Serialize)]
pub struct LatenessRow {
    /// `configuration`, `leaving server`, `attempt`, `store call` or `sent`.
    about: &'static str,
    /// Version, server, collection of the store or kind of message.
    what: String,
    /// Time of the first node, or of the largest value, by its own clock.
    first_unix_ms: u64,
    /// First node, or the node with the largest value.
    first_node: Arc<str>,
    /// Largest value.
    worst: u64,
    /// Unit of the values: `ms` or `bytes`.
    unit: &'static str,
    /// Nodes with their values, largest first.
    nodes: Vec<NodeValue>,
}

/// Value of one node.
#[derive(Clone, Debug, Serialize)]
struct NodeValue {
    node: Arc<str>,
    value: u64,
    /// Whether the node's log ends before the value is complete.
    is_minimum: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<String>,
}

impl ReportRow for LatenessRow {
    const COLUMNS: &'static [&'static str] =
        &["about", "what", "first at", "by", "worst", "unit", "nodes"];
    const EMPTY_TEXT: &'static str = "nothing was late";

    fn cells(&self) -> Vec<String> {
        let shown = self.nodes.iter().take(MAX_SHOWN_NODES);
        let mut nodes: Vec<_> = shown.map(NodeValue::to_text).collect();
        let hidden_count = self.nodes.len().saturating_sub(MAX_SHOWN_NODES);
        if hidden_count > 0 {
            nodes.push(format!("{hidden_count} more"));
        }
        vec![
            self.about.to_owned(),
            self.what.clone(),
            self.first_unix_ms.to_string(),
            self.first_node.to_string(),
            self.worst.to_string(),
            self.unit.to_owned(),
            nodes.join(", "),
        ]
    }
}

impl NodeValue {
    fn to_text(&self) -> String {
        let sign = if self.is_minimum { "+" } else { "" };
        let request = self.request.iter().map(|id| format!(" ({id})"));
        let request: String = request.collect();
        format!("{} {}{sign}{request}", self.node, self.value)
    }
}

/// Fields of a log line that are read here; their types differ between messages.
#[derive(Deserialize)]
struct LineWire<'a> {
    unix_ms: u64,
    #[serde(borrow)]
    message: Cow<'a, str>,
    version: Option<Value>,
    endpoint: Option<Value>,
    place: Option<Value>,
    id: Option<Value>,
    feed: Option<Value>,
    lasted_ms: Option<Value>,
    bytes: Option<Value>,
}

/// What a line says about its node.
enum LineEvent {
    Started,
    Applied(u64),
    Leaving(String),
    Attempted {
        server: String,
        request: Option<String>,
    },
    Called {
        feed: String,
        lasted_ms: u64,
    },
    Sent(BTreeMap<String, u64>),
    Other,
}

impl From<LineWire<'_>> for LineEvent {
    fn from(wire: LineWire<'_>) -> Self {
        let event = match wire.message.as_ref() {
            "started" => Some(Self::Started),
            "configuration applied" => number(wire.version).map(Self::Applied),
            "endpoint is listed as leaving" | "endpoint has left as another node has read" => {
                text(wire.endpoint).map(Self::Leaving)
            }
            "server announces that it leaves"
            | "server announces to another node that it leaves" => {
                text(wire.place).map(Self::Leaving)
            }
            "attempt started" => text(wire.place).map(|server| Self::Attempted {
                server,
                request: text(wire.id),
            }),
            "store did not respond" | "watch replaced, as changes may be missing" => {
                let call = text(wire.feed).zip(number(wire.lasted_ms));
                call.map(|(feed, lasted_ms)| Self::Called { feed, lasted_ms })
            }
            "bytes sent to other nodes" => {
                let counts = text(wire.bytes).and_then(|text| serde_json::from_str(&text).ok());
                counts.map(Self::Sent)
            }
            _ => None,
        };
        event.unwrap_or(Self::Other)
    }
}

fn number(value: Option<Value>) -> Option<u64> {
    value?.as_u64()
}

fn text(value: Option<Value>) -> Option<String> {
    match value? {
        Value::String(text) => Some(text),
        _ => None,
    }
}

/// Events of one node, in the order of its log.
struct NodeHistory {
    /// Time from the first line to the last.
    logged_ms: Range<u64>,
    events: Vec<(u64, LineEvent)>,
}

impl NodeHistory {
    fn events(&self) -> impl Iterator<Item = (u64, &LineEvent)> {
        self.events.iter().map(|(at_ms, event)| (*at_ms, event))
    }

    /// Whether the node ran from one time to the other without a start.
    fn ran_throughout(&self, period_ms: Range<u64>) -> bool {
        let is_start = |(at_ms, event): (u64, &LineEvent)| {
            matches!(event, LineEvent::Started) && period_ms.start < at_ms && at_ms <= period_ms.end
        };
        self.logged_ms.start <= period_ms.start && !self.events().any(is_start)
    }
}

/// Histories by node.
type NodeHistories = BTreeMap<Arc<str>, NodeHistory>;

/// One departure of a server, as the nodes learnt of it.
struct ServerDeparture {
    server: String,
    /// Each node's first notice, in order of time.
    notices: Vec<(u64, Arc<str>)>,
}

impl ServerDeparture {
    fn first_ms(&self) -> u64 {
        self.notices[0].0
    }
}

/// Lists what nodes knew later than the first of them by more than the limit, slow calls to the
/// store, and the most bytes that a node sent in a second.
pub fn list_lateness(files: &[LogFile], over_ms: u64) -> CommandOutcome {
    let (histories, skipped_count) = read_histories(files);
    let departures = find_departures(&histories);
    let mut rows = list_versions(&histories);
    rows.extend(
        departures
            .iter()
            .filter_map(|departure| list_notices(&histories, departure)),
    );
    rows.extend(
        departures
            .iter()
            .filter_map(|departure| list_attempts(&histories, departure)),
    );
    rows.extend(list_calls(&histories));
    for row in &mut rows {
        row.nodes.retain(|node| node.value > over_ms);
    }
    rows.retain(|row| row.worst > over_ms);
    rows.extend(list_traffic(&histories));
    rows.sort_by_key(|row| (section_rank(row.about), std::cmp::Reverse(row.worst)));
    let mut notes = vec!["times are from each node's own clock, and clocks may differ".to_owned()];
    if skipped_count > 0 {
        notes.push(format!(
            "{skipped_count} lines are no log lines and were left out"
        ));
    }
    CommandOutcome::success(ListReport { rows, notes })
}

fn section_rank(about: &str) -> usize {
    const SECTIONS: [&str; 5] = [
        "configuration",
        "leaving server",
        "attempt",
        "store call",
        "sent",
    ];
    let rank = SECTIONS.iter().position(|section| *section == about);
    rank.unwrap_or(SECTIONS.len())
}

/// Reads all lines; returns the number of lines that are no log lines beside them.
fn read_histories(files: &[LogFile]) -> (NodeHistories, usize) {
    let mut histories = NodeHistories::new();
    let mut skipped_count = 0;
    for file in files {
        let name: Arc<str> = file.name.as_str().into();
        for line in file.text.lines().filter(|line| !line.trim().is_empty()) {
            let parsed = split_line(line).and_then(|(node, json)| {
                let wire: LineWire<'_> = serde_json::from_str(json).ok()?;
                Some((node, wire))
            });
            let Some((node, wire)) = parsed else {
                skipped_count += 1;
                continue;
            };
            let node = node.map_or_else(|| name.clone(), Arc::from);
            let at_ms = wire.unix_ms;
            let history = histories.entry(node).or_insert_with(|| NodeHistory {
                logged_ms: at_ms..at_ms,
                events: Vec::new(),
            });
            history.logged_ms.start = history.logged_ms.start.min(at_ms);
            history.logged_ms.end = history.logged_ms.end.max(at_ms);
            match LineEvent::from(wire) {
                LineEvent::Other => {}
                event => history.events.push((at_ms, event)),
            }
        }
    }
    for history in histories.values_mut() {
        history.events.sort_by_key(|(at_ms, _)| *at_ms);
    }
    (histories, skipped_count)
}

fn list_versions(histories: &NodeHistories) -> Vec<LatenessRow> {
    let mut firsts: BTreeMap<u64, (u64, &Arc<str>)> = BTreeMap::new();
    for (node, history) in histories {
        for (at_ms, event) in history.events() {
            if let LineEvent::Applied(version) = event {
                let first = firsts.entry(*version).or_insert((at_ms, node));
                *first = (*first).min((at_ms, node));
            }
        }
    }
    let rows = firsts
        .into_iter()
        .filter_map(|(version, (first_ms, first_node))| {
            let nodes = histories.iter().filter_map(|(node, history)| {
                let applied_ms = history.events().find_map(|(at_ms, event)| match event {
                    LineEvent::Applied(other) if *other >= version => Some(at_ms),
                    _ => None,
                });
                let until_ms = applied_ms.unwrap_or(history.logged_ms.end);
                let was_running = history.ran_throughout(first_ms..until_ms);
                (was_running && until_ms > first_ms).then(|| NodeValue {
                    node: node.clone(),
                    value: until_ms - first_ms,
                    is_minimum: applied_ms.is_none(),
                    request: None,
                })
            });
            let nodes = nodes.collect();
            make_row(
                "configuration",
                version.to_string(),
                (first_ms, first_node),
                "ms",
                nodes,
            )
        });
    rows.collect()
}

fn find_departures(histories: &NodeHistories) -> Vec<ServerDeparture> {
    let mut notices: BTreeMap<&str, Vec<(u64, &Arc<str>)>> = BTreeMap::new();
    for (node, history) in histories {
        for (at_ms, event) in history.events() {
            if let LineEvent::Leaving(server) = event {
                notices.entry(server).or_default().push((at_ms, node));
            }
        }
    }
    let mut departures: Vec<ServerDeparture> = Vec::new();
    for (server, mut notices) in notices {
        notices.sort();
        for (at_ms, node) in notices {
            let notice = (at_ms, node.clone());
            match departures.last_mut() {
                Some(last)
                    if last.server == server && at_ms <= last.first_ms() + DEPARTURE_SPAN_MS =>
                {
                    if last.notices.iter().all(|(_, other)| other != node) {
                        last.notices.push(notice);
                    }
                }
                _ => departures.push(ServerDeparture {
                    server: server.to_owned(),
                    notices: vec![notice],
                }),
            }
        }
    }
    departures
}

fn list_notices(histories: &NodeHistories, departure: &ServerDeparture) -> Option<LatenessRow> {
    let first_ms = departure.first_ms();
    let late = departure.notices.iter().filter(|(at_ms, node)| {
        let history = histories.get(node);
        history.is_some_and(|history| history.ran_throughout(first_ms..*at_ms))
    });
    let nodes = late.map(|(at_ms, node)| NodeValue {
        node: node.clone(),
        value: at_ms - first_ms,
        is_minimum: false,
        request: None,
    });
    let first = (first_ms, &departure.notices[0].1);
    make_row(
        "leaving server",
        departure.server.clone(),
        first,
        "ms",
        nodes.collect(),
    )
}

fn list_attempts(histories: &NodeHistories, departure: &ServerDeparture) -> Option<LatenessRow> {
    let first_ms = departure.first_ms();
    let period_ms = first_ms + 1..first_ms + DEPARTURE_SPAN_MS;
    let mut nodes = Vec::new();
    for (node, history) in histories {
        for (at_ms, event) in history.events() {
            match event {
                LineEvent::Attempted { server, request }
                    if *server == departure.server && period_ms.contains(&at_ms) =>
                {
                    nodes.push(NodeValue {
                        node: node.clone(),
                        value: at_ms - first_ms,
                        is_minimum: false,
                        request: request.clone(),
                    });
                }
                _ => {}
            }
        }
    }
    let first = (first_ms, &departure.notices[0].1);
    make_row("attempt", departure.server.clone(), first, "ms", nodes)
}

fn list_calls(histories: &NodeHistories) -> Vec<LatenessRow> {
    let calls = histories.iter().flat_map(|(node, history)| {
        history
            .events()
            .filter_map(move |(at_ms, event)| match event {
                LineEvent::Called { feed, lasted_ms } => {
                    Some((feed.as_str(), *lasted_ms, at_ms, node))
                }
                _ => None,
            })
    });
    list_largest("store call", "ms", calls)
}

fn list_traffic(histories: &NodeHistories) -> Vec<LatenessRow> {
    let counts = histories.iter().flat_map(|(node, history)| {
        history.events().flat_map(move |(at_ms, event)| {
            let counts = match event {
                LineEvent::Sent(counts) => Some(counts),
                _ => None,
            };
            let counts = counts.into_iter().flatten();
            counts.map(move |(kind, bytes)| (kind.as_str(), *bytes, at_ms, node))
        })
    });
    list_largest("sent", "bytes", counts)
}

/// Rows of the largest value of each node by subject.
fn list_largest<'a>(
    about: &'static str,
    unit: &'static str,
    values: impl Iterator<Item = (&'a str, u64, u64, &'a Arc<str>)>,
) -> Vec<LatenessRow> {
    let mut largest: BTreeMap<&str, BTreeMap<&Arc<str>, (u64, u64)>> = BTreeMap::new();
    for (what, value, at_ms, node) in values {
        let slot = largest.entry(what).or_default().entry(node);
        let slot = slot.or_insert((value, at_ms));
        if value > slot.0 {
            *slot = (value, at_ms);
        }
    }
    let rows = largest.into_iter().filter_map(|(what, nodes)| {
        let worst = nodes.iter().max_by_key(|(_, (value, _))| *value)?;
        let first = (worst.1.1, *worst.0);
        let nodes = nodes.iter().map(|(node, (value, _))| NodeValue {
            node: Arc::clone(node),
            value: *value,
            is_minimum: false,
            request: None,
        });
        make_row(about, what.to_owned(), first, unit, nodes.collect())
    });
    rows.collect()
}

fn make_row(
    about: &'static str,
    what: String,
    (first_unix_ms, first_node): (u64, &Arc<str>),
    unit: &'static str,
    mut nodes: Vec<NodeValue>,
) -> Option<LatenessRow> {
    nodes.sort_by_key(|node| std::cmp::Reverse(node.value));
    let worst = nodes.first()?.value;
    Some(LatenessRow {
        about,
        what,
        first_unix_ms,
        first_node: first_node.clone(),
        worst,
        unit,
        nodes,
    })
}
