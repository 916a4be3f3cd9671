//! Records the exchanges on the connections from a daemon to a server, and changes the responses
//! of a server in trouble.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use http::StatusCode;

use crate::exchanges::{ConnectionName, ExchangePlace, ExchangeStep};
use crate::platform::Fleet;
use crate::proxy::{ConnectionTap, LinkStep, LinkTap};
use crate::trouble::{
    AnswerForm, CopyMoment, CutPlace, ID_HEADER, REFUSAL_HEADER, copy_pause, pieces,
};

/// Header with the id of the server that a request is meant for.
const EXPECTED_HEADER: &str = "x-bronzerun-expect-instance";

/// Tap on the connections from one daemon to the server in one slot.
pub(crate) struct CopyTap {
    pub fleet: Rc<RefCell<Fleet>>,
    pub daemon: usize,
    pub slot: usize,
}

impl LinkTap for CopyTap {
    fn open(&self, peer: SocketAddr) -> Box<dyn ConnectionTap> {
        let fleet = self.fleet.borrow();
        let number = fleet.checker.borrow_mut().exchanges.next_connection();
        Box::new(TappedConnection {
            fleet: self.fleet.clone(),
            slot: self.slot,
            name: ConnectionName {
                number,
                daemon: self.daemon,
                port: peer.port(),
            },
            state: RefCell::default(),
        })
    }
}

/// Request whose response is not complete, and what to write once more.
#[derive(Default)]
struct CopyState {
    exchange: u32,
    /// Beginning of the next request's head.
    head: Vec<u8>,
    /// Id and path of the request under way.
    request: Option<(Arc<str>, Arc<str>)>,
    /// Form of its response.
    form: Option<AnswerForm>,
    /// Beginning of its response.
    answer: Vec<u8>,
    pending: Option<AnswerCopy>,
}

/// Response to be written once more.
struct AnswerCopy {
    id: Arc<str>,
    status: u16,
    bytes: Vec<u8>,
    is_in_pieces: bool,
}

struct TappedConnection {
    fleet: Rc<RefCell<Fleet>>,
    slot: usize,
    name: ConnectionName,
    state: RefCell<CopyState>,
}

impl TappedConnection {
    fn record(&self, id: &str, step: ExchangeStep) {
        let fleet = self.fleet.borrow();
        fleet.checker.borrow_mut().exchanges.record(id, step);
    }

    fn place(&self, exchange: u32) -> ExchangePlace {
        let fleet = self.fleet.borrow();
        ExchangePlace {
            connection: self.name.clone(),
            server: Arc::from(&*fleet.servers[self.slot].id),
            exchange,
        }
    }

    fn record_written(&self, id: &str, status: u16, form: Option<AnswerForm>, exchange: u32) {
        let place = self.place(exchange);
        let step = ExchangeStep::Written {
            status,
            form,
            place,
        };
        self.record(id, step);
    }

    fn count_copy(&self, copy_id: &str, request_id: Option<&str>) {
        let fleet = self.fleet.borrow();
        let mut checker = fleet.checker.borrow_mut();
        checker.exchanges.count_copy(copy_id, request_id);
    }

    /// When a response is written once more, if it is.
    fn copy_moment(&self, is_refusal: bool, path: &str, exchange: u32) -> Option<CopyMoment> {
        let is_nameless = matches!(path, "/report" | "/order");
        let fleet = self.fleet.borrow();
        let is_repeating = fleet.servers[self.slot].repeats_refusals(Instant::now());
        if !is_repeating || !fleet.writes_copies() {
            return None;
        }
        match (self.name.number + exchange) % 4 {
            0 | 1 if is_refusal => Some(CopyMoment::Late),
            2 if is_refusal => Some(CopyMoment::AtOnce),
            0 if is_nameless => Some(CopyMoment::Late),
            1 if is_nameless => Some(CopyMoment::AtOnce),
            _ => None,
        }
    }
}

impl ConnectionTap for TappedConnection {
    fn forwarded(&self, bytes: Vec<u8>) -> Vec<LinkStep> {
        let mut state = self.state.borrow_mut();
        if state.request.is_some() {
            // The body of the request follows its head.
            return vec![LinkStep::Send(bytes)];
        }
        state.head.extend_from_slice(&bytes);
        let head_bytes = std::mem::take(&mut state.head);
        let text = String::from_utf8_lossy(&head_bytes);
        let Some((head, _)) = text.split_once("\r\n\r\n") else {
            state.head = head_bytes;
            return vec![LinkStep::Send(bytes)];
        };
        let path: Arc<str> = Arc::from(head.split(' ').nth(1).unwrap_or_default());
        let id = Arc::<str>::from(header(head, ID_HEADER).unwrap_or_default());
        state.exchange += 1;
        state.request = Some((id.clone(), path.clone()));
        state.form = (self.fleet.borrow_mut()).next_form(self.slot, &path, Instant::now());
        let place = self.place(state.exchange);
        let meant_for = Arc::from(header(head, EXPECTED_HEADER).unwrap_or_default());
        let step = ExchangeStep::Arrived {
            path,
            meant_for,
            place,
        };
        self.record(&id, step);
        if let Some(AnswerForm::Cut(CutPlace::Request, part)) = state.form {
            let end = (bytes.len() as f64 * part) as usize;
            self.record(&id, ExchangeStep::Cut);
            return vec![LinkStep::Send(bytes[..end].to_vec()), LinkStep::Close];
        }
        vec![LinkStep::Send(bytes)]
    }

