//! HTTP interface of the emulated platform.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use base::prelude::*;
use futures_util::future::LocalBoxFuture;
use http::{Method, Request, Response, StatusCode};
use interface::STORE_ERA;
use interface::wire::{ChangeWire, HostWire, HostsWire, ObjectWire, ObjectsWire, VersionWire};
use net::web::RequestBody;
use net::web::{
    WebResponse, WebService, body_channel, decode_segment, empty_body, json_response, text_response,
};
use store::{ObjectChange, ObjectKey, UpdateOutcome};

use super::objects::ObjectCopy;
use super::{ObjectTable, PlatformFaults};
use crate::web::{query_number, query_value, read_json, unknown_path};

const OBJECT_PATH: &str = "/v1/objects/";
const HOST_PATH: &str = "/emulator/hosts/";

/// Emulated platform.
#[derive(Clone, Default)]
pub struct PlatformService(Rc<PlatformState>);

#[derive(Default)]
struct PlatformState {
    objects: RefCell<ObjectTable>,
    hosts: RefCell<BTreeMap<HostName, HostWire>>,
    frozen_hosts: RefCell<Option<HostsWire>>,
    faults: Cell<PlatformFaults>,
    call_count: Cell<u64>,
    /// Copy of the objects to be restored.
    copy: RefCell<Option<ObjectCopy>>,
}

impl PlatformService {
    /// Adds a host to the list, or replaces its entry.
    pub fn set_host(&self, host: HostWire) {
        self.0.hosts.borrow_mut().insert(host.host.clone(), host);
    }

    /// Writes an object regardless of its version.
    pub fn put_object(&self, key: &ObjectKey, value: &str) {
        let mut objects = self.0.objects.borrow_mut();
        let expected = objects.version_of(key);
        objects.update(ObjectChange {
            key: key.clone(),
            expected,
            value: Arc::from(value),
        });
    }

    /// Copies all objects, to be restored later.
    pub fn copy_objects(&self) {
        let copy = self.0.objects.borrow().copy();
        self.0.copy.replace(Some(copy));
    }

    /// Restores the objects from the last copy; returns whether there is one.
    pub fn restore_objects(&self) -> bool {
        let copy = self.0.copy.borrow().clone();
        let has_copy = copy.is_some();
        if let Some(copy) = copy {
            self.0.objects.borrow_mut().restore(copy);
        }
        has_copy
    }

    fn list_hosts(&self) -> HostsWire {
        if let Some(frozen_hosts) = self.0.frozen_hosts.borrow().as_ref() {
            return frozen_hosts.clone();
        }
        HostsWire {
            hosts: self.0.hosts.borrow().values().cloned().collect(),
        }
    }

    fn set_faults(&self, faults: PlatformFaults) {
        let frozen_hosts = faults.freeze_hosts.then(|| self.list_hosts());
        self.0.frozen_hosts.replace(frozen_hosts);
        self.0.faults.set(faults);
    }

    async fn route(&self, request: Request<RequestBody>) -> WebResponse {
        let path = request.uri().path().to_owned();
        if path.starts_with("/emulator/") {
            return self.control(&path, request).await;
        }
        self.0.call_count.set(self.0.call_count.get() + 1);
        let faults = self.0.faults.get();
        if faults.down {
            return aborted_response().await;
        }
        monoio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        let mut response = self.answer_call(&path, request).await;
        let era = self.0.objects.borrow().era();
        response.headers_mut().insert(STORE_ERA, era.into());
        response
    }

    async fn answer_call(&self, path: &str, request: Request<RequestBody>) -> WebResponse {
        match (request.method().clone(), path) {
            (Method::GET, "/v1/hosts") => json_response(StatusCode::OK, &self.list_hosts()),
            (Method::GET, "/v1/objects") => self.list_objects(&request),
            (method, path) => match path.strip_prefix(OBJECT_PATH) {
                Some(key) => {
                    let key = ObjectKey::new(&decode_segment(key));
                    self.object(method, key, request).await
                }
                None => unknown_path(),
            },
        }
    }

