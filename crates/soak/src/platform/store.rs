//! Emulated store of the platform, with fault injection.

use std::borrow::Cow;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use emulator::pages::{PAGE_BYTES, UNREADABLE, list_page, objects_response};
use emulator::web::{query_number, query_value, read_bytes};
use futures_util::future::LocalBoxFuture;
use http::{HeaderValue, Method, Request, StatusCode};
use net::web::RequestBody;
use net::web::{WebResponse, WebService, body_channel, decode_segment, text_response};
use serde_json::{Value, json};

use crate::plan::{ForeignForm, ForeignName};

/// Delay of every response.
const RESPONSE_DELAY: Duration = Duration::from_millis(4);
/// Interval between two checks for changes by a watch.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between two copies of the store, and their number.
const COPY_INTERVAL: Duration = Duration::from_millis(100);
const COPY_COUNT: usize = 100;
/// Prefix of the names of the daemons' entries.
const NODE_PREFIX: &str = "node.";

/// Kinds of objects, in each of which another writer may leave entries.
const KINDS: [&str; 4] = ["config", "evacuations", "bronzerun", "servers"];
/// Number of small entries that another writer leaves; a page holds fewer.
const FOREIGN_COUNT: usize = 600;

/// Revision of the last change of an object, and its spec.
type StoredObject = (u64, Rc<Value>);

/// Entry of the change history.
#[derive(Clone)]
struct ChangeEntry {
    revision: u64,
    kind: String,
    name: String,
    spec: Rc<Value>,
    is_removed: bool,
}

/// Objects by kind and name.
type ObjectMap = BTreeMap<(String, String), StoredObject>;

/// State of the store at an instant, from which it can be restored.
#[derive(Clone)]
struct StoreCopy {
    taken_at: Instant,
    objects: ObjectMap,
    revision: u64,
}

/// Contents of the store, its change history and the faults in effect.
#[derive(Default)]
pub(crate) struct StoreState {
    objects: ObjectMap,
    revision: u64,
    history: Vec<ChangeEntry>,
    compacted_revision: u64,
    /// Forms of the entries of another writer, by name.
    foreign: BTreeMap<String, ForeignForm>,
    /// Number of times that it was restored from a copy.
    era: u64,
    copies: VecDeque<StoreCopy>,
    /// Copy to be restored, and when.
    restoring: Option<(Instant, StoreCopy)>,
    /// Until when the store responds with errors.
    pub unavailable_until: Option<Instant>,
    /// Until when the store applies writes and loses the responses.
    pub loses_responses_until: Option<Instant>,
    /// Until when watches that are waiting or begin hear of no change.
    pub deafens_watches_until: Option<Instant>,
}

