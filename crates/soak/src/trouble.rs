//! What servers in trouble make of their answers.
//!
//! Each form is drawn as often as any other. The answer itself, a refusal or a
//! complete one, is the server's; the form changes the bytes on their way.

use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use crate::proxy::LinkStep;

/// Header with the id of a request, in requests and responses.
pub(crate) const ID_HEADER: &str = "x-bronzerun-request-id";
/// Header of a response to a request that was not run.
pub(crate) const REFUSAL_HEADER: &str = "x-bronzerun-not-executed";
/// Time between two pieces of an answer.
const PIECE_INTERVAL: Duration = Duration::from_millis(15);
/// Number of pieces of an answer that comes in pieces.
const PIECES: usize = 4;
/// Statuses that say that nothing has run.
const REFUSAL_STATUSES: [&str; 4] = ["503", "429", "421", "408"];
/// Statuses that no answer has.
const NO_STATUSES: [&str; 4] = ["000", "101", "600", "999"];
/// Id of a request that nobody has sent.
const OTHER_ID: &str = "c999-1";

/// When an answer is written once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CopyMoment {
    /// Right after it, in the same packet.
    BehindBody,
    /// A moment after it.
    AtOnce,
    /// Before the next answer on the connection.
    Late,
    /// The same, in pieces.
    LateInPieces,
}

impl CopyMoment {
    const ALL: [Self; 4] = [
        Self::BehindBody,
        Self::AtOnce,
        Self::Late,
        Self::LateInPieces,
    ];
}

/// Where a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CutPlace {
    /// In the request, so that it doesn't run.
    Request,
    /// Before the answer.
    BeforeAnswer,
    /// In the head of the answer.
    Head,
    /// In its body, or right before it.
    Body,
    /// After the answer.
    AfterAnswer,
}

impl CutPlace {
    const ALL: [Self; 5] = [
        Self::Request,
        Self::BeforeAnswer,
        Self::Head,
        Self::Body,
        Self::AfterAnswer,
    ];
}

/// Form of one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AnswerForm {
    /// As the server wrote it.
    Sound,
    /// It is written once more.
    Copied(CopyMoment),
    /// Without the mark of a refusal.
    Unmarked,
    /// Without the request's id.
    WithoutId,
    /// With the id of another request.
    OtherId,
    /// With the id twice, the second time another one.
    TwoIds,
    /// With another status and no mark, whatever has run.
    Status(&'static str),
    /// The connection ends, at this part of the bytes.
    Cut(CutPlace, f64),
    /// In pieces.
    InPieces,
    /// With a body in chunks.
    Chunked,
    /// With a body that ends with the connection.
    Unlimited,
    /// A refusal that names a time.
    RetryAfter,
}

/// Kind of the forms that are drawn: a number below [`FORM_KINDS`].
pub(crate) type FormKind = usize;
/// Number of kinds.
const FORM_KINDS: FormKind = 15;
/// Number of kinds that are copies, which come first.
const COPY_KINDS: FormKind = CopyMoment::ALL.len();

/// Draws a kind of forms; none that are copies if there are to be none.
pub(crate) fn draw_kind(rng: &mut StdRng, with_copies: bool) -> FormKind {
    let first = if with_copies { 0 } else { COPY_KINDS };
    rng.random_range(first..FORM_KINDS)
}

impl AnswerForm {
    /// Draws a form of a kind.
    pub fn draw(rng: &mut StdRng, kind: FormKind) -> Self {
        match kind {
            0..COPY_KINDS => Self::Copied(CopyMoment::ALL[kind]),
            4 => Self::Unmarked,
            5 => Self::WithoutId,
            6 => Self::OtherId,
            7 => Self::TwoIds,
            8 => Self::Status(REFUSAL_STATUSES[rng.random_range(0..REFUSAL_STATUSES.len())]),
            9 => Self::Status(NO_STATUSES[rng.random_range(0..NO_STATUSES.len())]),
            10 => {
                let place = CutPlace::ALL[rng.random_range(0..CutPlace::ALL.len())];
                Self::Cut(place, rng.random_range(0.0..1.0))
            }
            11 => Self::InPieces,
            12 => Self::Chunked,
            13 => Self::Unlimited,
            _ => Self::RetryAfter,
        }
    }

