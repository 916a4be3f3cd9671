//! Stand-ins for the cases of the third review: the platform's store, plain servers and clients.
//! Only the standard library is used. See `claim.txt` of each case.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::{CommandExt, parent_id};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    /// Text of a number.
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Json {
        let bytes = text.as_bytes();
        let mut at = 0;
        parse_value(bytes, &mut at).unwrap_or(Json::Null)
    }
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }
    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }
    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            Json::Text(text) => text.parse().ok(),
            _ => None,
        }
    }
    pub fn dump(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }
    fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Json::Number(text) => out.push_str(text),
            Json::Text(text) => write_text(out, text),
            Json::List(items) => {
                out.push('[');
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    item.write(out);
                }
                out.push(']');
            }
            Json::Table(table) => {
                out.push('{');
                for (index, (key, value)) in table.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    write_text(out, key);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }
}

fn write_text(out: &mut String, text: &str) {
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => {
                let _ = write!(out, "\\u{:04x}", c as u32);
            }
            c => out.push(c),
        }
    }
    out.push('"');
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(table));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = parse_text(bytes, at)?;
                        skip_space(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        table.insert(key, parse_value(bytes, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => parse_text(bytes, at).map(Json::Text),
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while *at < bytes.len()
                && matches!(bytes[*at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')
            {
                *at += 1;
            }
            if start == *at {
                return None;
            }
            Some(Json::Number(
                String::from_utf8_lossy(&bytes[start..*at]).into_owned(),
            ))
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return Some(String::from_utf8_lossy(&out).into_owned());
            }
            b'\\' => {
                *at += 1;
                let c = *bytes.get(*at)?;
                *at += 1;
                match c {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        let c = char::from_u32(code).unwrap_or('?');
                        let mut buffer = [0; 4];
                        out.extend_from_slice(c.encode_utf8(&mut buffer).as_bytes());
                    }
                    c => out.push(c),
                }
            }
            c => {
                out.push(c);
                *at += 1;
            }
        }
    }
}

// ---------------------------------------------------------------- HTTP

pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads a message to its end. An error means that the connection ended before.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> std::io::Result<Message> {
    let line = |reader: &mut BufReader<TcpStream>| -> std::io::Result<String> {
        let mut text = String::new();
        if reader.read_line(&mut text)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        Ok(text.trim_end_matches(['\r', '\n']).to_owned())
    };
    let first = line(reader)?;
    let mut headers = Vec::new();
    loop {
        let text = line(reader)?;
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':').unwrap_or((&text, ""));
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    let mut message = Message {
        first,
        headers,
        body: Vec::new(),
    };
    if message
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"))
    {
        loop {
            let size = line(reader)?;
            let size = size.split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size.trim(), 16)
                .map_err(|_| std::io::Error::from(ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk);
            line(reader)?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(size) = message
        .header("content-length")
        .and_then(|text| text.parse().ok())
    {
        message.body = vec![0; size];
        reader.read_exact(&mut message.body)?;
    }
    Ok(message)
}

pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

// ---------------------------------------------------------------- record

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }
    pub fn note(&self, text: String) {
        let at = self.started.elapsed().as_secs_f64();
        self.lines.lock().unwrap().push(format!("{at:8.3} {text}"));
    }
    pub fn save(&self) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort();
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        if let Err(error) = std::fs::write(&path, lines.join("\n") + "\n") {
            eprintln!("{path}: {error}");
        }
    }
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Stored {
    revision: u64,
    spec: Json,
    status: Json,
}

#[derive(Clone)]
struct Change {
    revision: u64,
    kind: String,
    object: Json,
    removed: bool,
}

/// Most objects on a page of a list, and the size from which on it is full.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Default)]
struct StoreData {
    revision: u64,
    objects: BTreeMap<(String, String), Stored>,
    history: Vec<Change>,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    data: Arc<(Mutex<StoreData>, Condvar)>,
    pub calls: Arc<AtomicU64>,
    pub silent: Arc<AtomicBool>,
    pub record: Record,
    /// Addresses of the servers as one daemon sees them, by their own.
    seen: Arc<BTreeMap<String, String>>,
}

fn object_json(name: &str, stored: &Stored) -> Json {
    let metadata = BTreeMap::from([
        ("name".to_owned(), Json::Text(name.to_owned())),
        (
            "revision".to_owned(),
            Json::Number(stored.revision.to_string()),
        ),
        ("finalizers".to_owned(), Json::List(Vec::new())),
    ]);
    Json::Table(BTreeMap::from([
        ("metadata".to_owned(), Json::Table(metadata)),
        ("spec".to_owned(), stored.spec.clone()),
        ("status".to_owned(), stored.status.clone()),
    ]))
}