    async fn control(&self, path: &str, request: Request<RequestBody>) -> WebResponse {
        if path == "/emulator/calls" {
            return text_response(StatusCode::OK, &self.0.call_count.get().to_string());
        }
        if path == "/emulator/copy" {
            self.copy_objects();
            return no_content();
        }
        if path == "/emulator/restore" {
            return match self.restore_objects() {
                true => no_content(),
                false => text_response(StatusCode::CONFLICT, "no copy was taken"),
            };
        }
        if path == "/emulator/faults" {
            return match read_json(request.into_body()).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    no_content()
                }
                Err(response) => response,
            };
        }
        let Some(host) = path.strip_prefix(HOST_PATH) else {
            return unknown_path();
        };
        self.control_host(host.to_owned(), request).await
    }

    async fn control_host(&self, host: String, request: Request<RequestBody>) -> WebResponse {
        let Ok(host) = HostName::new(&host) else {
            return unknown_path();
        };
        if request.method() == Method::DELETE {
            self.0.hosts.borrow_mut().remove(&host);
            return no_content();
        }
        match read_json(request.into_body()).await {
            Ok(entry) => {
                self.set_host(entry);
                no_content()
            }
            Err(response) => response,
        }
    }

    fn list_objects(&self, request: &Request<RequestBody>) -> WebResponse {
        let prefix = query_value(request, "prefix").unwrap_or_default();
        let objects = self.0.objects.borrow().list(&prefix);
        let objects = objects.into_iter().map(ObjectWire::from).collect();
        json_response(StatusCode::OK, &ObjectsWire { objects })
    }

    async fn object(
        &self,
        method: Method,
        key: ObjectKey,
        request: Request<RequestBody>,
    ) -> WebResponse {
        match method {
            Method::GET => self.get_object(&key, &request).await,
            Method::PUT => self.put(key, request).await,
            Method::DELETE => self.delete(&key, &request),
            _ => text_response(StatusCode::METHOD_NOT_ALLOWED, "use GET, PUT or DELETE"),
        }
    }

    async fn get_object(&self, key: &ObjectKey, request: &Request<RequestBody>) -> WebResponse {
        let after = query_number(request, "after").map(ObjectVersion);
        let wait = Duration::from_millis(query_number(request, "wait_ms").unwrap_or(0));
        if let Some(after) = after {
            self.wait_for_change(key, after, wait).await;
            if after != ObjectVersion(0) && self.0.objects.borrow().version_of(key) == after {
                return empty_response(StatusCode::NOT_MODIFIED);
            }
        }
        match self.0.objects.borrow().get(key) {
            Some(object) => json_response(StatusCode::OK, &ObjectWire::from(object.clone())),
            None => text_response(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    async fn wait_for_change(&self, key: &ObjectKey, after: ObjectVersion, wait: Duration) {
        let watch = {
            let mut objects = self.0.objects.borrow_mut();
            if objects.version_of(key) != after {
                return;
            }
            objects.watch(key)
        };
        // The caller checks whether the object changed, so a timeout needs no handling.
        let _ = monoio::time::timeout(wait, watch).await;
    }

    async fn put(&self, key: ObjectKey, request: Request<RequestBody>) -> WebResponse {
        let change: ChangeWire = match read_json(request.into_body()).await {
            Ok(change) => change,
            Err(response) => return response,
        };
        if self.consume_fault(|faults| &mut faults.lose_requests) {
            return aborted_response().await;
        }
        let outcome = self.0.objects.borrow_mut().update(ObjectChange {
            key,
            expected: change.expected,
            value: Arc::from(change.value),
        });
        if self.consume_fault(|faults| &mut faults.lose_replies) {
            return aborted_response().await;
        }
        match outcome {
            UpdateOutcome::Applied(version) => {
                json_response(StatusCode::OK, &VersionWire { version })
            }
            UpdateOutcome::TooLarge => {
                text_response(StatusCode::PAYLOAD_TOO_LARGE, "the value is too large")
            }
            _ => text_response(StatusCode::CONFLICT, "the object has another version"),
        }
    }

    fn delete(&self, key: &ObjectKey, request: &Request<RequestBody>) -> WebResponse {
        let expected = ObjectVersion(query_number(request, "expected").unwrap_or(0));
        if self.0.objects.borrow_mut().remove(key, expected) {
            no_content()
        } else {
            text_response(StatusCode::CONFLICT, "the object has another version")
        }
    }

    fn consume_fault(&self, field: impl Fn(&mut PlatformFaults) -> &mut u32) -> bool {
        let mut faults = self.0.faults.get();
        let remaining = field(&mut faults);
        let is_injected = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        self.0.faults.set(faults);
        is_injected
    }
}

fn no_content() -> WebResponse {
    empty_response(StatusCode::NO_CONTENT)
}

fn empty_response(status: StatusCode) -> WebResponse {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}

/// Response with an aborted body, so that the connection closes before its end.
async fn aborted_response() -> WebResponse {
    let (sender, body) = body_channel();
    sender.abort().await;
    Response::new(body)
}

impl WebService for PlatformService {
    fn answer(&self, request: Request<RequestBody>) -> LocalBoxFuture<'static, WebResponse> {
        let this = self.clone();
        Box::pin(async move { this.route(request).await })
    }
}