    /// Name of its kind, for counts.
    pub fn kind(self) -> &'static str {
        match self {
            Self::Sound => "sound",
            Self::Copied(CopyMoment::BehindBody) => "copied behind its body",
            Self::Copied(CopyMoment::AtOnce) => "copied at once",
            Self::Copied(CopyMoment::Late) => "copied late",
            Self::Copied(CopyMoment::LateInPieces) => "copied late in pieces",
            Self::Unmarked => "unmarked",
            Self::WithoutId => "without id",
            Self::OtherId => "other id",
            Self::TwoIds => "two ids",
            Self::Status(status) if NO_STATUSES.contains(&status) => "no status",
            Self::Status(_) => "other status",
            Self::Cut(..) => "cut",
            Self::InPieces => "in pieces",
            Self::Chunked => "chunked",
            Self::Unlimited => "ended by its connection",
            Self::RetryAfter => "with a time",
        }
    }

    /// Status that an answer has in this form; zero if it has none.
    pub fn status(self, own: u16) -> u16 {
        match self {
            Self::Status(status) => status.parse().unwrap_or(0),
            _ => own,
        }
    }

    /// Changes the bytes of an answer.
    pub fn apply(self, answer: Vec<u8>) -> Vec<LinkStep> {
        let send = |bytes| vec![LinkStep::Send(bytes)];
        let Some(parts) = AnswerParts::split(&answer) else {
            return send(answer);
        };
        match self {
            Self::Sound | Self::Copied(_) | Self::Cut(CutPlace::Request, _) => send(answer),
            Self::Unmarked => send(parts.without(REFUSAL_HEADER).join()),
            Self::WithoutId => send(parts.without(ID_HEADER).join()),
            Self::OtherId => send(parts.without(ID_HEADER).with(ID_HEADER, OTHER_ID).join()),
            Self::TwoIds => send(parts.with(ID_HEADER, OTHER_ID).join()),
            Self::Status(status) => send(parts.with_status(status).without(REFUSAL_HEADER).join()),
            Self::Cut(place, part) => {
                let head = answer.len() - parts.body.len();
                let within = |from: usize, to: usize| from + ((to - from) as f64 * part) as usize;
                let end = match place {
                    CutPlace::Request | CutPlace::BeforeAnswer => 0,
                    CutPlace::Head => within(1, head),
                    CutPlace::Body => within(head, answer.len()),
                    CutPlace::AfterAnswer => answer.len(),
                };
                vec![LinkStep::Send(answer[..end].to_vec()), LinkStep::Close]
            }
            Self::InPieces => pieces(&answer),
            Self::Chunked if parts.has("content-length") => send(parts.chunked()),
            Self::Chunked => send(answer),
            Self::Unlimited if parts.has("content-length") => {
                let parts = parts.without("content-length").with("connection", "close");
                vec![LinkStep::Send(parts.join()), LinkStep::Close]
            }
            Self::Unlimited => send(answer),
            Self::RetryAfter if parts.has(REFUSAL_HEADER) => {
                send(parts.with("retry-after", "0.4").join())
            }
            Self::RetryAfter => send(answer),
        }
    }
}

impl fmt::Display for AnswerForm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Status(status) => write!(f, "with status {status} in place of its own"),
            Self::Cut(place, part) => write!(f, "cut ({place:?}, {part:.2})"),
            _ => f.write_str(self.kind()),
        }
    }
}

/// Bytes in several pieces.
pub(crate) fn pieces(bytes: &[u8]) -> Vec<LinkStep> {
    let length = bytes.len().div_ceil(PIECES).max(1);
    let mut steps = Vec::new();
    for piece in bytes.chunks(length) {
        steps.push(LinkStep::Send(piece.to_vec()));
        steps.push(LinkStep::Wait(PIECE_INTERVAL));
    }
    steps
}

/// Pause between an answer and its copy.
pub(crate) fn copy_pause() -> LinkStep {
    LinkStep::Wait(PIECE_INTERVAL)
}

/// Status line, headers and body of an answer.
struct AnswerParts {
    status_line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl AnswerParts {
    fn split(answer: &[u8]) -> Option<Self> {
        let end = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n")?;
        let head = std::str::from_utf8(&answer[..end]).ok()?;
        let (status_line, headers) = head.split_once("\r\n").unwrap_or((head, ""));
        let fields = headers
            .split("\r\n")
            .filter_map(|line| line.split_once(": "));
        Some(Self {
            status_line: status_line.to_owned(),
            headers: fields
                .map(|(name, value)| (name.to_owned(), value.to_owned()))
                .collect(),
            body: answer[end + 4..].to_vec(),
        })
    }

    fn has(&self, name: &str) -> bool {
        let mut headers = self.headers.iter();
        headers.any(|(other, _)| other.eq_ignore_ascii_case(name))
    }

    fn without(mut self, name: &str) -> Self {
        self.headers
            .retain(|(other, _)| !other.eq_ignore_ascii_case(name));
        self
    }

    fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    fn with_status(mut self, status: &str) -> Self {
        self.status_line = format!("HTTP/1.1 {status} Changed");
        self
    }

    fn chunked(self) -> Vec<u8> {
        let body = self.body.clone();
        let mut answer = self.without("content-length");
        answer.body.clear();
        let half = body.len().div_ceil(2).max(1);
        for chunk in body.chunks(half) {
            answer
                .body
                .extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            answer.body.extend_from_slice(chunk);
            answer.body.extend_from_slice(b"\r\n");
        }
        answer.body.extend_from_slice(b"0\r\n\r\n");
        answer.with("transfer-encoding", "chunked").join()
    }

    fn join(self) -> Vec<u8> {
        let mut text = self.status_line;
        text.push_str("\r\n");
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}
