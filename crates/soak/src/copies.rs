//! Records the exchanges on the connections from a daemon to a server, and writes responses of
//! a server once more.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use http::StatusCode;

use crate::exchanges::{ConnectionName, ExchangePlace, ExchangeStep};
use crate::platform::Fleet;
use crate::proxy::{ConnectionTap, LinkTap};

/// Header with the id of a request, in requests and responses.
const ID_HEADER: &str = "x-bronzerun-request-id";
/// Header with the id of the server that a request is meant for.
const EXPECTED_HEADER: &str = "x-bronzerun-expect-instance";
/// Header of a response to a request that was not run.
const REFUSAL_HEADER: &str = "x-bronzerun-not-executed";

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
    /// Beginning of its response.
    answer: Vec<u8>,
    pending: Option<AnswerCopy>,
}

/// Response to be written once more.
struct AnswerCopy {
    id: Arc<str>,
    status: StatusCode,
    bytes: Vec<u8>,
}

/// When a response is written once more.
enum CopyMoment {
    /// Right after it.
    AtOnce,
    /// Before the next response on the connection.
    Late,
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

    fn record_written(&self, id: &str, status: StatusCode, is_copy: bool, exchange: u32) {
        let place = self.place(exchange);
        let step = ExchangeStep::Written {
            status,
            is_copy,
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
        if !fleet.servers[self.slot].repeats_refusals(Instant::now()) {
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
    fn forwarded(&self, bytes: &[u8]) {
        let mut state = self.state.borrow_mut();
        if state.request.is_some() {
            // The body of the request follows its head.
            return;
        }
        state.head.extend_from_slice(bytes);
        let bytes = std::mem::take(&mut state.head);
        let text = String::from_utf8_lossy(&bytes);
        let Some((head, _)) = text.split_once("\r\n\r\n") else {
            state.head = bytes;
            return;
        };
        let path: Arc<str> = Arc::from(head.split(' ').nth(1).unwrap_or_default());
        let id = Arc::<str>::from(header(head, ID_HEADER).unwrap_or_default());
        state.exchange += 1;
        state.request = Some((id.clone(), path.clone()));
        let place = self.place(state.exchange);
        let meant_for = Arc::from(header(head, EXPECTED_HEADER).unwrap_or_default());
        let step = ExchangeStep::Arrived {
            path,
            meant_for,
            place,
        };
        self.record(&id, step);
    }

    fn answered(&self, bytes: Vec<u8>) -> Vec<u8> {
        let mut state = self.state.borrow_mut();
        let Some((id, path)) = state.request.clone() else {
            return bytes;
        };
        let exchange = state.exchange;
        let mut written = Vec::new();
        let is_repeating =
            (self.fleet.borrow().servers[self.slot]).repeats_refusals(Instant::now());
        if let Some(copy) = state.pending.take_if(|_| is_repeating) {
            self.record_written(&copy.id, copy.status, true, exchange);
            self.count_copy(&copy.id, Some(&id));
            written = copy.bytes;
        }
        written.extend_from_slice(&bytes);
        state.answer.extend_from_slice(&bytes);
        let Some(answer) = CompleteAnswer::take_from(&mut state.answer) else {
            return written;
        };
        state.request = None;
        let (status, bytes) = (answer.status, answer.bytes);
        self.record_written(&id, status, false, exchange);
        match self.copy_moment(answer.is_refusal, &path, exchange) {
            None => {}
            Some(CopyMoment::AtOnce) => {
                self.record_written(&id, status, true, exchange);
                self.count_copy(&id, None);
                written.extend_from_slice(&bytes);
            }
            Some(CopyMoment::Late) => state.pending = Some(AnswerCopy { id, status, bytes }),
        }
        written
    }
}

/// Response that has arrived up to its end, or the head of one without a length.
struct CompleteAnswer {
    status: StatusCode,
    is_refusal: bool,
    bytes: Vec<u8>,
}

impl CompleteAnswer {
    /// Takes the response from the bytes that have arrived, if they are complete.
    fn take_from(bytes: &mut Vec<u8>) -> Option<Self> {
        let text = String::from_utf8_lossy(bytes);
        let (head, body) = text.split_once("\r\n\r\n")?;
        let status: StatusCode = head.get(9..12)?.parse().ok()?;
        if status.is_informational() {
            let end = head.len() + "\r\n\r\n".len();
            bytes.drain(..end);
            return Self::take_from(bytes);
        }
        let length = header(head, "content-length").and_then(|length| length.parse().ok());
        if length.is_some_and(|length: usize| body.len() < length) {
            return None;
        }
        let is_refusal = length.is_some() && header(head, REFUSAL_HEADER).is_some();
        Some(Self {
            status,
            is_refusal,
            bytes: std::mem::take(bytes),
        })
    }
}

/// Value of a header in a head.
fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = head.lines().filter_map(|line| line.split_once(": "));
    let field = fields.find(|(field, _)| field.eq_ignore_ascii_case(name));
    field.map(|(_, value)| value)
}