    fn answered(&self, bytes: Vec<u8>) -> Vec<LinkStep> {
        let mut state = self.state.borrow_mut();
        let Some((id, path)) = state.request.clone() else {
            return vec![LinkStep::Send(bytes)];
        };
        let exchange = state.exchange;
        let mut steps = Vec::new();
        let is_repeating =
            (self.fleet.borrow().servers[self.slot]).repeats_refusals(Instant::now());
        if let Some(copy) = state.pending.take_if(|_| is_repeating) {
            let form = if copy.is_in_pieces {
                CopyMoment::LateInPieces
            } else {
                CopyMoment::Late
            };
            self.record_written(
                &copy.id,
                copy.status,
                Some(AnswerForm::Copied(form)),
                exchange,
            );
            self.count_copy(&copy.id, Some(&id));
            if copy.is_in_pieces {
                steps = pieces(&copy.bytes);
            } else {
                steps.push(LinkStep::Send(copy.bytes));
            }
        }
        let form = state.form;
        state.answer.extend_from_slice(&bytes);
        let Some(answer) = CompleteAnswer::take_from(&mut state.answer) else {
            if form.is_none() {
                steps.push(LinkStep::Send(bytes));
            }
            return steps;
        };
        state.request = None;
        let (status, answer_bytes) = (answer.status.as_u16(), answer.bytes);
        let is_copied = matches!(form, Some(AnswerForm::Copied(_)));
        self.record_written(&id, status, form.filter(|_| !is_copied), exchange);
        let moment = match form {
            Some(AnswerForm::Copied(moment)) if answer.has_length => Some(moment),
            Some(_) => None,
            None => self.copy_moment(answer.is_refusal, &path, exchange),
        };
        match form {
            // The bytes were kept back until the answer was complete.
            Some(form) => steps.extend(form.apply(answer_bytes.clone())),
            None => steps.push(LinkStep::Send(bytes)),
        }
        match moment {
            None => {}
            Some(CopyMoment::AtOnce | CopyMoment::BehindBody) => {
                let copied = moment.map(AnswerForm::Copied);
                self.record_written(&id, status, copied, exchange);
                self.count_copy(&id, None);
                if moment == Some(CopyMoment::AtOnce) && form.is_some() {
                    steps.push(copy_pause());
                }
                steps.push(LinkStep::Send(answer_bytes));
            }
            Some(CopyMoment::Late | CopyMoment::LateInPieces) => {
                state.pending = Some(AnswerCopy {
                    id,
                    status,
                    bytes: answer_bytes,
                    is_in_pieces: moment == Some(CopyMoment::LateInPieces),
                });
            }
        }
        merge_sends(steps)
    }
}

/// Joins neighbouring bytes, so that they go out together.
fn merge_sends(steps: Vec<LinkStep>) -> Vec<LinkStep> {
    let mut merged: Vec<LinkStep> = Vec::new();
    for step in steps {
        match (merged.last_mut(), step) {
            (Some(LinkStep::Send(earlier)), LinkStep::Send(bytes)) => earlier.extend(bytes),
            (_, step) => merged.push(step),
        }
    }
    merged
}

/// End of the head of a response.
const HEAD_END: &str = "\r\n\r\n";

/// Response that has arrived up to its end, or the head of one without a length.
struct CompleteAnswer {
    status: StatusCode,
    is_refusal: bool,
    /// Whether the end of its body is known.
    has_length: bool,
    bytes: Vec<u8>,
}

impl CompleteAnswer {
    /// Takes the response from the bytes that have arrived, if they are complete.
    fn take_from(bytes: &mut Vec<u8>) -> Option<Self> {
        skip_interim(bytes);
        let text = String::from_utf8_lossy(bytes);
        let (head, body) = text.split_once(HEAD_END)?;
        let status = status_of(head)?;
        let length = header(head, "content-length").and_then(|length| length.parse().ok());
        if length.is_some_and(|length: usize| body.len() < length) {
            return None;
        }
        let is_refusal = length.is_some() && header(head, REFUSAL_HEADER).is_some();
        Some(Self {
            status,
            is_refusal,
            has_length: length.is_some(),
            bytes: std::mem::take(bytes),
        })
    }
}

/// Removes complete interim responses from the beginning.
fn skip_interim(bytes: &mut Vec<u8>) {
    let mut start = 0;
    while let Some(length) = interim_length(&bytes[start..]) {
        start += length;
    }
    bytes.drain(..start);
}

/// Length of the complete interim response at the beginning, if there is one.
fn interim_length(bytes: &[u8]) -> Option<usize> {
    let end = HEAD_END.as_bytes();
    let head = bytes.windows(end.len()).position(|window| window == end)?;
    let status = status_of(&String::from_utf8_lossy(&bytes[..head]))?;
    status.is_informational().then_some(head + end.len())
}

fn status_of(head: &str) -> Option<StatusCode> {
    head.get(9..12)?.parse().ok()
}

/// Value of a header in a head.
fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = head.lines().filter_map(|line| line.split_once(": "));
    let field = fields.find(|(field, _)| field.eq_ignore_ascii_case(name));
    field.map(|(_, value)| value)
}
