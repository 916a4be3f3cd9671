//! The platform's store, which can misbehave.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use emulator::web::{query_number, read_bytes};
use futures_util::future::LocalBoxFuture;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use net::web::{WebResponse, WebService, body_channel, text_response};
use serde_json::{Value, json};

/// Time that a call takes.
const ANSWER_SPAN: Duration = Duration::from_millis(4);
/// Pause between two looks for changes by a call that waits for them.
const LOOK_PERIOD: Duration = Duration::from_millis(10);
/// Prefix of the daemons' own entries.
const NODE_PREFIX: &str = "node.";

/// Object and the revision of its last change.
type Stored = (u64, Value);

/// Change of an object.
struct ChangeEntry {
    revision: u64,
    kind: String,
    name: String,
    spec: Value,
    is_removed: bool,
}

/// What the store holds, and how it misbehaves.
#[derive(Default)]
pub(crate) struct StoreState {
    objects: BTreeMap<(String, String), Stored>,
    revision: u64,
    history: Vec<ChangeEntry>,
    forgotten: u64,
    /// Until when it answers with errors.
    pub busy_until: Option<Instant>,
    /// Until when it loses the answers to writes.
    pub loses_until: Option<Instant>,
}

impl StoreState {
    /// Writes an object; returns its revision.
    pub fn put(&mut self, kind: &str, name: &str, spec: Value) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        if let Some((revision, known)) = self.objects.get(&key)
            && *known == spec
        {
            return *revision;
        }
        self.revision += 1;
        self.objects.insert(key, (self.revision, spec.clone()));
        self.note(kind, name, spec, false);
        self.revision
    }

    /// Removes an object.
    pub fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some((_, spec)) = self.objects.remove(&key) {
            self.revision += 1;
            self.note(kind, name, spec, true);
        }
    }

    /// Forgets all changes so far.
    pub fn forget(&mut self) {
        self.history.clear();
        self.forgotten = self.revision;
    }

    fn note(&mut self, kind: &str, name: &str, spec: Value, is_removed: bool) {
        self.history.push(ChangeEntry {
            revision: self.revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            spec,
            is_removed,
        });
    }
}

/// The store as one daemon reaches it.
#[derive(Clone)]
pub(crate) struct StoreDesk {
    pub state: Rc<RefCell<StoreState>>,
    /// Daemon that asks here.
    pub reader: String,
    /// Addresses at which other daemons are reached, through their proxies.
    pub proxies: Rc<RefCell<HashMap<String, SocketAddr>>>,
}

/// Call, taken apart.
struct StoreCall {
    method: Method,
    kind: String,
    name: Option<String>,
    /// Revision after which the caller waits for changes, if it does.
    watch: Option<u64>,
    /// Time that it waits.
    wait: Duration,
    body: Value,
}

impl StoreDesk {
    /// Object as this daemon sees it: other daemons are reached through proxies.
    fn shown(&self, name: &str, revision: u64, spec: &Value) -> Value {
        let mut spec = spec.clone();
        if let Some(node) = name.strip_prefix(NODE_PREFIX)
            && node != self.reader
            && let Some(proxy) = self.proxies.borrow().get(node)
        {
            spec["address"] = json!(proxy.to_string());
        }
        json!({"metadata": {"name": name, "revision": revision}, "spec": spec})
    }

    fn list(&self, kind: &str) -> Value {
        let state = self.state.borrow();
        let items = state.objects.iter().filter(|((of, _), _)| of == kind);
        let items: Vec<_> = items
            .map(|((_, name), (revision, spec))| self.shown(name, *revision, spec))
            .collect();
        json!({"items": items, "hasMore": false, "storeRevision": state.revision})
    }

    /// Changes after a revision; `None` if that history is gone.
    fn changes(&self, kind: &str, since: u64) -> Option<Value> {
        let state = self.state.borrow();
        if since < state.forgotten {
            return None;
        }
        let changes = state.history.iter();
        let changes = changes.filter(|change| change.revision > since && change.kind == kind);
        let events: Vec<_> = changes
            .map(|change| {
                let object = self.shown(&change.name, change.revision, &change.spec);
                json!({"object": object, "removed": change.is_removed})
            })
            .collect();
        Some(json!({"events": events, "storeRevision": state.revision}))
    }

    fn write(&self, call: &StoreCall) -> (StatusCode, Value) {
        let name = call.body["metadata"]["name"].as_str().unwrap_or_default();
        let name = call.name.clone().unwrap_or_else(|| name.to_owned());
        let expected = call.body["metadata"]["revision"].as_u64();
        let mut state = self.state.borrow_mut();
        let key = (call.kind.clone(), name.clone());
        let known = state.objects.get(&key).map(|(revision, _)| *revision);
        let fits = match (&call.method, known) {
            (&Method::POST, known) => known.is_none(),
            (_, None) => return (StatusCode::NOT_FOUND, Value::Null),
            (_, Some(known)) => expected.is_none_or(|expected| expected == known),
        };
        if !fits {
            return (StatusCode::CONFLICT, Value::Null);
        }
        let revision = state.put(&call.kind, &name, call.body["spec"].clone());
        let metadata = json!({"name": name, "revision": revision});
        (StatusCode::OK, json!({"metadata": metadata}))
    }

    async fn answer_call(&self, call: StoreCall) -> WebResponse {
        monoio::time::sleep(ANSWER_SPAN).await;
        let is_in = |until: Option<Instant>| until.is_some_and(|until| Instant::now() < until);
        if is_in(self.state.borrow().busy_until) {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        if call.method != Method::GET {
            let (status, body) = self.write(&call);
            if is_in(self.state.borrow().loses_until) {
                return lost_reply();
            }
            return text_response(status, &body.to_string());
        }
        let Some(since) = call.watch else {
            return text_response(StatusCode::OK, &self.list(&call.kind).to_string());
        };
        let end = Instant::now() + call.wait;
        loop {
            let Some(changes) = self.changes(&call.kind, since) else {
                return text_response(StatusCode::GONE, "");
            };
            let has_any = changes["events"]
                .as_array()
                .is_some_and(|events| !events.is_empty());
            if has_any || Instant::now() >= end || is_in(self.state.borrow().busy_until) {
                return text_response(StatusCode::OK, &changes.to_string());
            }
            monoio::time::sleep(LOOK_PERIOD).await;
        }
    }
}

/// Answer that ends before its end.
pub(super) fn lost_reply() -> WebResponse {
    let (sender, body) = body_channel();
    monoio::spawn(sender.abort());
    WebResponse::new(body)
}

impl WebService for StoreDesk {
    fn answer(&self, request: Request<Incoming>) -> LocalBoxFuture<'static, WebResponse> {
        let this = self.clone();
        Box::pin(async move {
            let watch = query_number(&request, "watch");
            let wait = Duration::from_millis(query_number(&request, "waitMs").unwrap_or(0));
            let (parts, body) = request.into_parts();
            let body = match read_bytes(body).await {
                Ok(body) => body,
                Err(reply) => return reply,
            };
            let mut words = parts.uri.path().split('/').skip(2).map(str::to_owned);
            let call = StoreCall {
                kind: words.next().unwrap_or_default(),
                name: words.next(),
                watch,
                wait,
                body: serde_json::from_slice(&body).unwrap_or_default(),
                method: parts.method,
            };
            this.answer_call(call).await
        })
    }
}
