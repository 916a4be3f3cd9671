//! Client of the platform's object API.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::{HeaderMap, HeaderName, Method, StatusCode};
use net::web::{BodyText, CollectOutcome, JsonClient, JsonOutcome, RequestTarget, WebClient};
use serde::Serialize;
use serde::de::DeserializeOwned;
use store::{
    ListOutcome, ObjectChange, ObjectKey, ObjectStore, ReadOutcome, RemoveOutcome, StoredObject,
    UpdateOutcome, WatchOutcome,
};

use crate::entries::decode_entries;
use crate::wire::{ChangeWire, ObjectWire, RawObjectsWire, VersionWire};

/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 16_000_000;
/// Timeout of every request but a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time allowed for the response to a watch after the deadline of the watch.
const WATCH_GRACE: Duration = Duration::from_millis(500);

/// Number of times that the store was restored from a copy; absent if it never was.
pub const STORE_ERA: HeaderName = HeaderName::from_static("store-era");

/// Object store that is reached over HTTP.
#[derive(Clone)]
pub struct HttpObjectStore {
    client: JsonClient,
    clock: Rc<dyn ClockSource>,
    /// Newest era that a response has named.
    era: Rc<Cell<u64>>,
}

impl HttpObjectStore {
    /// Creates a client of the store at `server`.
    pub fn new(client: WebClient, clock: Rc<dyn ClockSource>, server: SocketAddr) -> Self {
        let client = JsonClient::new(client, server, MAX_RESPONSE_BYTES);
        Self {
            client,
            clock,
            era: Rc::default(),
        }
    }

    /// Sends a request; what the store said before it was restored from a copy counts as lost.
    async fn call(
        &self,
        method: Method,
        target: &RequestTarget,
        body: Option<Bytes>,
        deadline: ClockTime,
    ) -> JsonOutcome {
        match self.client.collect(method, target, body, deadline).await {
            CollectOutcome::Response(parts, body) => {
                let (era, newest) = (read_era(&parts.headers), self.era.get());
                if era > newest {
                    log::info!(era, before = newest; "store was restored from a copy");
                    self.era.set(era);
                }
                if era < newest {
                    return JsonOutcome::Lost;
                }
                JsonOutcome::Response(parts.status, body)
            }
            CollectOutcome::NotSent(_) => JsonOutcome::NotSent,
            CollectOutcome::Lost | CollectOutcome::Discarded | CollectOutcome::Incomplete => {
                JsonOutcome::Lost
            }
        }
    }

    fn object(&self, wire: ObjectWire) -> StoredObject {
        let object = StoredObject::from(wire);
        StoredObject {
            version: self.version(object.version),
            ..object
        }
    }

    /// Version of the present era.
    fn version(&self, version: ObjectVersion) -> ObjectVersion {
        ObjectVersion::in_era(self.era.get(), version.revision())
    }

    /// Whether a version was given before the store was restored from a copy.
    fn is_superseded(&self, version: ObjectVersion) -> bool {
        version.exists() && version.era() < self.era.get()
    }

    async fn fetch(&self, target: &RequestTarget, deadline: ClockTime) -> ReadOutcome {
        match self.call(Method::GET, target, None, deadline).await {
            JsonOutcome::Response(StatusCode::OK, body) => match decode::<ObjectWire>(&body) {
                Some(wire) => ReadOutcome::Found(self.object(wire)),
                None => ReadOutcome::Unavailable,
            },
            JsonOutcome::Response(StatusCode::NOT_FOUND, _) => ReadOutcome::Missing,
            _ => ReadOutcome::Unavailable,
        }
    }

    async fn fetch_change(&self, target: &RequestTarget, deadline: ClockTime) -> WatchOutcome {
        match self.call(Method::GET, target, None, deadline).await {
            JsonOutcome::Response(StatusCode::OK, body) => match decode::<ObjectWire>(&body) {
                Some(wire) => WatchOutcome::Changed(self.object(wire)),
                None => WatchOutcome::Unavailable,
            },
            JsonOutcome::Response(StatusCode::NOT_MODIFIED, _) => WatchOutcome::Unchanged,
            JsonOutcome::Response(StatusCode::NOT_FOUND, _) => WatchOutcome::Missing,
            _ => WatchOutcome::Unavailable,
        }
    }

    async fn fetch_list(&self, prefix: &str) -> ListOutcome {
        let target = objects_target().parameter("prefix", prefix);
        let deadline = self.clock.now() + CALL_TIMEOUT;
        match self.call(Method::GET, &target, None, deadline).await {
            JsonOutcome::Response(StatusCode::OK, body) => {
                let text = BodyText::new(&body);
                let Ok(wire) = serde_json::from_str::<RawObjectsWire>(text.as_str()) else {
                    return ListOutcome::Unavailable;
                };
                let objects = decode_entries::<ObjectWire>(&text, &wire.objects, "object");
                let objects = objects.into_iter().map(|wire| self.object(wire));
                ListOutcome::Found(objects.collect())
            }
            _ => ListOutcome::Unavailable,
        }
    }

