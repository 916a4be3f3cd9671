//! Runs the edge node of the users' platform as a process, against a store and
//! a server emulated by the test.

mod endless;
mod evacuations;
mod faulty;
mod names;
mod passing;
mod promises;
mod raw;
mod refused;
mod silent;
mod statuses;
mod stopping;

use std::cell::RefCell;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use emulator::pages::{list_page, objects_response};
use emulator::web::{query_number, query_value};
use futures_util::future::LocalBoxFuture;
use http::{HeaderValue, Request, Response};
use net::web::{WebLimits, WebResponse, WebService, bind, full_body, serve};
use net::{block_on, drain_channel};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

/// Slots that each server is listed with. A node sends a plain server up to four requests a slot,
/// so that this is room for all requests of a test at once.
const SERVER_SLOTS: u32 = 8;
/// Longest wait for a condition.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Serves HTTP on a separate thread, which ends with the test process; returns its address.
fn spawn_service<S: WebService + 'static>(make: impl FnOnce() -> S + Send + 'static) -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        block_on(async move {
            let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let listener = bind(any).unwrap();
            sender.send(listener.local_addr().unwrap()).unwrap();
            let (_drain_signal, watch) = drain_channel();
            serve(listener, Rc::new(make()), WebLimits::default(), watch).await;
        })
    });
    receiver.recv().unwrap()
}

/// Names in the configuration, the servers' entries and the settings.
#[derive(Clone)]
struct PlatformNames {
    tenant: &'static str,
    service: &'static str,
    zone: &'static str,
}

impl Default for PlatformNames {
    fn default() -> Self {
        Self {
            tenant: "depot",
            service: "app",
            zone: "z1",
        }
    }
}

/// Store that holds a configuration and some servers and accepts every write.
struct Store {
    names: PlatformNames,
    servers: Vec<SocketAddr>,
    revision: RefCell<u64>,
    /// Objects that no node has written.
    shared: Vec<Value>,
    /// Changes of whether the servers' failure domain is evacuated; it is after an odd number.
    evacuations: Arc<AtomicU64>,
}

impl Store {
    fn new(servers: Vec<SocketAddr>, shared: Vec<Value>) -> Self {
        Self {
            names: PlatformNames::default(),
            servers,
            revision: RefCell::new(10),
            shared,
            evacuations: Arc::default(),
        }
    }

