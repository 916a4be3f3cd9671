//! Headers of an attempt that one node carries for another, and of its response.

use base::prelude::*;
use http::{HeaderMap, HeaderName, HeaderValue};
use net::web::IncomingResponse;
use notices::ServerRun;
use quarantine::{CallSuspects, PromptPart, PromptParts, RequestDigest};
use relay::AttemptEnd;

use crate::CarriedSuspects;

/// Server that the request is for.
const TARGET: HeaderName = HeaderName::from_static("x-pass-target");
/// Start of the server.
const INCARNATION: HeaderName = HeaderName::from_static("x-pass-incarnation");
/// Milliseconds until the deadline.
const TIME_LEFT: HeaderName = HeaderName::from_static("x-pass-time-left");
/// ID of the request, for logs.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-pass-request-id");
/// Version of the configuration by which the request was accepted.
const CONFIG_VERSION: HeaderName = HeaderName::from_static("x-pass-config-version");
/// States that another attempt of the request may have run.
const REPEAT: HeaderName = HeaderName::from_static("x-pass-repeat");
/// Digest of the request and its workspace, in hexadecimal digits.
const DIGEST: HeaderName = HeaderName::from_static("x-pass-digest");
/// Shared parts of the prompt, in hexadecimal digits, joined by commas.
const PARTS: HeaderName = HeaderName::from_static("x-pass-parts");
/// Epoch of the server's group.
const EPOCH: HeaderName = HeaderName::from_static("x-pass-epoch");
/// States that the client has got an event of an earlier attempt.
const BEGUN: HeaderName = HeaderName::from_static("x-pass-begun");
/// States that the request is answered by a stream of events.
const STREAM: HeaderName = HeaderName::from_static("x-pass-stream");
/// How an attempt ended without a response of the server.
const OUTCOME: HeaderName = HeaderName::from_static("x-pass-outcome");
/// States that the response was checked to be the server's own response to this attempt.
const CHECKED: HeaderName = HeaderName::from_static("x-pass-checked");
/// States that the server broke the connection, and that the node reports it as a crash.
const CRASH_REPORTED: HeaderName = HeaderName::from_static("x-pass-crash-reported");
/// States that a newer version of the configuration lets the request run once only.
const ONCE_ONLY: HeaderName = HeaderName::from_static("x-pass-once-only");

/// Value of the headers that state something.
const STATED: HeaderValue = HeaderValue::from_static("1");

/// What a node that carries an attempt has to know of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PassWire {
    pub run: ServerRun,
    pub time_left_ms: u64,
    pub id: Arc<str>,
    /// `None` from older builds.
    pub config_version: Option<u64>,
    pub is_repeat: bool,
    /// `None` from older builds.
    pub suspects: Option<CarriedSuspects>,
    pub is_stream: bool,
}

/// A header of an attempt to be carried is missing or can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PassWireError;

impl PassWire {
    /// Removes the headers that concern only the node that carries the attempt.
    pub fn remove(headers: &mut HeaderMap) {
        for name in [
            TARGET,
            INCARNATION,
            TIME_LEFT,
            REQUEST_ID,
            CONFIG_VERSION,
            REPEAT,
            DIGEST,
            PARTS,
            EPOCH,
            BEGUN,
            STREAM,
        ] {
            headers.remove(name);
        }
    }
}

impl TryFrom<&HeaderMap> for PassWire {
    type Error = PassWireError;

    fn try_from(headers: &HeaderMap) -> Result<Self, PassWireError> {
        let text = |name| {
            let value = headers.get(name)?;
            value.to_str().ok()
        };
        let number = |name| text(name)?.parse().ok();
        let read = || {
            Some(Self {
                run: ServerRun {
                    server: HostName::new(text(TARGET)?).ok()?,
                    incarnation: HostIncarnation(number(INCARNATION)?),
                },
                time_left_ms: number(TIME_LEFT)?,
                id: text(REQUEST_ID)?.into(),
                config_version: number(CONFIG_VERSION),
                is_repeat: headers.contains_key(REPEAT),
                suspects: read_suspects(headers),
                is_stream: headers.contains_key(STREAM),
            })
        };
        read().ok_or(PassWireError)
    }
}

impl TryFrom<PassWire> for HeaderMap {
    type Error = PassWireError;

    fn try_from(wire: PassWire) -> Result<Self, PassWireError> {
        let text = |value: &str| HeaderValue::from_str(value).map_err(|_| PassWireError);
        let mut headers = Self::new();
        headers.insert(TARGET, text(wire.run.server.as_str())?);
        headers.insert(INCARNATION, HeaderValue::from(wire.run.incarnation.0));
        headers.insert(TIME_LEFT, HeaderValue::from(wire.time_left_ms));
        headers.insert(REQUEST_ID, text(&wire.id)?);
        if let Some(version) = wire.config_version {
            headers.insert(CONFIG_VERSION, HeaderValue::from(version));
        }
        let has_begun = (wire.suspects.as_ref()).is_some_and(|carried| carried.has_begun);
        if let Some(CarriedSuspects {
            suspects, epoch, ..
        }) = wire.suspects
        {
            headers.insert(DIGEST, text(&suspects.digest.to_string())?);
            headers.insert(EPOCH, HeaderValue::from(epoch.0));
            let parts = suspects.parts.shared.iter().map(ToString::to_string);
            let parts: Vec<_> = parts.collect();
            if !parts.is_empty() {
                headers.insert(PARTS, text(&parts.join(","))?);
            }
        }
        for (name, is_stated) in [
            (REPEAT, wire.is_repeat),
            (BEGUN, has_begun),
            (STREAM, wire.is_stream),
        ] {
            if is_stated {
                headers.insert(name, STATED);
            }
        }
        Ok(headers)
    }
}

