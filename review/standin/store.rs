//! Stand-in of the platform's store.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Req, read_request, respond};
use crate::json::{Json, quote};
use crate::proxy::Silences;

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Contents {
    objects: BTreeMap<(String, String), (u64, Json)>,
    revision: u64,
    /// Changes: revision, kind, name, spec, whether it was removed.
    history: Vec<(u64, String, String, Json, bool)>,
    /// Addresses of the proxies in front of the nodes, by node.
    proxies: BTreeMap<String, String>,
}

/// Prefix of the names of the nodes' entries.
const NODE_PREFIX: &str = "node.";

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<Contents>, Condvar)>,
    /// Open connections to it can go silent.
    pub silences: Silences,
}

impl Store {
    pub fn new(silences: &Silences) -> Self {
        let contents = Contents {
            revision: 10,
            ..Contents::default()
        };
        let shared = Arc::new((Mutex::new(contents), Condvar::new()));
        Self {
            shared,
            silences: silences.clone(),
        }
    }

    /// Makes the other nodes reach a node by way of a proxy.
    pub fn set_proxy(&self, node: &str, proxy: SocketAddr) {
        let mut contents = self.shared.0.lock().unwrap();
        contents.proxies.insert(node.to_owned(), proxy.to_string());
    }

    /// Serves one node; returns the address.
    pub fn listen(&self, ip: &str, reader: &str) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let (store, reader) = (self.clone(), reader.to_owned());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, reader) = (store.clone(), reader.clone());
                std::thread::spawn(move || store.serve(stream, &reader));
            }
        });
        Ok(address)
    }

    /// Writes an object as the operator or a server does.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        let (contents, changed) = &*self.shared;
        contents.lock().unwrap().put(kind, name, spec);
        changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream, node: &str) {
        let _ = stream.set_nodelay(true);
        let born = self.silences.count();
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(Some(req)) = read_request(&mut reader) {
            std::thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&req, node);
            while self.silences.count() != born {
                std::thread::sleep(Duration::from_secs(3_600));
            }
            if respond(
                &mut stream,
                status,
                "content-type: application/json\r\n",
                body.as_bytes(),
            )
            .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, req: &Req, node: &str) -> (&'static str, String) {
        let mut words = req.path().split('/').skip(2);
        let kind = words.next().unwrap_or_default().to_owned();
        let name = words.next().map(str::to_owned);
        let (contents, changed) = &*self.shared;
        if req.method != "GET" {
            let body = String::from_utf8_lossy(&req.body);
            let Some(body) = Json::parse(&body) else {
                return ("400 Bad Request", "{}".to_owned());
            };
            let answer = contents
                .lock()
                .unwrap()
                .write(&req.method, &kind, name, &body);
            changed.notify_all();
            return answer;
        }
        let mut contents = contents.lock().unwrap();
        let Some(since) = req.query("watch") else {
            return ("200 OK", contents.list(&kind, node));
        };
        let wait = Duration::from_millis(req.query("waitMs").unwrap_or(0));
        let end = Instant::now() + wait;
        loop {
            let (count, text) = contents.changes(&kind, since, node);
            let left = end.saturating_duration_since(Instant::now());
            if count > 0 || left.is_zero() {
                return ("200 OK", text);
            }
            contents = changed.wait_timeout(contents, left).unwrap().0;
        }
    }
}

fn object(name: &str, revision: u64, spec: &Json) -> String {
    let name = quote(name);
    format!("{{\"metadata\":{{\"name\":{name},\"revision\":{revision}}},\"spec\":{spec}}}")
}

impl Contents {
    fn put(&mut self, kind: &str, name: &str, spec: Json) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        if let Some((revision, current)) = self.objects.get(&key) {
            if *current == spec {
                return *revision;
            }
        }
        self.revision += 1;
        let revision = self.revision;
        self.objects.insert(key, (revision, spec.clone()));
        self.history
            .push((revision, kind.to_owned(), name.to_owned(), spec, false));
        revision
    }

    /// Object as one node sees it: with the proxies' addresses in the entries of the others.
    fn shown(&self, name: &str, revision: u64, spec: &Json, reader: &str) -> String {
        let node = name
            .strip_prefix(NODE_PREFIX)
            .filter(|node| *node != reader);
        let proxy = node.and_then(|node| self.proxies.get(node));
        let (Some(proxy), Json::Obj(fields)) = (proxy, spec) else {
            return object(name, revision, spec);
        };
        let fields = fields.iter().map(|(key, value)| match key.as_str() {
            "address" => (key.clone(), Json::Str(proxy.clone())),
            _ => (key.clone(), value.clone()),
        });
        object(name, revision, &Json::Obj(fields.collect()))
    }

    fn list(&self, kind: &str, reader: &str) -> String {
        let items = self.objects.iter().filter(|((other, _), _)| other == kind);
        let items: Vec<_> = items
            .map(|((_, name), (revision, spec))| self.shown(name, *revision, spec, reader))
            .collect();
        let (items, revision) = (items.join(","), self.revision);
        format!("{{\"items\":[{items}],\"hasMore\":false,\"storeRevision\":{revision}}}")
    }

    fn changes(&self, kind: &str, since: u64, reader: &str) -> (usize, String) {
        let changes = self.history.iter();
        let changes = changes.filter(|(revision, other, ..)| *revision > since && other == kind);
        let events: Vec<_> = changes
            .map(|(revision, _, name, spec, removed)| {
                let object = self.shown(name, *revision, spec, reader);
                format!("{{\"object\":{object},\"removed\":{removed}}}")
            })
            .collect();
        let (text, revision) = (events.join(","), self.revision);
        let text = format!("{{\"events\":[{text}],\"storeRevision\":{revision}}}");
        (events.len(), text)
    }

    fn write(
        &mut self,
        method: &str,
        kind: &str,
        name: Option<String>,
        body: &Json,
    ) -> (&'static str, String) {
        let metadata = body.get("metadata").cloned().unwrap_or(Json::Null);
        let name = name.unwrap_or_else(|| metadata.text("name"));
        let expected = metadata.number("revision");
        let key = (kind.to_owned(), name.clone());
        let current = self.objects.get(&key).cloned();
        match (method, &current) {
            ("POST", Some((revision, spec))) => {
                return ("409 Conflict", object(&name, *revision, spec));
            }
            ("PUT", None) => return ("404 Not Found", "{}".to_owned()),
            ("PUT", Some((revision, spec))) if expected.is_some_and(|e| e != *revision) => {
                return ("409 Conflict", object(&name, *revision, spec));
            }
            _ => {}
        }
        let spec = body.get("spec").cloned().unwrap_or(Json::Null);
        let revision = self.put(kind, &name, spec.clone());
        let status = if method == "POST" {
            "201 Created"
        } else {
            "200 OK"
        };
        (status, object(&name, revision, &spec))
    }
}