    fn config_object(&self) -> Value {
        json!({"metadata": {"name": "main", "revision": 2}, "spec": {
            "version": 7,
            "routes": [{"name": "orders", "host": "a.example", "pathPrefix": "/o/", "type": "non_idempotent",
                "timeoutMs": 2000, "targetLatencyMs": 300, "attempts": 1, "service": self.names.service},
                {"name": "streams", "host": "a.example", "pathPrefix": "/s/", "type": "streaming",
                "timeoutMs": 2000, "targetLatencyMs": 300, "attempts": 1, "resumable": false, "service": self.names.service},
                {"name": "resumed", "host": "a.example", "pathPrefix": "/r/", "type": "streaming",
                "timeoutMs": 2000, "targetLatencyMs": 300, "attempts": 2, "resumable": true, "service": self.names.service},
                {"name": "long", "host": "a.example", "pathPrefix": "/l/", "type": "streaming",
                "timeoutMs": 20000, "targetLatencyMs": 300, "attempts": 2, "resumable": true, "service": self.names.service},
                {"name": "repeated", "host": "a.example", "pathPrefix": "/i/", "type": "idempotent",
                "timeoutMs": 20000, "targetLatencyMs": 300, "attempts": 2, "service": self.names.service}],
            "services": [{"name": self.names.service, "healthPath": "/health", "maxConnections": 100}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": self.names.tenant, "apiKeys": ["key-1"]}]}})
    }

    /// Change of the evacuations that brings any node up to date.
    fn evacuation_events(&self) -> Value {
        let is_removed = self.evacuations.load(Ordering::Relaxed).is_multiple_of(2);
        let object = json!({"metadata": {"name": self.names.zone, "revision": 1}, "spec": {}});
        json!([{"removed": is_removed, "object": object}])
    }

    fn server_objects(&self) -> Vec<Value> {
        let servers = self.servers.iter().enumerate();
        let objects = servers.map(|(index, address)| {
            let name = format!("i-{}", index + 1);
            json!({"metadata": {"name": name, "revision": 3}, "spec": {
                "service": self.names.service, "address": address.to_string(), "zone": self.names.zone, "version": "v1", "slots": SERVER_SLOTS,
                "state": "ready", "born": 5, "sequence": 0}})
        });
        objects.collect()
    }
}

impl WebService for Store {
    fn answer(
        &self,
        request: Request<net::web::RequestBody>,
    ) -> LocalBoxFuture<'static, WebResponse> {
        let path = request.uri().path().to_owned();
        let is_watch = query_value(&request, "watch").is_some();
        let after = query_value(&request, "after");
        let revision = {
            let mut revision = self.revision.borrow_mut();
            *revision += u64::from(request.method() != http::Method::GET);
            *revision + self.evacuations.load(Ordering::Relaxed)
        };
        let body = match path.as_str() {
            "/objects/evacuations" if is_watch => {
                let is_current = query_number(&request, "watch") == Some(revision);
                let events = if is_current {
                    json!([])
                } else {
                    self.evacuation_events()
                };
                json!({"events": events, "storeRevision": revision}).to_string()
            }
            "/objects/evacuations" => {
                let is_evacuated = !self.evacuations.load(Ordering::Relaxed).is_multiple_of(2);
                let object =
                    json!({"metadata": {"name": self.names.zone, "revision": 1}, "spec": {}});
                let items = if is_evacuated {
                    vec![object]
                } else {
                    Vec::new()
                };
                list(&items, after.as_deref(), revision)
            }
            _ if is_watch => json!({"events": [], "storeRevision": revision}).to_string(),
            "/objects/config" => list(&[self.config_object()], after.as_deref(), revision),
            "/objects/servers" => list(&self.server_objects(), after.as_deref(), revision),
            _ if request.method() == http::Method::GET => {
                list(&self.shared, after.as_deref(), revision)
            }
            _ => json!({"metadata": {"name": "any", "revision": revision}}).to_string(),
        };
        Box::pin(async move {
            if is_watch {
                monoio::time::sleep(Duration::from_millis(300)).await;
            }
            objects_response(&body)
        })
    }
}

/// Page of a list of objects.
fn list(objects: &[Value], after: Option<&str>, revision: u64) -> String {
    let objects = objects.iter().map(|object| {
        let name = object["metadata"]["name"].as_str().unwrap();
        (name.to_owned(), object.to_string())
    });
    let mut objects: Vec<_> = objects.collect();
    objects.sort();
    list_page(objects, after, revision)
}

/// Server that returns the path and some headers of the request as JSON; on a path of streams it
/// sends one event, and the beginning of another one if the path asks for it.
struct Server;

impl WebService for Server {
    fn answer(
        &self,
        request: Request<net::web::RequestBody>,
    ) -> LocalBoxFuture<'static, WebResponse> {
        let header = |name: &str| {
            let value = request.headers().get(name);
            value.map(|value| value.to_str().unwrap().to_owned())
        };
        let received = json!({
            "path": request.uri().to_string(), "tenant": header("x-bronzerun-tenant"),
            "key": header("api-key"), "expected": header("x-bronzerun-expect-instance"),
        });
        let id = header("x-bronzerun-request-id").unwrap_or_default();
        let body = match request.uri().path() {
            "/s/whole" => "id: 1\ndata: a\n\n".to_owned(),
            "/s/partial" => "id: 1\ndata: a\n\nid: 2\ndata: b\n".to_owned(),
            _ => received.to_string(),
        };
        Box::pin(async move {
            let mut response = Response::new(full_body(body));
            let headers = response.headers_mut();
            headers.insert(
                "x-bronzerun-response-seal",
                HeaderValue::from_static("seal-1"),
            );
            headers.insert(
                "x-bronzerun-request-id",
                HeaderValue::from_str(&id).unwrap(),
            );
            response
        })
    }
}

/// Edge node process, killed on drop.
struct Node {
    child: Child,
    lines: mpsc::Receiver<Value>,
    ingress: SocketAddr,
    ready: SocketAddr,
    settings_path: std::path::PathBuf,
    settings_value: Value,
    evacuations: Arc<AtomicU64>,
}

impl Drop for Node {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings_path);
    }
}