impl StoreState {
    /// Writes an object; returns its revision, which stays if the spec is unchanged.
    pub fn put(&mut self, kind: &str, name: &str, spec: Value) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        if let Some((revision, current)) = self.objects.get(&key)
            && **current == spec
        {
            return *revision;
        }
        let spec = Rc::new(spec);
        self.revision += 1;
        self.objects.insert(key, (self.revision, spec.clone()));
        self.record_change(kind, name, spec, false);
        self.revision
    }

    /// Writes entries of another writer among the objects of each kind.
    pub fn put_foreign(&mut self, form: ForeignForm, ForeignName(name): ForeignName) {
        let names = match form {
            ForeignForm::Many => (0..FOREIGN_COUNT)
                .map(|index| format!("{name}{index:03}"))
                .collect(),
            _ => vec![name.to_owned()],
        };
        let dump = match form {
            ForeignForm::Large => "x".repeat(PAGE_BYTES),
            ForeignForm::Unreadable => UNREADABLE.to_string(),
            ForeignForm::Many | ForeignForm::WithoutRevision | ForeignForm::WithoutName => {
                String::new()
            }
        };
        for kind in KINDS {
            for name in &names {
                self.foreign.insert(name.clone(), form);
                self.put(kind, name, json!({"service": null, "dump": dump}));
            }
        }
    }

    /// Metadata of an object as lists and watches show them.
    fn metadata(&self, name: &str, revision: u64) -> Value {
        match self.foreign.get(name) {
            Some(ForeignForm::WithoutRevision) => json!({"name": name}),
            Some(ForeignForm::WithoutName) => json!({"revision": revision}),
            _ => json!({"name": name, "revision": revision}),
        }
    }

    /// Removes an object.
    pub fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some((_, spec)) = self.objects.remove(&key) {
            self.revision += 1;
            self.record_change(kind, name, spec, true);
        }
    }

    /// Compacts the history: watches from earlier revisions must list again.
    pub fn compact(&mut self) {
        self.history.clear();
        self.compacted_revision = self.revision;
    }

    /// Copies the contents, if the last copy is old enough.
    pub fn copy(&mut self, now: Instant) {
        let last = self.copies.back().map(|copy| copy.taken_at);
        if last.is_some_and(|at| now.duration_since(at) < COPY_INTERVAL) {
            return;
        }
        self.copies.push_back(StoreCopy {
            taken_at: now,
            objects: self.objects.clone(),
            revision: self.revision,
        });
        if self.copies.len() > COPY_COUNT {
            self.copies.pop_front();
        }
    }

    /// Makes the store unavailable until an instant, at which it comes back from a copy.
    pub fn restore_at(&mut self, until: Instant, copy_before: Instant) {
        let older = |copy: &&StoreCopy| copy.taken_at <= copy_before;
        let copy = self.copies.iter().rev().find(older);
        if let Some(copy) = copy.or(self.copies.front()).cloned() {
            self.unavailable_until = Some(until);
            self.restoring = Some((until, copy));
        }
    }

    /// Restores the copy if it is due; returns whether it was.
    pub fn restore_if_due(&mut self, now: Instant) -> bool {
        let Some((_, copy)) = self.restoring.take_if(|(at, _)| *at <= now) else {
            return false;
        };
        self.objects = copy.objects;
        self.revision = copy.revision;
        self.history
            .retain(|change| change.revision <= copy.revision);
        self.compacted_revision = self.compacted_revision.min(copy.revision);
        self.era += 1;
        self.copies.clear();
        true
    }

    /// Names of all objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let keys = self.objects.keys().filter(|(other, _)| other == kind);
        keys.map(|(_, name)| name.clone()).collect()
    }

    fn record_change(&mut self, kind: &str, name: &str, spec: Rc<Value>, is_removed: bool) {
        self.history.push(ChangeEntry {
            revision: self.revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            spec,
            is_removed,
        });
    }
}

/// Serves the store to one daemon.
#[derive(Clone)]
pub(crate) struct StoreService {
    pub state: Rc<RefCell<StoreState>>,
    /// Name of the daemon.
    pub reader: String,
    /// Addresses of the proxies in front of the daemons, by daemon name.
    pub proxies: Rc<RefCell<HashMap<String, SocketAddr>>>,
    /// Addresses of the proxies between this daemon and the servers, by the servers' addresses.
    pub server_proxies: HashMap<SocketAddr, SocketAddr>,
}

/// Parsed request.
struct StoreCall {
    method: Method,
    kind: String,
    name: Option<String>,
    /// Name after which a list continues.
    after: Option<String>,
    /// Revision after which changes are watched; `None` without a watch.
    watch: Option<u64>,
    /// Longest wait of a watch.
    wait: Duration,
    body: Value,
}

impl StoreService {
    /// Object as shown to this daemon, with the proxies' addresses in the entries of other daemons.
    fn object_for_reader(&self, name: &str, revision: u64, spec: &Value) -> Value {
        let metadata = self.state.borrow().metadata(name, revision);
        if self.state.borrow().foreign.contains_key(name) {
            return json!({"metadata": metadata, "spec": spec});
        }
        let mut spec = spec.clone();
        if let Some(node) = name.strip_prefix(NODE_PREFIX)
            && node != self.reader
            && let Some(proxy) = self.proxies.borrow().get(node)
        {
            spec["address"] = json!(proxy.to_string());
        }
        let address = spec["address"]
            .as_str()
            .and_then(|address| address.parse().ok());
        if let Some(proxy) = address.and_then(|address| self.server_proxies.get(&address)) {
            spec["address"] = json!(proxy.to_string());
        }
        json!({"metadata": metadata, "spec": spec})
    }

