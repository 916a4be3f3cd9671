//! The node of the users' platform as a process, against a store and a server
//! that this test plays.

use std::cell::RefCell;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use futures_util::future::LocalBoxFuture;
use http::{HeaderValue, Request, Response, StatusCode};
use net::web::{WebLimits, WebResponse, WebService, bind, full_body, serve, text_response};
use net::{block_on, drain_channel};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

/// Time in which anything that a test waits for must happen.
const PATIENCE: Duration = Duration::from_secs(60);
/// Pause between two looks at a condition.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// Runs a service on a thread of its own, which ends with the test's process.
fn play<S: WebService + 'static>(make: impl FnOnce() -> S + Send + 'static) -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        block_on(async move {
            let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let listener = bind(any).unwrap();
            sender.send(listener.local_addr().unwrap()).unwrap();
            let (_switch, watch) = drain_channel();
            serve(listener, Rc::new(make()), WebLimits::default(), watch).await;
        })
    });
    receiver.recv().unwrap()
}

/// Store with a configuration and one server in it.
struct Store {
    server: SocketAddr,
    revision: Rc<RefCell<u64>>,
}

impl Store {
    fn config(&self) -> Value {
        json!({"metadata": {"name": "main", "revision": 2}, "spec": {
            "version": 7,
            "routes": [{"name": "orders", "host": "a.example", "pathPrefix": "/o/", "type": "non_idempotent",
                "timeoutMs": 2000, "targetLatencyMs": 300, "attempts": 1, "service": "app"}],
            "services": [{"name": "app", "healthPath": "/health", "maxConnections": 100}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "depot", "apiKeys": ["key-1"]}]}})
    }

    fn listed(&self) -> Value {
        json!({"metadata": {"name": "i-1", "revision": 3}, "spec": {
            "service": "app", "address": self.server.to_string(), "zone": "z1", "version": "v1", "slots": 6,
            "state": "ready", "born": 5, "sequence": 0}})
    }
}

impl WebService for Store {
    fn answer(
        &self,
        request: Request<hyper::body::Incoming>,
    ) -> LocalBoxFuture<'static, WebResponse> {
        let path = request.uri().path().to_owned();
        let is_watch = request
            .uri()
            .query()
            .is_some_and(|query| query.contains("watch="));
        let revision = {
            let mut revision = self.revision.borrow_mut();
            *revision += u64::from(request.method() != http::Method::GET);
            *revision
        };
        let body = match path.as_str() {
            _ if is_watch => json!({"events": [], "storeRevision": revision}),
            "/objects/config" => {
                json!({"items": [self.config()], "hasMore": false, "storeRevision": revision})
            }
            "/objects/servers" => {
                json!({"items": [self.listed()], "hasMore": false, "storeRevision": revision})
            }
            _ if request.method() == http::Method::GET => {
                json!({"items": [], "hasMore": false, "storeRevision": revision})
            }
            _ => json!({"metadata": {"name": "any", "revision": revision}}),
        };
        Box::pin(async move {
            if is_watch {
                monoio::time::sleep(Duration::from_millis(300)).await;
            }
            text_response(StatusCode::OK, &body.to_string())
        })
    }
}

/// Server that says what it was sent.
struct Server;

impl WebService for Server {
    fn answer(
        &self,
        request: Request<hyper::body::Incoming>,
    ) -> LocalBoxFuture<'static, WebResponse> {
        let header = |name: &str| {
            let value = request.headers().get(name);
            value.map(|value| value.to_str().unwrap().to_owned())
        };
        let seen = json!({
            "path": request.uri().to_string(), "tenant": header("x-bronzerun-tenant"),
            "key": header("api-key"), "expected": header("x-bronzerun-expect-instance"),
        });
        let id = header("x-bronzerun-request-id").unwrap_or_default();
        Box::pin(async move {
            let mut reply = Response::new(full_body(seen.to_string()));
            let headers = reply.headers_mut();
            headers.insert(
                "x-bronzerun-response-seal",
                HeaderValue::from_static("seal-1"),
            );
            headers.insert(
                "x-bronzerun-request-id",
                HeaderValue::from_str(&id).unwrap(),
            );
            reply
        })
    }
}

/// Node as a process; it is ended with the value.
struct Node {
    child: Child,
    lines: mpsc::Receiver<Value>,
    front: SocketAddr,
    ready: SocketAddr,
    settings: std::path::PathBuf,
    text: Value,
}