impl Node {
    fn start(name: &str) -> Self {
        Self::start_before(name, vec![spawn_service(|| Server)])
    }

    /// Starts a node before these servers.
    fn start_before(name: &str, servers: Vec<SocketAddr>) -> Self {
        Self::start_at(name, servers, Ipv4Addr::LOCALHOST, (0, 0))
    }

    /// Starts a node before these servers, with this address and these ports for other nodes.
    fn start_at(name: &str, servers: Vec<SocketAddr>, ip: Ipv4Addr, ports: (u16, u16)) -> Self {
        let store = Store::new(servers, Vec::new());
        Self::start_with(name, store, ip, ports)
    }

    /// Starts a node that finds these shared objects in the store.
    fn start_beside(
        name: &str,
        servers: Vec<SocketAddr>,
        ip: Ipv4Addr,
        ports: (u16, u16),
        shared: Vec<Value>,
    ) -> Self {
        Self::start_with(name, Store::new(servers, shared), ip, ports)
    }

    /// Starts a node before this store.
    fn start_with(name: &str, store: Store, ip: Ipv4Addr, ports: (u16, u16)) -> Self {
        let (evacuations, zone) = (store.evacuations.clone(), store.names.zone);
        let store = spawn_service(move || store);
        let settings_value = json!({
            "node": name, "ip": ip, "zone": zone, "internalPorts": ports, "bootstrap": true,
            "listen": {"front": "127.0.0.1:0", "ready": "127.0.0.1:0"},
            "limits": {"cpuShare": 0.25},
            "bounds": {"graceS": 8, "retryBudgetRatio": 0.2, "retryBudgetSlack": 100, "budgetWindowS": 10},
            "provider": {"address": store.to_string()},
        });
        let file = format!("bronzerun-{name}-{}.json", std::process::id());
        let settings_path = std::env::temp_dir().join(file);
        std::fs::write(&settings_path, settings_value.to_string()).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_bronzerun-edge"))
            .env("BRONZERUN_SETTINGS", &settings_path)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let output = BufReader::new(child.stdout.take().unwrap());
        let (sender, lines) = mpsc::channel();
        std::thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                if sender.send(serde_json::from_str(&line).unwrap()).is_err() {
                    return;
                }
            }
        });
        let started = wait_line(&lines, "started");
        let address = |field: &str| started[field].as_str().unwrap().parse().unwrap();
        let node = Self {
            ingress: address("front"),
            ready: address("ready"),
            child,
            lines,
            settings_path,
            settings_value,
            evacuations,
        };
        node.wait_ready(200);
        node
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).unwrap();
    }

    fn wait_ready(&self, status: u16) {
        let end = Instant::now() + CONDITION_TIMEOUT;
        while get(&format!("http://{}/readyz", self.ready), &[]).0 != status {
            assert!(Instant::now() < end, "/readyz never returned {status}");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn request(&self, path: &str, key: &str) -> (u16, String, Option<String>) {
        self.request_as("r-1", path, key)
    }

    fn request_as(&self, id: &str, path: &str, key: &str) -> (u16, String, Option<String>) {
        request_at(self.ingress, id, path, key)
    }
}

fn request_at(
    ingress: SocketAddr,
    id: &str,
    path: &str,
    key: &str,
) -> (u16, String, Option<String>) {
    let url = format!("http://{ingress}{path}");
    let headers = [
        ("host", "a.example"),
        ("api-key", key),
        ("x-bronzerun-tenant", "forged"),
        ("x-bronzerun-request-id", id),
        ("x-bronzerun-deadline-ms", "4000"),
    ];
    get(&url, &headers)
}

fn wait_line(lines: &mpsc::Receiver<Value>, message: &str) -> Value {
    let end = Instant::now() + CONDITION_TIMEOUT;
    loop {
        let remaining = end.saturating_duration_since(Instant::now());
        let line = lines.recv_timeout(remaining);
        let line = line.unwrap_or_else(|_| panic!("message '{message}' was not logged"));
        if line["message"] == message {
            return line;
        }
    }
}

fn get(url: &str, headers: &[(&str, &str)]) -> (u16, String, Option<String>) {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .build();
    let agent: ureq::Agent = config.into();
    let mut request = agent.get(url);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    match request.call() {
        Ok(mut response) => {
            let seal = response.headers().get("x-bronzerun-response-seal");
            let seal = seal.map(|seal| seal.to_str().unwrap().to_owned());
            let status = response.status().as_u16();
            match response.body_mut().read_to_string() {
                Ok(body) => (status, body, seal),
                Err(_) => (0, String::new(), seal),
            }
        }
        Err(_) => (0, String::new(), None),
    }
}

#[test]
fn a_request_is_forwarded_unchanged_with_its_tenant_and_without_its_key() {
    let node = Node::start("through");
    let (status, body, seal) = node.request("/o/item?q=1", "key-1");
    assert_eq!((status, seal.as_deref()), (200, Some("seal-1")), "{body}");
    let received: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(received["path"], "/o/item?q=1");
    assert_eq!(received["tenant"], "depot");
    assert_eq!(received["key"], Value::Null);
    assert_eq!(received["expected"], "i-1");
    assert_eq!(node.request("/o/item", "key-2").0, 401);
    assert_eq!(node.request("/elsewhere/", "key-1").0, 404);
}

#[test]
fn a_stream_that_ends_inside_an_event_is_not_complete_for_the_client() {
    let node = Node::start("streams");
    let (status, body, _) = node.request("/s/whole", "key-1");
    assert_eq!((status, body.as_str()), (200, "id: 1\ndata: a\n\n"));
    let (status, body, _) = node.request("/s/partial", "key-1");
    assert_eq!(status, 0, "a complete response: {body:?}");
}

#[test]
fn a_stopped_node_turns_unready_at_once_drains_and_exits() {
    let mut node = Node::start("stopped");
    node.signal(Signal::TERM);
    wait_line(&node.lines, "stopping: no longer ready");
    node.wait_ready(503);
    assert_eq!(node.request("/o/late", "key-1").0, 200);
    let end = Instant::now() + CONDITION_TIMEOUT;
    let status = loop {
        if let Some(status) = node.child.try_wait().unwrap() {
            break status;
        }
        assert!(Instant::now() < end, "the node did not exit");
        std::thread::sleep(POLL_INTERVAL);
    };
    assert!(status.success());
}

#[test]
fn changed_settings_are_reloaded_on_sighup_and_invalid_ones_are_ignored() {
    let mut node = Node::start("reloaded");
    std::fs::write(&node.settings_path, "{").unwrap();
    node.signal(Signal::HUP);
    wait_line(&node.lines, "settings reload requested");
    node.settings_value["bounds"]["graceS"] = json!(4);
    std::fs::write(&node.settings_path, node.settings_value.to_string()).unwrap();
    node.signal(Signal::HUP);
    wait_line(&node.lines, "settings changed");
    assert_eq!(node.request("/o/after", "key-1").0, 200);
}