impl Store {
    pub fn start(
        address: SocketAddr,
        first_revision: u64,
        record: &Record,
    ) -> std::io::Result<Self> {
        let data = StoreData {
            revision: first_revision,
            ..StoreData::default()
        };
        let store = Self {
            data: Arc::new((Mutex::new(data), Condvar::new())),
            calls: Arc::default(),
            silent: Arc::default(),
            record: record.clone(),
            seen: Arc::default(),
        };
        store.listen(address)?;
        Ok(store)
    }

    fn listen(&self, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let this = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || this.serve(stream));
            }
        });
        Ok(())
    }

    /// Listens for one daemon, which reaches the servers at other addresses: these lead over the
    /// links that the case cuts.
    pub fn listen_for(
        &self,
        address: SocketAddr,
        seen: BTreeMap<String, String>,
    ) -> std::io::Result<()> {
        Self {
            seen: Arc::new(seen),
            ..self.clone()
        }
        .listen(address)
    }

    /// Writes as the operator or a server; returns the revision.
    pub fn put(&self, kind: &str, name: &str, spec: Json) -> u64 {
        let (lock, changed) = &*self.data;
        let mut data = lock.lock().unwrap();
        let revision = Self::apply(&mut data, kind, name, Some(spec), None);
        changed.notify_all();
        revision
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let (lock, changed) = &*self.data;
        let mut data = lock.lock().unwrap();
        Self::delete(&mut data, kind, name);
        changed.notify_all();
    }

    pub fn names(&self, kind: &str) -> Vec<String> {
        let data = self.data.0.lock().unwrap();
        data.objects
            .keys()
            .filter(|(other, _)| other == kind)
            .map(|(_, name)| name.clone())
            .collect()
    }

    fn apply(
        data: &mut StoreData,
        kind: &str,
        name: &str,
        spec: Option<Json>,
        status: Option<Json>,
    ) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        let current = data.objects.get(&key).cloned();
        let old = current.clone().unwrap_or(Stored {
            revision: 0,
            spec: Json::Null,
            status: Json::Null,
        });
        let mut new = Stored {
            revision: 0,
            spec: spec.unwrap_or(old.spec.clone()),
            status: status.unwrap_or(old.status.clone()),
        };
        if current.is_some() && new.spec == old.spec && new.status == old.status {
            return old.revision;
        }
        data.revision += 1;
        new.revision = data.revision;
        let object = object_json(name, &new);
        data.objects.insert(key, new);
        let revision = data.revision;
        data.history.push(Change {
            revision,
            kind: kind.to_owned(),
            object,
            removed: false,
        });
        revision
    }

    fn delete(data: &mut StoreData, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(mut stored) = data.objects.remove(&key) {
            data.revision += 1;
            stored.revision = data.revision;
            let object = object_json(name, &stored);
            let revision = data.revision;
            data.history.push(Change {
                revision,
                kind: kind.to_owned(),
                object,
                removed: true,
            });
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(call) = read_message(&mut reader) {
            self.calls.fetch_add(1, Ordering::Relaxed);
            thread::sleep(Duration::from_millis(4));
            if self.silent.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_secs(60));
                return;
            }
            let (status, mut body) = self.answer(&call);
            for (own, seen) in self.seen.iter() {
                body = body.replace(&format!("\"{own}\""), &format!("\"{seen}\""));
            }
            if write_answer(
                &mut writer,
                status,
                &[("Store-Era", "0".to_owned())],
                body.as_bytes(),
            )
            .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        let mut words = call.first.split(' ');
        let method = words.next().unwrap_or("");
        let target = words.next().unwrap_or("");
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let parts: Vec<String> = path.split('/').skip(2).map(decode).collect();
        let kind = parts.first().cloned().unwrap_or_default();
        let (lock, changed) = &*self.data;
        let mut data = lock.lock().unwrap();
        let body = Json::parse(&String::from_utf8_lossy(&call.body));
        if method == "GET" {
            if let Some(name) = parts.get(1) {
                return match data.objects.get(&(kind, name.clone())) {
                    Some(stored) => (200, object_json(name, stored).dump()),
                    None => (404, "{}".to_owned()),
                };
            }
            let Some(since) = query.get("watch").and_then(|text| text.parse::<u64>().ok()) else {
                let after = query.get("after").map(|text| decode(text));
                let mut rest = data.objects.iter().filter(|((other, name), _)| {
                    *other == kind && after.as_ref().is_none_or(|after| name > after)
                });
                let (mut items, mut size) = (Vec::new(), 0);
                while items.len() < PAGE_ITEMS && size < PAGE_BYTES {
                    let Some(((_, name), stored)) = rest.next() else {
                        break;
                    };
                    let item = object_json(name, stored).dump();
                    size += item.len();
                    items.push(item);
                }
                let more = rest.next().is_some();
                return (
                    200,
                    format!(
                        "{{\"items\":[{}],\"hasMore\":{more},\"storeRevision\":{}}}",
                        items.join(","),
                        data.revision
                    ),
                );
            };
            let wait = query
                .get("waitMs")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            let end = Instant::now() + Duration::from_millis(wait);
            loop {
                if since > data.revision {
                    return (410, "{}".to_owned());
                }
                let events: Vec<_> = data
                    .history
                    .iter()
                    .filter(|change| change.revision > since && change.kind == kind)
                    .map(|change| {
                        format!(
                            "{{\"object\":{},\"removed\":{}}}",
                            change.object.dump(),
                            change.removed
                        )
                    })
                    .collect();
                let now = Instant::now();
                if !events.is_empty() || now >= end {
                    return (
                        200,
                        format!(
                            "{{\"events\":[{}],\"storeRevision\":{}}}",
                            events.join(","),
                            data.revision
                        ),
                    );
                }
                data = changed.wait_timeout(data, end - now).unwrap().0;
            }
        }
        let name = parts
            .get(1)
            .cloned()
            .or_else(|| body.get("metadata").get("name").text().map(str::to_owned))
            .unwrap_or_default();
        let expected = body
            .get("metadata")
            .get("revision")
            .number()
            .or_else(|| query.get("revision").and_then(|text| text.parse().ok()));
        let current = data.objects.get(&(kind.clone(), name.clone())).cloned();
        match (method, &current) {
            ("POST", Some(stored)) => return (409, object_json(&name, stored).dump()),
            ("POST", None) => {}
            (_, None) => return (404, "{}".to_owned()),
            (_, Some(stored)) if expected.is_some_and(|expected| expected != stored.revision) => {
                return (409, object_json(&name, stored).dump());
            }
            _ => {}
        }
        if method == "DELETE" {
            Self::delete(&mut data, &kind, &name);
            changed.notify_all();
            return (200, "{}".to_owned());
        }
        if parts.get(2).is_some_and(|part| part == "status") {
            Self::apply(
                &mut data,
                &kind,
                &name,
                None,
                Some(body.get("status").clone()),
            );
        } else {
            Self::apply(
                &mut data,
                &kind,
                &name,
                Some(body.get("spec").clone()),
                None,
            );
        }
        changed.notify_all();
        let stored = data.objects[&(kind, name.clone())].clone();
        (200, object_json(&name, &stored).dump())
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            if let Ok(code) = u8::from_str_radix(&text[at + 1..at + 3], 16) {
                out.push(code);
                at += 3;
                continue;
            }
        }
        out.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---------------------------------------------------------------- plain servers

