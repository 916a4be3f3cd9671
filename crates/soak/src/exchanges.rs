//! Record of the exchanges between daemons and servers, by connection, and of what clients sent
//! and received for the same ids.
//!
//! For a request that ran though its client was told otherwise, the record shows whether a
//! repeated refusal was written on one of its connections.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;
use std::time::Instant;

use crate::trouble::AnswerForm;

/// Events shown of a connection before the first one of a request.
const SHOWN_BEFORE: usize = 6;

/// Connection from a daemon to a server.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionName {
    /// Number in the run.
    pub number: u32,
    /// Index of the daemon.
    pub daemon: usize,
    /// Port of the daemon.
    pub port: u16,
}

/// Exchange on a connection.
#[derive(Clone, Debug)]
pub(crate) struct ExchangePlace {
    pub connection: ConnectionName,
    /// Id of the server that has the address now.
    pub server: Arc<str>,
    /// Number of the exchange on the connection, from 1 on.
    pub exchange: u32,
}

/// What happened to a request.
#[derive(Clone, Debug)]
pub(crate) enum ExchangeStep {
    /// A client sent it to the daemon with this index.
    Sent { daemon: usize },
    /// The client got a response, or none.
    Received(Option<u16>),
    /// It arrived at a server.
    Arrived {
        path: Arc<str>,
        /// Id of the server that it is meant for; empty if none is named.
        meant_for: Arc<str>,
        place: ExchangePlace,
    },
    /// A server began to run it.
    Run,
    /// A server wrote a response, in this form, or wrote it once more.
    Written {
        status: u16,
        form: Option<AnswerForm>,
        place: ExchangePlace,
    },
    /// The client left.
    Left,
    /// Its connection was closed before all of it had arrived.
    Cut,
}

impl ExchangeStep {
    fn place(&self) -> Option<&ExchangePlace> {
        match self {
            Self::Arrived { place, .. } | Self::Written { place, .. } => Some(place),
            Self::Sent { .. } | Self::Received(_) | Self::Run | Self::Left | Self::Cut => None,
        }
    }

    /// Whether a response was written once more.
    fn is_copy(&self) -> bool {
        let form = match self {
            Self::Written { form, .. } => *form,
            _ => None,
        };
        matches!(form, Some(AnswerForm::Copied(_)))
    }
}

impl fmt::Display for ExchangeStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Sent { daemon } => write!(f, "client sent it to edge-{daemon}"),
            Self::Received(Some(status)) => write!(f, "client got {status}"),
            Self::Received(None) => f.write_str("client got no response"),
            Self::Arrived {
                path, meant_for, ..
            } if meant_for.is_empty() => write!(f, "{path} arrived"),
            Self::Arrived {
                path, meant_for, ..
            } => write!(f, "{path} for {meant_for} arrived"),
            Self::Run => f.write_str("began to run"),
            Self::Left => f.write_str("client left"),
            Self::Cut => f.write_str("connection closed before all of it had arrived"),
            Self::Written {
                status, form: None, ..
            } => write!(f, "{status} written"),
            Self::Written {
                status,
                form: Some(form),
                ..
            } => write!(f, "{status} written, {form}"),
        }?;
        let Some(place) = self.place() else {
            return Ok(());
        };
        let connection = &place.connection;
        write!(
            f,
            " ({} to {}, connection {}, port {}, exchange {})",
            format_args!("edge-{}", connection.daemon),
            place.server,
            connection.number,
            connection.port,
            place.exchange
        )
    }
}

/// Repeated responses on the connections of a request that ran twice, or though its client was
/// told otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CopyEvidence {
    /// The request's own refusal was written once more where it was under way again.
    SameId,
    /// Another response was written once more on one of its connections.
    OtherResponse,
    /// Nothing was written once more.
    NoCopy,
}

impl fmt::Display for CopyEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::SameId => {
                "its refusal was written again on a connection that it was sent on twice"
            }
            Self::OtherResponse => "another response was written again on one of its connections",
            Self::NoCopy => "nothing was written again on its connections",
        })
    }
}

/// Numbers of responses that were written once more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CopyTally {
    /// All.
    pub written: u32,
    /// Of responses to orders and reports, which name no request.
    pub without_id: u32,
    /// Where the request that it names was under way again on the same connection.
    pub of_same_id: u32,
}

#[derive(Debug)]
struct ExchangeEvent {
    at: Instant,
    /// Id of the request; empty if it has none.
    id: Arc<str>,
    step: ExchangeStep,
}

/// All events of a run, in their order.
#[derive(Debug, Default)]
pub(crate) struct ExchangeLog {
    events: Vec<ExchangeEvent>,
    connections: u32,
    copies: CopyTally,
    /// Index of the daemon that a client sent each request to last.
    entry_daemons: HashMap<Arc<str>, usize>,
    passed_on: u32,
}

impl ExchangeLog {
    /// Number of the next connection.
    pub fn next_connection(&mut self) -> u32 {
        self.connections += 1;
        self.connections
    }

