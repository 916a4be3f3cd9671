//! Stored form of a shard.

use base::prelude::*;
use serde::{Deserialize, Serialize};
use store::ReadOutcome;

use crate::{
    AttemptId, CallKey, CallPhase, CallRecord, EpochRead, LedgerEpoch, LedgerError, RecordedBody,
    RecordedHeader, RecordedResponse, RequestDigest, ShardContents, ShardRead,
};

/// Value of a shard's object.
pub fn encode_shard(record: &ShardContents) -> Arc<str> {
    let wire = ShardWire::from(record);
    let text = serde_json::to_string(&wire).expect("a shard has only JSON types in it");
    Arc::from(text)
}

/// Shard from the end of a read.
pub fn decode_shard(outcome: ReadOutcome) -> Result<ShardRead, LedgerError> {
    let object = match outcome {
        ReadOutcome::Found(object) => object,
        ReadOutcome::Missing => return Ok(ShardRead::Missing),
        ReadOutcome::Unavailable => return Ok(ShardRead::Unavailable),
    };
    let wire: ShardWire =
        serde_json::from_str(&object.value).map_err(|fault| LedgerError::Syntax {
            message: fault.to_string(),
        })?;
    Ok(ShardRead::Found {
        version: object.version,
        record: Arc::new(wire.try_into()?),
    })
}

/// Value of the epoch's object.
pub fn encode_epoch(epoch: LedgerEpoch) -> Arc<str> {
    let wire = EpochWire { epoch: epoch.0 };
    let text = serde_json::to_string(&wire).expect("an epoch has only JSON types in it");
    Arc::from(text)
}

/// Epoch from the end of a read.
pub fn decode_epoch(outcome: ReadOutcome) -> Result<EpochRead, LedgerError> {
    let object = match outcome {
        ReadOutcome::Found(object) => object,
        ReadOutcome::Missing => return Ok(EpochRead::Missing),
        ReadOutcome::Unavailable => return Ok(EpochRead::Unavailable),
    };
    let wire: EpochWire =
        serde_json::from_str(&object.value).map_err(|fault| LedgerError::Syntax {
            message: fault.to_string(),
        })?;
    Ok(EpochRead::Found {
        version: object.version,
        epoch: LedgerEpoch(wire.epoch),
    })
}

#[derive(Debug, Serialize, Deserialize)]
struct EpochWire {
    epoch: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct ShardWire {
    marks: Vec<MarkWire>,
}

#[derive(Debug, Serialize, Deserialize)]
struct MarkWire {
    workspace: WorkspaceName,
    caller: CallerName,
    service: ServiceName,
    request: IdempotencyKey,
    node: NodeName,
    process: u64,
    call: CallId,
    digest: String,
    epoch: u64,
    #[serde(flatten)]
    phase: PhaseWire,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "phase")]
enum PhaseWire {
    Running,
    Answered(AnswerWire),
    Unknown,
}

#[derive(Debug, Serialize, Deserialize)]
struct AnswerWire {
    status: u16,
    headers: Vec<(Arc<str>, Arc<str>)>,
    body: BodyWire,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum BodyWire {
    Text(String),
    Hex(String),
    Omitted(u64),
}

impl From<&ShardContents> for ShardWire {
    fn from(record: &ShardContents) -> Self {
        Self {
            marks: record.marks.iter().map(MarkWire::from).collect(),
        }
    }
}

impl TryFrom<ShardWire> for ShardContents {
    type Error = LedgerError;