unsafe extern "C" {
    fn listen(descriptor: i32, backlog: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// Link of one daemon to one server.
pub struct Link {
    pub address: SocketAddr,
    listener: TcpListener,
    cut: Arc<AtomicBool>,
    held: Vec<TcpStream>,
}

impl Link {
    /// Cuts the link as a partition does: open connections hang, and handshakes of new ones get no
    /// answer, as the queue of connections that wait to be accepted is full.
    pub fn partition(&mut self) {
        self.cut.store(true, Ordering::Relaxed);
        // Safe: the descriptor is open as long as the listener.
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        for _ in 0..8 {
            match TcpStream::connect_timeout(&self.address, Duration::from_millis(40)) {
                Ok(stream) => self.held.push(stream),
                Err(_) => break,
            }
        }
    }
}

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub server: String,
    pub id: String,
    pub path: String,
    pub body_bytes: usize,
    pub finished: bool,
}

#[derive(Clone)]
pub struct PlainServer {
    pub id: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    pub down: Arc<AtomicBool>,
    /// Whether the link over which the connection came is cut: nothing goes through either way.
    cut: Arc<AtomicBool>,
    record: Record,
}

impl PlainServer {
    pub fn start(
        id: &str,
        address: SocketAddr,
        runs: &Arc<Mutex<Vec<Run>>>,
        record: &Record,
    ) -> std::io::Result<Self> {
        let server = Self {
            cut: Arc::default(),
            id: id.to_owned(),
            address,
            runs: runs.clone(),
            connections: Arc::default(),
            down: Arc::default(),
            record: record.clone(),
        };
        server.listen(address)?;
        Ok(server)
    }

    /// Listens at a further address, the link of one daemon, until that is cut.
    pub fn listen_link(&self, address: SocketAddr, cut: &Arc<AtomicBool>) -> std::io::Result<Link> {
        let listener = Self {
            cut: cut.clone(),
            ..self.clone()
        }
        .listen(address)?;
        Ok(Link {
            address,
            listener,
            cut: cut.clone(),
            held: Vec::new(),
        })
    }

    fn listen(&self, address: SocketAddr) -> std::io::Result<TcpListener> {
        let listener = TcpListener::bind(address)?;
        let (this, own) = (self.clone(), listener.try_clone()?);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                while this.cut.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(20));
                }
                if this.down.load(Ordering::Relaxed) {
                    continue;
                }
                if let Ok(copy) = stream.try_clone() {
                    this.connections.lock().unwrap().push(copy);
                }
                let this = this.clone();
                thread::spawn(move || this.serve(stream));
            }
        });
        Ok(own)
    }

    /// Waits while the link is cut; what was sent over it meanwhile is lost.
    fn is_lost(&self) -> bool {
        if !self.cut.load(Ordering::Relaxed) {
            return false;
        }
        while self.cut.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(20));
        }
        true
    }

    pub fn entry(&self, service: &str, zone: &str) -> Json {
        Json::parse(&format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"born\":1}}",
            self.address
        ))
    }

    /// Ends all connections and takes no more, as if the process had crashed.
    pub fn crash(&self) {
        self.down.store(true, Ordering::Relaxed);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(call) = read_message(&mut reader) {
            let mut words = call.first.split(' ');
            let (method, path) = (
                words.next().unwrap_or("").to_owned(),
                words.next().unwrap_or("").to_owned(),
            );
            if self.is_lost() {
                return;
            }
            if path == "/health" || path == "/report" {
                if write_answer(&mut writer, 200, &[], b"{}").is_err() {
                    return;
                }
                continue;
            }
            let id = call
                .header("x-bronzerun-request-id")
                .unwrap_or("")
                .to_owned();
            let expected = call
                .header("x-bronzerun-expect-instance")
                .unwrap_or(&self.id);
            if expected != self.id {
                self.record
                    .note(format!("{} refuses {id} with 421", self.id));
                let headers = [
                    ("X-Bronzerun-Not-Executed", "1".to_owned()),
                    ("X-Bronzerun-Request-Id", id),
                ];
                if write_answer(&mut writer, 421, &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            self.record
                .note(format!("{} begins to run {id}: {method} {path}", self.id));
            let run = {
                let mut runs = self.runs.lock().unwrap();
                runs.push(Run {
                    at: Instant::now(),
                    server: self.id.clone(),
                    id: id.clone(),
                    path: path.clone(),
                    body_bytes: call.body.len(),
                    finished: false,
                });
                runs.len() - 1
            };
            if path.ends_with("/deadly") {
                self.record.note(format!("{} crashes under {id}", self.id));
                self.crash();
                return;
            }
            let words: Vec<&str> = path.split('/').collect();
            let number = |mark: char| {
                words.iter().find_map(|word| {
                    word.strip_prefix(mark)
                        .and_then(|text| text.parse::<u64>().ok())
                })
            };
            thread::sleep(Duration::from_millis(number('w').unwrap_or(20)));
            if self.down.load(Ordering::Relaxed) {
                return;
            }
            self.runs.lock().unwrap()[run].finished = true;
            if self.is_lost() {
                return;
            }
            let body = vec![b'x'; number('z').unwrap_or(800) as usize];
            let headers = [
                ("X-Bronzerun-Request-Id", id.clone()),
                ("X-Bronzerun-Response-Seal", format!("{}.{id}", self.id)),
            ];
            if write_answer(&mut writer, 200, &headers, &body).is_err() {
                return;
            }
            self.record.note(format!("{} has answered {id}", self.id));
        }
    }
}

// ---------------------------------------------------------------- daemons

pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: std::path::PathBuf,
    log: std::path::PathBuf,
    child: Option<Child>,
}

