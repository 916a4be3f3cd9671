//! One deployment: store, servers and nodes.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use crate::fleet::{Fleet, Handler, Server};
use crate::http::{Got, Req, call};
use crate::json::Json;
use crate::node::Node;
use crate::proxy::{self, Silences};
use crate::record::Record;
use crate::store::Store;

pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

pub type Outcome = Result<Verdict, String>;

pub const ZONES: [&str; 3] = ["z1", "z2", "z3"];
/// Service of plain servers, and of engines.
pub const PLAIN: &str = "orders-app";
pub const ENGINES: &str = "text-lm";
pub const KEY: &str = "key-depot-1";

pub struct World {
    pub record: Record,
    pub store: Store,
    pub servers: Fleet,
    pub nodes: Vec<Node>,
    folder: PathBuf,
    next_id: AtomicU64,
}

/// Routes like those of the users' sites: orders (once only), status look-ups (may be repeated),
/// and streams of engines that may be resumed.
const CONFIG: &str = r#"{"version":VERSION,"routes":[
{"name":"orders","host":"a.example","pathPrefix":"/orders/","type":"non_idempotent","service":"orders-app","timeoutMs":2000,"targetLatencyMs":300,"attempts":1,"priority":2},
{"name":"status","host":"a.example","pathPrefix":"/status/","type":"idempotent","service":"orders-app","timeoutMs":2000,"targetLatencyMs":300,"attempts":2,"priority":2},
{"name":"text","host":"a.example","pathPrefix":"/text/","type":"streaming","service":"text-lm","timeoutMs":6000,"targetLatencyMs":300,"targetGapMs":200,"attempts":2,"priority":1,"resumable":true,"sticky":true}],
"services":[{"name":"orders-app","healthPath":"/health","maxConnections":100},
{"name":"text-lm","healthPath":"/health","maxConnections":268,"engine":{"slots":17,"loadsPerS":5.0,"loads_at_once":7,"formMs":300,"models":[{"name":"m0","size":2,"share":1.0,"pace":1.0,"loadS":12,"warmS":1.1}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":10000,"idleTimeoutMs":30000},
"tenants":[{"name":"depot","apiKeys":["DEPOT-KEY"]},{"name":"venue","apiKeys":["key-venue-1"]}]}"#;

/// One version of the configuration, with the key of the tenant `depot`.
pub fn config(version: u64, key: &str) -> Json {
    let text = CONFIG.replace("VERSION", &version.to_string());
    let text = text.replace("DEPOT-KEY", key);
    Json::parse(&text).expect("the configuration is JSON")
}

impl World {
    /// Starts a store, `plain` plain servers, `engines` engines in fabric domains of ten and `nodes`
    /// nodes, and waits until the nodes are ready.
    pub fn start(
        record: &Record,
        (plain, engines, nodes): (usize, usize, usize),
        plain_handler: Handler,
        engine_handler: Handler,
    ) -> Result<Self, String> {
        // Loopback addresses of its own for each world.
        static STARTED: AtomicU32 = AtomicU32::new(0);
        let world = STARTED.fetch_add(1, Ordering::SeqCst);
        let pid = std::process::id();
        let (b, c) = (64 + pid % 64 + 64 * (world % 2), pid / 64 % 250);
        let ip = |d: usize| format!("127.{b}.{c}.{d}");
        let folder = std::env::temp_dir().join(format!("bronzerun-review-{pid}-{world}"));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let silences = Silences::default();
        let store = Store::new(&silences);
        store.put("config", "main", config(7, KEY));
        let servers = Fleet::default();
        for index in 0..plain {
            let id = format!("i-app-{}", index + 1);
            let zone = ZONES[index % 3];
            Server::start(
                (&id, PLAIN, zone, None),
                (&ip(100 + index), 6),
                (&store, record, &servers),
                plain_handler.clone(),
            )
            .map_err(|error| error.to_string())?;
        }
        for index in 0..engines {
            let id = format!("i-lm-{}", index + 1);
            let zone = ZONES[index % 3];
            Server::start(
                (&id, ENGINES, zone, Some((index / 10) as u32)),
                (&ip(150 + index), 17),
                (&store, record, &servers),
                engine_handler.clone(),
            )
            .map_err(|error| error.to_string())?;
        }
        let mut world = Self {
            record: record.clone(),
            store,
            servers,
            nodes: Vec::new(),
            folder: folder.clone(),
            next_id: AtomicU64::new(1),
        };
        for index in 0..nodes {
            let name = format!("edge-{}", index + 1);
            let fail = |error: std::io::Error| format!("{name}: {error}");
            let store = world.store.listen(&ip(1), &name).map_err(fail)?;
            let peers = format!("{}:18340", ip(10 + index)).parse().unwrap();
            let proxy = proxy::start(&ip(50 + index), peers, &silences).map_err(fail)?;
            world.store.set_proxy(&name, proxy);
            let node = Node::start(&folder, (&name, &ip(10 + index), ZONES[index % 3]), store);
            world.nodes.push(node.map_err(fail)?);
        }
        for node in &world.nodes {
            if !node.wait_ready(Duration::from_secs(15)) {
                return Err(format!("{} is not ready", node.name));
            }
        }
        record.line("all nodes are ready");
        Ok(world)
    }

    /// Request of a client, with an id of its own.
    pub fn request(&self, method: &str, target: &str, deadline_ms: u64, body: &str) -> Req {
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        let header = |name: &str, value: String| (name.to_owned(), value);
        Req {
            method: method.to_owned(),
            target: target.to_owned(),
            headers: vec![
                header("Host", "a.example".to_owned()),
                header("X-Bronzerun-Request-Id", format!("{id:016x}")),
                header("X-Bronzerun-Deadline-Ms", deadline_ms.to_string()),
                header("Api-Key", KEY.to_owned()),
            ],
            body: body.as_bytes().to_vec(),
        }
    }

    /// Sends a request to a node and records what came of it.
    pub fn send(&self, node: usize, req: &Req, patience: Duration) -> Got {
        let id = &req.headers[1].1;
        let name = &self.nodes[node].name;
        self.record.line(&format!(
            "client sends {id} {} {} to {name}",
            req.method, req.target
        ));
        let got = call(self.nodes[node].front, req, patience);
        self.record
            .line(&format!("client got {id} from {name}: {}", got.short()));
        got
    }

    /// Sends look-ups until one is served by each node.
    pub fn wait_served(&self, make: impl Fn(&Self) -> Req) -> Result<(), String> {
        let end = std::time::Instant::now() + Duration::from_secs(20);
        for node in 0..self.nodes.len() {
            loop {
                let got = self.send(node, &make(self), Duration::from_secs(3));
                if got.status == Some(200) && got.is_whole {
                    break;
                }
                if std::time::Instant::now() > end {
                    return Err(format!("{} serves nothing", self.nodes[node].name));
                }
                std::thread::sleep(Duration::from_millis(200));
            }
        }
        Ok(())
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.nodes.clear();
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
