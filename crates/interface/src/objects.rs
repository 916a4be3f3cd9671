//! Client of the platform's object API.

use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::{Method, StatusCode};
use net::web::{JsonClient, JsonOutcome, WebClient};
use serde::Serialize;
use serde::de::DeserializeOwned;
use store::{
    ListOutcome, ObjectChange, ObjectKey, ObjectStore, ReadOutcome, RemoveOutcome, StoredObject,
    UpdateOutcome, WatchOutcome,
};

use crate::wire::{ChangeWire, ObjectWire, ObjectsWire, VersionWire};

/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 16_000_000;
/// Timeout of every request but a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time allowed for the response to a watch after the deadline of the watch.
const WATCH_GRACE: Duration = Duration::from_millis(500);

/// Object store that is reached over HTTP.
#[derive(Clone)]
pub struct HttpObjectStore {
    client: JsonClient,
    clock: Rc<dyn ClockSource>,
}

impl HttpObjectStore {
    /// Creates a client of the store at `server`.
    pub fn new(client: WebClient, clock: Rc<dyn ClockSource>, server: SocketAddr) -> Self {
        let client = JsonClient::new(client, server, MAX_RESPONSE_BYTES);
        Self { client, clock }
    }

    async fn fetch(&self, path: &str, deadline: ClockTime) -> ReadOutcome {
        match self.client.call(Method::GET, path, None, deadline).await {
            JsonOutcome::Response(StatusCode::OK, body) => match decode::<ObjectWire>(&body) {
                Some(wire) => ReadOutcome::Found(StoredObject::from(wire)),
                None => ReadOutcome::Unavailable,
            },
            JsonOutcome::Response(StatusCode::NOT_FOUND, _) => ReadOutcome::Missing,
            _ => ReadOutcome::Unavailable,
        }
    }

    async fn fetch_change(&self, path: &str, deadline: ClockTime) -> WatchOutcome {
        match self.client.call(Method::GET, path, None, deadline).await {
            JsonOutcome::Response(StatusCode::OK, body) => match decode::<ObjectWire>(&body) {
                Some(wire) => WatchOutcome::Changed(StoredObject::from(wire)),
                None => WatchOutcome::Unavailable,
            },
            JsonOutcome::Response(StatusCode::NOT_MODIFIED, _) => WatchOutcome::Unchanged,
            JsonOutcome::Response(StatusCode::NOT_FOUND, _) => WatchOutcome::Missing,
            _ => WatchOutcome::Unavailable,
        }
    }

    async fn fetch_list(&self, prefix: &str) -> ListOutcome {
        let path = format!("/v1/objects?prefix={prefix}");
        let deadline = self.clock.now() + CALL_TIMEOUT;
        match self.client.call(Method::GET, &path, None, deadline).await {
            JsonOutcome::Response(StatusCode::OK, body) => match decode::<ObjectsWire>(&body) {
                Some(wire) => {
                    ListOutcome::Found(wire.objects.into_iter().map(StoredObject::from).collect())
                }
                None => ListOutcome::Unavailable,
            },
            _ => ListOutcome::Unavailable,
        }
    }

    async fn put(&self, change: ObjectChange) -> UpdateOutcome {
        let path = object_path(&change.key);
        let body = encode(&ChangeWire {
            expected: change.expected,
            value: change.value.as_ref().to_owned(),
        });
        let deadline = self.clock.now() + CALL_TIMEOUT;
        match self
            .client
            .call(Method::PUT, &path, Some(body), deadline)
            .await
        {
            JsonOutcome::Response(StatusCode::OK, body) => match decode::<VersionWire>(&body) {
                Some(wire) => UpdateOutcome::Applied(wire.version),
                None => UpdateOutcome::Unknown,
            },
            JsonOutcome::Response(StatusCode::CONFLICT, _) => UpdateOutcome::Conflict,
            JsonOutcome::Response(StatusCode::PAYLOAD_TOO_LARGE, _) => UpdateOutcome::TooLarge,
            JsonOutcome::NotSent => UpdateOutcome::Unavailable,
            JsonOutcome::Response(..) | JsonOutcome::Lost => UpdateOutcome::Unknown,
        }
    }

    async fn delete(&self, key: &ObjectKey, expected: ObjectVersion) -> RemoveOutcome {
        let path = format!("{}?expected={expected}", object_path(key));
        let deadline = self.clock.now() + CALL_TIMEOUT;
        match self
            .client
            .call(Method::DELETE, &path, None, deadline)
            .await
        {
            JsonOutcome::Response(StatusCode::NO_CONTENT, _) => RemoveOutcome::Removed,
            JsonOutcome::Response(StatusCode::CONFLICT, _) => RemoveOutcome::Conflict,
            JsonOutcome::NotSent => RemoveOutcome::Unavailable,
            JsonOutcome::Response(..) | JsonOutcome::Lost => RemoveOutcome::Unknown,
        }
    }
}

fn object_path(key: &ObjectKey) -> String {
    format!("/v1/objects/{key}")
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
        let path = object_path(key);
        Box::pin(async move {
            let deadline = this.clock.now() + CALL_TIMEOUT;
            this.fetch(&path, deadline).await
        })
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
        let path = object_path(key);
        Box::pin(async move {
            let now = this.clock.now();
            let wait = deadline.since(now);
            let path = format!("{path}?after={after}&wait_ms={}", wait.as_millis());
            // The deadline may have passed long ago.
            this.fetch_change(&path, now + wait + WATCH_GRACE).await
        })
    }
}