impl Daemon {
    pub fn new(
        folder: &std::path::Path,
        index: usize,
        host: &str,
        store: SocketAddr,
        zone: &str,
    ) -> std::io::Result<Self> {
        let name = format!("edge-{index}");
        let address = |port: u16| -> SocketAddr { format!("{host}:{port}").parse().unwrap() };
        let settings = folder.join(format!("{name}.json"));
        let text = format!(
            r#"{{"node":"{name}","role":"node","machineClass":"edge","serves":["edge"],"ip":"{host}","zone":"{zone}","region":"r",
"zones":{{"{zone}":"r"}},"listen":{{"front":"{}","ready":"{}"}},"internalPorts":[18040,18055],"seeds":[],"bootstrap":true,"inTolerance":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4200,"linkMbps":1000.0,"diskMb":0}},"dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1200,
"contracts":["base","drain","config","cost","retry","recover","tenants","platform"],"faultTolerance":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"maxStretchMs":5000,"strictRevoke":false,"revokeMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"retryBudgetSlack":105,"recoveryS":12,"passMs":120,"retryAfterS":0,"stallMs":5000,"requireFence":false,"ceilingWindowS":5,"ceilingOverage":1.1}},
"provider":{{"address":"{store}","form":"objects","writesPerS":400,"readsPerS":2000,"historyS":20,"valueBytes":1048576,"minTtlMs":1000}}}}"#,
            address(18_027),
            address(18_020)
        );
        std::fs::write(&settings, text)?;
        Ok(Self {
            front: address(18_027),
            ready: address(18_020),
            settings,
            log: folder.join(format!("{name}.log")),
            name,
            child: None,
        })
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.child = None;
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let program =
            std::env::var("EDGE").unwrap_or_else(|_| "target/release/bronzerun-edge".to_owned());
        let mut command = Command::new(program);
        // Safe: the call takes no locks and no memory. A daemon doesn't outlive a case that is stopped.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .env("BRONZERUN_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        if stream
            .write_all(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            .is_err()
        {
            return false;
        }
        read_message(&mut BufReader::new(stream)).is_ok_and(|answer| answer.status() == 200)
    }

    pub fn has_exited(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .arg(format!("-{signal}"))
                .arg(child.id().to_string())
                .status();
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

// ---------------------------------------------------------------- clients

/// What a client saw of one request.
#[derive(Clone, Debug)]
pub enum Seen {
    Answer {
        status: u16,
        sealed: bool,
        bytes: usize,
    },
    Closed(String),
}

pub fn request_text(
    method: &str,
    path: &str,
    id: &str,
    extra: &[(String, String)],
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Bronzerun-Request-Id: {id}\r\nX-Bronzerun-Deadline-Ms: 12000\r\nApi-Key: key-0\r\n"
    );
    if method != "GET" {
        let _ = write!(text, "Content-Length: {}\r\n", body.len());
    }
    for (name, value) in extra {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    extra: &[(String, String)],
    body: &[u8],
    record: &Record,
) -> Seen {
    record.note(format!("client sends {id}: {method} {path}"));
    let seen = (|| -> std::io::Result<Seen> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(12)))?;
        stream.write_all(&request_text(method, path, id, extra, body))?;
        let answer = read_message(&mut BufReader::new(stream))?;
        Ok(Seen::Answer {
            status: answer.status(),
            sealed: answer.header("x-bronzerun-response-seal").is_some(),
            bytes: answer.body.len(),
        })
    })();
    let seen = seen.unwrap_or_else(|error| Seen::Closed(error.to_string()));
    record.note(format!("client has {id}: {seen:?}"));
    seen
}