    async fn put(&self, change: ObjectChange) -> UpdateOutcome {
        if self.is_superseded(change.expected) {
            return UpdateOutcome::Conflict;
        }
        let target = object_target(&change.key);
        let body = encode(&ChangeWire {
            expected: ObjectVersion(change.expected.revision()),
            value: change.value.as_ref().to_owned(),
        });
        let deadline = self.clock.now() + CALL_TIMEOUT;
        match self.call(Method::PUT, &target, Some(body), deadline).await {
            JsonOutcome::Response(StatusCode::OK, body) => match decode::<VersionWire>(&body) {
                Some(wire) => UpdateOutcome::Applied(self.version(wire.version)),
                None => UpdateOutcome::Unknown,
            },
            JsonOutcome::Response(StatusCode::CONFLICT, _) => UpdateOutcome::Conflict,
            JsonOutcome::Response(StatusCode::PAYLOAD_TOO_LARGE, _) => UpdateOutcome::TooLarge,
            JsonOutcome::NotSent => UpdateOutcome::Unavailable,
            JsonOutcome::Response(..) | JsonOutcome::Lost => UpdateOutcome::Unknown,
        }
    }

    async fn delete(&self, key: &ObjectKey, expected: ObjectVersion) -> RemoveOutcome {
        if self.is_superseded(expected) {
            return RemoveOutcome::Conflict;
        }
        let target = object_target(key).parameter("expected", expected.revision().to_string());
        let deadline = self.clock.now() + CALL_TIMEOUT;
        match self.call(Method::DELETE, &target, None, deadline).await {
            JsonOutcome::Response(StatusCode::NO_CONTENT, _) => RemoveOutcome::Removed,
            JsonOutcome::Response(StatusCode::CONFLICT, _) => RemoveOutcome::Conflict,
            JsonOutcome::NotSent => RemoveOutcome::Unavailable,
            JsonOutcome::Response(..) | JsonOutcome::Lost => RemoveOutcome::Unknown,
        }
    }
}

/// Era that a response names; zero if it names none.
fn read_era(headers: &HeaderMap) -> u64 {
    let text = headers.get(STORE_ERA).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.trim().parse().ok()).unwrap_or(0)
}

fn objects_target() -> RequestTarget {
    RequestTarget::new("/v1/objects")
}

/// Target of an object; the slashes of its key separate segments.
fn object_target(key: &ObjectKey) -> RequestTarget {
    let segments = key.as_str().split('/');
    segments.fold(objects_target(), RequestTarget::segment)
}

fn encode(value: &impl Serialize) -> Bytes {
    let bytes = serde_json::to_vec(value).expect("wire types can be encoded as JSON");
    Bytes::from(bytes)
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

impl ObjectStore for HttpObjectStore {
    fn read(&self, key: &ObjectKey) -> LocalBoxFuture<'static, ReadOutcome> {
        let this = self.clone();
        let target = object_target(key);
        Box::pin(async move {
            let deadline = this.clock.now() + CALL_TIMEOUT;
            this.fetch(&target, deadline).await
        })
    }

    fn absent_version(&self) -> ObjectVersion {
        ObjectVersion::in_era(self.era.get(), 0)
    }

    fn list(&self, prefix: &str) -> LocalBoxFuture<'static, ListOutcome> {
        let this = self.clone();
        let prefix = prefix.to_owned();
        Box::pin(async move { this.fetch_list(&prefix).await })
    }

    fn update(&self, change: ObjectChange) -> LocalBoxFuture<'static, UpdateOutcome> {
        let this = self.clone();
        Box::pin(async move { this.put(change).await })
    }

    fn remove(
        &self,
        key: &ObjectKey,
        expected: ObjectVersion,
    ) -> LocalBoxFuture<'static, RemoveOutcome> {
        let this = self.clone();
        let key = key.clone();
        Box::pin(async move { this.delete(&key, expected).await })
    }

    fn watch(
        &self,
        key: &ObjectKey,
        after: ObjectVersion,
        deadline: ClockTime,
    ) -> LocalBoxFuture<'static, WatchOutcome> {
        let this = self.clone();
        let target = object_target(key);
        Box::pin(async move {
            let now = this.clock.now();
            let wait = deadline.since(now);
            // The deadline may have passed long ago.
            let deadline = now + wait + WATCH_GRACE;
            if !this.is_superseded(after) {
                let revision = after.revision();
                let watch = target
                    .clone()
                    .parameter("after", revision.to_string())
                    .parameter("wait_ms", wait.as_millis().to_string());
                let outcome = this.fetch_change(&watch, deadline).await;
                if outcome != WatchOutcome::Unchanged || !this.is_superseded(after) {
                    return outcome;
                }
            }
            // The version was given in an earlier era, so the object counts as changed.
            this.fetch_change(&target, deadline).await
        })
    }
}