/// What a crash of the server is to be reported with; `None` if it is not stated completely.
fn read_suspects(headers: &HeaderMap) -> Option<CarriedSuspects> {
    let hexadecimal = |text: &str| u64::from_str_radix(text, 16).ok();
    let digest = headers.get(DIGEST)?.to_str().ok()?;
    let epoch = headers.get(EPOCH)?.to_str().ok()?;
    let parts = match headers.get(PARTS) {
        Some(parts) => {
            let parts = parts.to_str().ok()?.split(',');
            parts.map(hexadecimal).collect::<Option<Vec<_>>>()?
        }
        None => Vec::new(),
    };
    Some(CarriedSuspects {
        suspects: CallSuspects {
            parts: PromptParts {
                shared: parts.into_iter().map(PromptPart).collect(),
            },
            digest: RequestDigest(hexadecimal(digest)?),
        },
        epoch: GroupEpoch(epoch.parse().ok()?),
        has_begun: headers.contains_key(BEGUN),
    })
}

/// How an attempt ended at the node that was to carry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PassEnd {
    /// The node did not carry it.
    NotPassedOn,
    /// No byte was sent to the server.
    NotSent,
    /// Nothing was sent, as the request may run once only.
    Withheld,
    /// Nothing was sent, as the request or a part of its prompt is quarantined.
    Quarantined,
    /// The connection to the server broke before its response.
    Lost,
    /// The server's response was not its own, or not usable.
    Discarded,
}

impl PassEnd {
    const ALL: [Self; 6] = [
        Self::NotPassedOn,
        Self::NotSent,
        Self::Withheld,
        Self::Quarantined,
        Self::Lost,
        Self::Discarded,
    ];

    /// Value of the header, and name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotPassedOn => "not-passed-on",
            Self::NotSent => "not-sent",
            Self::Withheld => "withheld",
            Self::Quarantined => "quarantined",
            Self::Lost => "lost",
            Self::Discarded => "discarded",
        }
    }

    /// Whether the server can't have run the request.
    fn is_not_run(self) -> bool {
        !matches!(self, Self::Lost | Self::Discarded)
    }

    /// Adds it to the headers of a response.
    pub fn insert(self, headers: &mut HeaderMap) {
        headers.insert(OUTCOME, HeaderValue::from_static(self.as_str()));
    }
}

/// How an attempt ended, if the node that carried it got no response from the server.
pub(super) fn pass_outcome(response: &IncomingResponse, head: PassedHead) -> Option<AttemptEnd> {
    let text = response.parts.headers.get(OUTCOME)?;
    let mut ends = PassEnd::ALL.into_iter();
    let end = ends.find(|end| end.as_str() == text)?;
    Some(match (end, response.not_run(end.is_not_run())) {
        (PassEnd::NotPassedOn, Some(proof)) => AttemptEnd::NotPassedOn(proof),
        (PassEnd::NotSent, Some(proof)) => AttemptEnd::NotSent(proof),
        (PassEnd::Withheld, Some(proof)) => AttemptEnd::Withheld(proof),
        (PassEnd::Quarantined, Some(proof)) => AttemptEnd::Quarantined(proof),
        (PassEnd::Discarded, _) => AttemptEnd::Discarded,
        (PassEnd::Lost, _) if head.is_crash_reported => AttemptEnd::Crashed,
        _ => AttemptEnd::Lost,
    })
}

/// What a node states about a response that it passes back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PassedHead {
    /// Whether it checked which response is the server's own; older builds don't, and may return
    /// the copy of an earlier one.
    pub is_checked: bool,
    /// Whether its newer version of the configuration lets the request run once only.
    pub is_once_only: bool,
    /// Whether it reports a crash of the server.
    pub is_crash_reported: bool,
}

impl PassedHead {
    /// Takes the statements out of a response's headers.
    pub fn take(headers: &mut HeaderMap) -> Self {
        Self {
            is_checked: headers.remove(CHECKED).is_some(),
            is_once_only: headers.remove(ONCE_ONLY).is_some(),
            is_crash_reported: headers.remove(CRASH_REPORTED).is_some(),
        }
    }

    /// Writes the statements in place of any that the server has written.
    pub fn replace(self, headers: &mut HeaderMap) {
        headers.remove(OUTCOME);
        for (name, is_stated) in [
            (CHECKED, self.is_checked),
            (ONCE_ONLY, self.is_once_only),
            (CRASH_REPORTED, self.is_crash_reported),
        ] {
            if is_stated {
                headers.insert(name, STATED);
            } else {
                headers.remove(name);
            }
        }
    }
}