pub fn config(version: u64, routes: &[(&str, &str, &str, u64)], services: &[&str]) -> Json {
    let routes: Vec<_> = routes.iter().map(|(name, prefix, kind, timeout)| {
        format!(r#"{{"name":"{name}","host":"a.example","pathPrefix":"{prefix}","type":"{kind}","service":"{}","timeoutMs":{timeout},"targetLatencyMs":500,"attempts":2,"priority":1,"resumable":false,"sticky":false}}"#, services[0])
    }).collect();
    let services: Vec<_> = services
        .iter()
        .map(|name| format!(r#"{{"name":"{name}","healthPath":"/health","maxConnections":400}}"#))
        .collect();
    Json::parse(&format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"depot","apiKeys":["key-0"]}}]}}"#,
        routes.join(","),
        services.join(",")
    ))
}

pub struct Bed {
    pub record: Record,
    pub store: Store,
    pub servers: Vec<PlainServer>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub daemons: Vec<Daemon>,
    pub folder: std::path::PathBuf,
    /// Links to the servers, for each daemon.
    pub links: Vec<Vec<Link>>,
    /// Servers started so far.
    started: usize,
}

impl Bed {
    /// Starts a further server of the service.
    pub fn add_server(&mut self) -> std::io::Result<PlainServer> {
        self.started += 1;
        let ip = self.servers[0].address.ip().to_string();
        let net = ip.rsplit_once('.').map_or("", |(net, _)| net);
        let address = format!("{net}.{}:18011", 101 + self.started % 150)
            .parse()
            .unwrap();
        let id = format!("{SERVER_PREFIX}{}", self.started);
        let server = PlainServer::start(&id, address, &self.runs, &self.record)?;
        self.store.put("servers", &id, server.entry("app", "za"));
        Ok(server)
    }