    /// Counts the copy of a response, and the request that was under way where it was written;
    /// the ids are empty for messages without one.
    pub fn count_copy(&mut self, copy_id: &str, request_id: Option<&str>) {
        let is_named = !copy_id.is_empty();
        self.copies.written += 1;
        self.copies.without_id += u32::from(!is_named);
        self.copies.of_same_id += u32::from(is_named && request_id == Some(copy_id));
    }

    /// Failures that servers wrote to requests, the copies left out.
    pub fn failures_written(&self, is_counted: impl Fn(&str) -> bool) -> u32 {
        let events = self.events.iter().filter(|event| {
            let is_failure = matches!(event.step, ExchangeStep::Written { status, .. } if !(200..300).contains(&status));
            is_failure && !event.step.is_copy() && is_counted(&event.id)
        });
        events.count() as u32
    }

    /// Whether a server wrote this status to a request.
    pub fn was_written(&self, id: &str, status: u16) -> bool {
        let mut events = self.events.iter().rev().filter(|event| *event.id == *id);
        events.any(|event| matches!(event.step, ExchangeStep::Written { status: written, form, .. } if form.map_or(written, |form| form.status(written)) == status))
    }

    /// Whether a request reached a server by way of another daemon than its client's.
    pub fn was_passed_on(&self, id: &str) -> bool {
        let events = || self.events.iter().filter(|event| *event.id == *id);
        let mut sent = events().filter_map(|event| match event.step {
            ExchangeStep::Sent { daemon } => Some(daemon),
            _ => None,
        });
        let Some(daemon) = sent.next() else {
            return false;
        };
        let mut places = events().filter_map(|event| event.step.place());
        places.any(|place| place.connection.daemon != daemon)
    }

    /// Responses written once more so far.
    pub fn copies(&self) -> CopyTally {
        self.copies
    }

    /// Arrivals of requests by way of another daemon than the one that their client used.
    pub fn passed_on(&self) -> u32 {
        self.passed_on
    }

    /// Records an event; the id is empty for a request without one.
    pub fn record(&mut self, id: &str, step: ExchangeStep) {
        let id = Arc::<str>::from(id);
        match &step {
            ExchangeStep::Sent { daemon } => {
                self.entry_daemons.insert(id.clone(), *daemon);
            }
            ExchangeStep::Arrived { place, .. } => {
                let entry = self.entry_daemons.get(&id);
                let is_passed = entry.is_some_and(|entry| *entry != place.connection.daemon);
                self.passed_on += u32::from(is_passed);
            }
            _ => {}
        }
        let event = ExchangeEvent {
            at: Instant::now(),
            id,
            step,
        };
        self.events.push(event);
    }

    fn connections_of(&self, id: &str) -> BTreeSet<u32> {
        let events = self.events.iter().filter(|event| *event.id == *id);
        let places = events.filter_map(|event| event.step.place());
        places.map(|place| place.connection.number).collect()
    }

    /// Events on a connection, up to the last one of an id.
    fn events_on(&self, connection: u32, id: &str) -> Vec<usize> {
        let is_on = |event: &ExchangeEvent| {
            let place = event.step.place();
            place.is_some_and(|place| place.connection.number == connection)
        };
        let events = self.events.iter().enumerate();
        let indices = events.filter(|(_, event)| is_on(event));
        let mut indices: Vec<_> = indices.map(|(index, _)| index).collect();
        let last = indices.iter().rposition(|&at| *self.events[at].id == *id);
        indices.truncate(last.map_or(0, |last| last + 1));
        indices
    }

    /// What was written once more on the connections of a request.
    pub fn evidence(&self, id: &str) -> CopyEvidence {
        let mut evidence = CopyEvidence::NoCopy;
        for connection in self.connections_of(id) {
            let mut arrivals = 0;
            for index in self.events_on(connection, id) {
                let event = &self.events[index];
                let is_own = *event.id == *id;
                match event.step {
                    ExchangeStep::Arrived { .. } if is_own => arrivals += 1,
                    ref step if step.is_copy() && is_own && arrivals > 1 => {
                        return CopyEvidence::SameId;
                    }
                    ref step if step.is_copy() => evidence = CopyEvidence::OtherResponse,
                    _ => {}
                }
            }
        }
        evidence
    }

    /// All events of a request and the last ones before them on its connections, one a line.
    pub fn history(&self, id: &str, start: Instant) -> String {
        let mut shown: BTreeSet<usize> = BTreeSet::new();
        for connection in self.connections_of(id) {
            let indices = self.events_on(connection, id);
            let first = indices.iter().position(|&at| *self.events[at].id == *id);
            let from = first.unwrap_or_default().saturating_sub(SHOWN_BEFORE);
            shown.extend(&indices[from..]);
        }
        let events = self.events.iter().enumerate();
        let own = events.filter(|(_, event)| *event.id == *id);
        shown.extend(own.map(|(index, _)| index));
        let lines = shown.into_iter().map(|index| {
            let ExchangeEvent { at, id, step } = &self.events[index];
            let id = if id.is_empty() { "no id" } else { &**id };
            let elapsed = at.duration_since(start).as_secs_f64();
            format!("\n    {elapsed:8.3} s  {id:10} {step}")
        });
        lines.collect()
    }
}