    fn list(&self, kind: &str, after: Option<&str>) -> String {
        let state = self.state.borrow();
        let objects = state
            .objects
            .iter()
            .filter(|((object_kind, _), _)| object_kind == kind);
        let objects = objects.map(|((_, name), (revision, spec))| {
            let object = self.object_for_reader(name, *revision, spec);
            (name.clone(), object.to_string())
        });
        list_page(objects, after, state.revision)
    }

    /// Changes after a revision; `None` if they were compacted.
    fn changes(&self, kind: &str, since: u64) -> Option<Value> {
        let state = self.state.borrow();
        if since < state.compacted_revision || since > state.revision {
            return None;
        }
        let changes = state.history.iter();
        let changes = changes.filter(|change| change.revision > since && change.kind == kind);
        let events: Vec<_> = changes
            .map(|change| {
                let object = self.object_for_reader(&change.name, change.revision, &change.spec);
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
        let current = state.objects.get(&key).map(|(revision, _)| *revision);
        let is_allowed = match (&call.method, current) {
            (&Method::POST, current) => current.is_none(),
            (_, None) => return (StatusCode::NOT_FOUND, Value::Null),
            (_, Some(current)) => expected.is_none_or(|expected| expected == current),
        };
        if !is_allowed {
            return (StatusCode::CONFLICT, Value::Null);
        }
        let revision = state.put(&call.kind, &name, call.body["spec"].clone());
        let metadata = json!({"name": name, "revision": revision});
        (StatusCode::OK, json!({"metadata": metadata}))
    }

    async fn handle_call(&self, call: StoreCall) -> WebResponse {
        monoio::time::sleep(RESPONSE_DELAY).await;
        let is_in_effect =
            |until: Option<Instant>| until.is_some_and(|until| Instant::now() < until);
        if is_in_effect(self.state.borrow().unavailable_until) {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        if call.method != Method::GET {
            let (status, body) = self.write(&call);
            if is_in_effect(self.state.borrow().loses_responses_until) {
                return truncated_response();
            }
            return text_response(status, &body.to_string());
        }
        let Some(since) = call.watch else {
            return objects_response(&self.list(&call.kind, call.after.as_deref()));
        };
        let end = Instant::now() + call.wait;
        let mut is_deaf = false;
        loop {
            is_deaf |= is_in_effect(self.state.borrow().deafens_watches_until);
            if is_deaf {
                monoio::time::sleep(end.saturating_duration_since(Instant::now())).await;
            }
            let Some(changes) = self.changes(&call.kind, since) else {
                return text_response(StatusCode::GONE, "");
            };
            let has_changes = changes["events"]
                .as_array()
                .is_some_and(|events| !events.is_empty());
            if has_changes
                || Instant::now() >= end
                || is_in_effect(self.state.borrow().unavailable_until)
            {
                return objects_response(&changes.to_string());
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Response whose body is aborted, as if the connection were lost.
pub(super) fn truncated_response() -> WebResponse {
    let (sender, body) = body_channel();
    net::spawn(sender.abort());
    WebResponse::new(body)
}

impl WebService for StoreService {
    fn answer(&self, request: Request<RequestBody>) -> LocalBoxFuture<'static, WebResponse> {
        let this = self.clone();
        Box::pin(async move {
            let watch = query_number(&request, "watch");
            let after = query_value(&request, "after").map(Cow::into_owned);
            let wait = Duration::from_millis(query_number(&request, "waitMs").unwrap_or(0));
            let (parts, body) = request.into_parts();
            let body = match read_bytes(body).await {
                Ok(body) => body,
                Err(response) => return response,
            };
            let segments = parts.uri.path().split('/').skip(2);
            let mut segments = segments.map(|segment| decode_segment(segment).into_owned());
            let call = StoreCall {
                kind: segments.next().unwrap_or_default(),
                name: segments.next(),
                after,
                watch,
                wait,
                body: serde_json::from_slice(&body).unwrap_or_default(),
                method: parts.method,
            };
            let mut response = this.handle_call(call).await;
            let era = HeaderValue::from(this.state.borrow().era);
            response.headers_mut().insert("store-era", era);
            response
        })
    }
}