    fn try_from(wire: ShardWire) -> Result<Self, LedgerError> {
        let marks = wire.marks.into_iter().map(MarkWire::into_entry);
        Ok(Self {
            marks: marks.collect::<Result<_, _>>()?,
        })
    }
}

impl From<(&CallKey, &CallRecord)> for MarkWire {
    fn from((key, mark): (&CallKey, &CallRecord)) -> Self {
        Self {
            workspace: key.workspace.clone(),
            caller: key.caller.clone(),
            service: key.service.clone(),
            request: key.request.clone(),
            node: mark.attempt.node.clone(),
            process: mark.attempt.process,
            call: mark.attempt.call,
            digest: format_hex(&mark.digest.0),
            epoch: mark.epoch.0,
            phase: PhaseWire::from(&mark.phase),
        }
    }
}

impl MarkWire {
    fn into_entry(self) -> Result<(CallKey, CallRecord), LedgerError> {
        let key = CallKey {
            workspace: self.workspace,
            caller: self.caller,
            service: self.service,
            request: self.request,
        };
        let attempt = AttemptId {
            node: self.node,
            process: self.process,
            call: self.call,
        };
        let mark = CallRecord {
            attempt,
            digest: parse_digest(&self.digest)?,
            epoch: LedgerEpoch(self.epoch),
            phase: self.phase.try_into()?,
        };
        Ok((key, mark))
    }
}

impl From<&CallPhase> for PhaseWire {
    fn from(phase: &CallPhase) -> Self {
        match phase {
            CallPhase::Running => Self::Running,
            CallPhase::Answered(answer) => Self::Answered(answer.into()),
            CallPhase::Unknown => Self::Unknown,
        }
    }
}

impl TryFrom<PhaseWire> for CallPhase {
    type Error = LedgerError;

    fn try_from(wire: PhaseWire) -> Result<Self, LedgerError> {
        Ok(match wire {
            PhaseWire::Running => Self::Running,
            PhaseWire::Answered(answer) => Self::Answered(answer.try_into()?),
            PhaseWire::Unknown => Self::Unknown,
        })
    }
}

impl From<&RecordedResponse> for AnswerWire {
    fn from(answer: &RecordedResponse) -> Self {
        let headers = answer.headers.iter();
        Self {
            status: answer.status,
            headers: headers
                .map(|header| (header.name.clone(), header.value.clone()))
                .collect(),
            body: BodyWire::from(&answer.body),
        }
    }
}

impl TryFrom<AnswerWire> for RecordedResponse {
    type Error = LedgerError;

    fn try_from(wire: AnswerWire) -> Result<Self, LedgerError> {
        let headers = wire.headers.into_iter();
        Ok(Self {
            status: wire.status,
            headers: headers
                .map(|(name, value)| RecordedHeader { name, value })
                .collect(),
            body: wire.body.try_into()?,
        })
    }
}

impl From<&RecordedBody> for BodyWire {
    fn from(body: &RecordedBody) -> Self {
        match body {
            RecordedBody::Omitted { length } => Self::Omitted(*length),
            RecordedBody::Whole(bytes) => match std::str::from_utf8(bytes) {
                Ok(text) => Self::Text(text.to_owned()),
                Err(_) => Self::Hex(format_hex(bytes)),
            },
        }
    }
}

impl TryFrom<BodyWire> for RecordedBody {
    type Error = LedgerError;

    fn try_from(wire: BodyWire) -> Result<Self, LedgerError> {
        Ok(match wire {
            BodyWire::Text(text) => Self::Whole(Arc::from(text.into_bytes())),
            BodyWire::Hex(text) => Self::Whole(Arc::from(parse_hex(&text)?)),
            BodyWire::Omitted(length) => Self::Omitted { length },
        })
    }
}

fn parse_digest(text: &str) -> Result<RequestDigest, LedgerError> {
    let bytes = parse_hex(text)?;
    match bytes.try_into() {
        Ok(digest) => Ok(RequestDigest(digest)),
        Err(_) => Err(LedgerError::Hexadecimal {
            text: text.to_owned(),
        }),
    }
}

fn format_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let nibbles = bytes.iter().flat_map(|byte| [byte >> 4, byte & 15]);
    nibbles
        .map(|nibble| char::from(DIGITS[usize::from(nibble)]))
        .collect()
}

fn parse_hex(text: &str) -> Result<Vec<u8>, LedgerError> {
    let fault = || LedgerError::Hexadecimal {
        text: text.to_owned(),
    };
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return Err(fault());
    }
    let pairs = (0..text.len()).step_by(2);
    pairs
        .map(|start| u8::from_str_radix(&text[start..start + 2], 16).map_err(|_| fault()))
        .collect()
}