    /// Partitions a daemon from all servers.
    pub fn partition(&mut self, daemon: usize) {
        let name = &self.daemons[daemon].name;
        self.record
            .note(format!("{name} is partitioned from all servers"));
        for link in &mut self.links[daemon] {
            link.partition();
        }
    }
}

/// Starts a store, plain servers and daemons, and waits until the daemons are ready.
/// Beginning of the ids of the servers.
pub const SERVER_PREFIX: &str = "orders-";

pub fn bed(
    first_revision: u64,
    servers: usize,
    daemons: usize,
    first_config: Json,
) -> std::io::Result<Bed> {
    let record = Record::new();
    let process = std::process::id();
    let net = format!("127.{}.{}", 64 + process / 250 % 64, 1 + process % 250);
    let folder = std::env::temp_dir().join(format!("review-3-{process}"));
    std::fs::create_dir_all(&folder)?;
    let _ = FOLDER.set(folder.clone());
    let store_address: SocketAddr = format!("{net}.1:18010").parse().unwrap();
    let store = Store::start(store_address, first_revision, &record)?;
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let mut list = Vec::new();
    for index in 0..servers {
        let address = format!("{net}.{}:18011", 101 + index).parse().unwrap();
        let server =
            PlainServer::start(&format!("{SERVER_PREFIX}{index}"), address, &runs, &record)?;
        store.put("servers", &server.id, server.entry("app", "za"));
        list.push(server);
    }
    store.put("config", "main", first_config);
    let (mut nodes, mut links) = (Vec::new(), Vec::new());
    for index in 0..daemons {
        let cut: Arc<AtomicBool> = Arc::default();
        let (mut seen, mut own) = (BTreeMap::new(), Vec::new());
        for server in &list {
            let link: SocketAddr = format!("{}:{}", server.address.ip(), 18_100 + index)
                .parse()
                .unwrap();
            own.push(server.listen_link(link, &cut)?);
            seen.insert(server.address.to_string(), link.to_string());
        }
        links.push(own);
        let store_address = format!("{net}.1:{}", 18_100 + index).parse().unwrap();
        store.listen_for(store_address, seen)?;
        let mut daemon = Daemon::new(
            &folder,
            index,
            &format!("{net}.{}", 11 + index),
            store_address,
            "za",
        )?;
        daemon.start()?;
        nodes.push(daemon);
    }
    let end = Instant::now() + Duration::from_secs(15);
    while !nodes.iter().all(Daemon::is_ready) && Instant::now() < end {
        thread::sleep(Duration::from_millis(100));
    }
    record.note(format!(
        "daemons ready: {}",
        nodes.iter().filter(|node| node.is_ready()).count()
    ));
    Ok(Bed {
        record,
        store,
        servers: list,
        runs,
        daemons: nodes,
        folder,
        links,
        started: servers,
    })
}

mod cases;

/// Folder of the daemons' settings and logs.
static FOLDER: OnceLock<std::path::PathBuf> = OnceLock::new();
/// Longest time of a case.
const MAX_DURATION: Duration = Duration::from_secs(110);

/// Ends the case, and so its daemons, if it takes too long or the script that started it is gone.
fn watch() {
    let (started, parent) = (Instant::now(), parent_id());
    thread::spawn(move || {
        while started.elapsed() < MAX_DURATION && parent_id() == parent {
            thread::sleep(Duration::from_millis(200));
        }
        if let Some(folder) = FOLDER.get() {
            let _ = std::fs::remove_dir_all(folder);
        }
        std::process::exit(2);
    });
}

fn main() {
    watch();
    let name = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match cases::run(&name, trouble) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            2
        }
    };
    std::process::exit(code);
}