impl Drop for Node {
    fn drop(&mut self) {
        // It may have ended by itself, as most tests ask it to.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

impl Node {
    fn start(name: &str) -> Self {
        let server = play(|| Server);
        let store = play(move || Store {
            server,
            revision: Rc::new(RefCell::new(10)),
        });
        let text = json!({
            "node": name, "ip": "127.0.0.1", "zone": "z1", "internalPorts": [0, 0], "bootstrap": true,
            "listen": {"front": "127.0.0.1:0", "ready": "127.0.0.1:0"},
            "limits": {"cpuShare": 0.25},
            "bounds": {"graceS": 8, "retryBudgetRatio": 0.2, "retryBudgetSlack": 100, "budgetWindowS": 10},
            "provider": {"address": store.to_string()},
        });
        let file = format!("bronzerun-{name}-{}.json", std::process::id());
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text.to_string()).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_bronzerun-edge"))
            .env("BRONZERUN_SETTINGS", &settings)
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
            front: address("front"),
            ready: address("ready"),
            child,
            lines,
            settings,
            text,
        };
        node.wait_ready(200);
        node
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).unwrap();
    }

    fn wait_ready(&self, status: u16) {
        let end = Instant::now() + PATIENCE;
        while get(&format!("http://{}/readyz", self.ready), &[]).0 != status {
            assert!(
                Instant::now() < end,
                "never answered {status} when asked whether ready"
            );
            std::thread::sleep(LOOK_PERIOD);
        }
    }

    fn request(&self, path: &str, key: &str) -> (u16, String, Option<String>) {
        let url = format!("http://{}{path}", self.front);
        let headers = [
            ("host", "a.example"),
            ("api-key", key),
            ("x-bronzerun-tenant", "forged"),
            ("x-bronzerun-request-id", "r-1"),
            ("x-bronzerun-deadline-ms", "4000"),
        ];
        get(&url, &headers)
    }
}

fn wait_line(lines: &mpsc::Receiver<Value>, message: &str) -> Value {
    let end = Instant::now() + PATIENCE;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        let line = lines.recv_timeout(left);
        let line = line.unwrap_or_else(|_| panic!("no line '{message}' was logged"));
        if line["message"] == message {
            return line;
        }
    }
}

fn get(url: &str, headers: &[(&str, &str)]) -> (u16, String, Option<String>) {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build();
    let agent: ureq::Agent = config.into();
    let mut request = agent.get(url);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    match request.call() {
        Ok(mut reply) => {
            let seal = reply.headers().get("x-bronzerun-response-seal");
            let seal = seal.map(|seal| seal.to_str().unwrap().to_owned());
            let status = reply.status().as_u16();
            (status, reply.body_mut().read_to_string().unwrap(), seal)
        }
        Err(_) => (0, String::new(), None),
    }
}

#[test]
fn a_request_goes_through_untouched_with_its_tenant_and_without_its_key() {
    let node = Node::start("through");
    let (status, body, seal) = node.request("/o/item?q=1", "key-1");
    assert_eq!((status, seal.as_deref()), (200, Some("seal-1")), "{body}");
    let seen: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(seen["path"], "/o/item?q=1");
    assert_eq!(seen["tenant"], "depot");
    assert_eq!(seen["key"], Value::Null);
    assert_eq!(seen["expected"], "i-1");
    assert_eq!(node.request("/o/item", "key-2").0, 401);
    assert_eq!(node.request("/elsewhere/", "key-1").0, 404);
}

#[test]
fn a_node_that_is_stopped_is_unready_at_once_serves_on_and_ends_by_itself() {
    let mut node = Node::start("stopped");
    node.signal(Signal::TERM);
    wait_line(&node.lines, "stopping: no longer ready");
    node.wait_ready(503);
    assert_eq!(node.request("/o/late", "key-1").0, 200);
    let end = Instant::now() + PATIENCE;
    let status = loop {
        if let Some(status) = node.child.try_wait().unwrap() {
            break status;
        }
        assert!(Instant::now() < end, "it never ended");
        std::thread::sleep(LOOK_PERIOD);
    };
    assert!(status.success());
}

#[test]
fn changed_settings_are_read_on_a_signal_and_spoiled_ones_are_left_out() {
    let mut node = Node::start("reloaded");
    std::fs::write(&node.settings, "{").unwrap();
    node.signal(Signal::HUP);
    wait_line(&node.lines, "told to read the settings again");
    node.text["bounds"]["graceS"] = json!(4);
    std::fs::write(&node.settings, node.text.to_string()).unwrap();
    node.signal(Signal::HUP);
    wait_line(&node.lines, "the settings have changed");
    assert_eq!(node.request("/o/after", "key-1").0, 200);
}
