//! Stand-ins of servers: plain ones, and engines that form groups.

use std::io::{self, BufReader};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Req, read_request, respond};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::store::Store;

/// Time of a join whose model is in memory, on the host, or has to be loaded before traffic.
const REJOIN: Duration = Duration::from_millis(200);
const WARM_JOIN: Duration = Duration::from_millis(1_100);
const COLD_JOIN: Duration = Duration::from_millis(1_200);
/// Time from an order to open until the head serves.
const OPENING: Duration = Duration::from_millis(300);
/// Time for which the work of a group that has lost a member stalls (`stallMs`).
const STALL: Duration = Duration::from_secs(5);

/// What a server does with a request of a client.
pub type Handler = Arc<dyn Fn(&Arc<Server>, &Req, &mut TcpStream) -> io::Result<()> + Send + Sync>;

#[derive(Clone, Debug)]
pub struct Group {
    pub name: String,
    pub epoch: u64,
    pub model: String,
    pub members: Vec<String>,
    pub state: &'static str,
}

#[derive(Default)]
pub struct Inner {
    pub born: u64,
    pub is_alive: bool,
    pub sequence: u64,
    pub staged: Option<String>,
    pub loaded: Option<String>,
    pub group: Option<Group>,
    pub highest_epoch: u64,
    /// Requests that are running.
    running: u32,
    connections: Vec<TcpStream>,
}

pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Fabric domain of an engine.
    pub domain: Option<u32>,
    pub slots: u32,
    pub address: SocketAddr,
    pub inner: Mutex<Inner>,
    pub store: Store,
    pub record: Record,
    handler: Handler,
    /// All servers, this one too.
    fleet: Fleet,
}

/// All servers of a deployment.
pub type Fleet = Arc<Mutex<Vec<Arc<Server>>>>;

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

impl Server {
    /// Starts a server, which registers itself in the store.
    pub fn start(
        (id, service, zone, domain): (&str, &str, &str, Option<u32>),
        (ip, slots): (&str, u32),
        (store, record, fleet): (&Store, &Record, &Fleet),
        handler: Handler,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            domain,
            slots,
            address: listener.local_addr()?,
            inner: Mutex::default(),
            store: store.clone(),
            record: record.clone(),
            handler,
            fleet: fleet.clone(),
        });
        fleet.lock().unwrap().push(server.clone());
        server.begin_life(listener);
        Ok(server)
    }

    fn begin_life(self: &Arc<Self>, listener: TcpListener) {
        {
            let mut inner = self.inner.lock().unwrap();
            inner.born = unix_ms();
            inner.is_alive = true;
            inner.sequence = 0;
            inner.group = None;
            inner.loaded = None;
            inner.highest_epoch = 0;
            inner.running = 0;
        }
        self.write_entry();
        let server = self.clone();
        std::thread::spawn(move || {
            listener.set_nonblocking(true).unwrap();
            while server.inner.lock().unwrap().is_alive {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        server.clone().serve(stream);
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    /// Crashes: all connections break, nothing listens; back after `down` with nothing in memory.
    pub fn crash(self: &Arc<Self>, down: Duration) {
        {
            let mut inner = self.inner.lock().unwrap();
            if !inner.is_alive {
                return;
            }
            inner.is_alive = false;
            for stream in inner.connections.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
        let server = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(down);
            let end = Instant::now() + Duration::from_secs(5);
            loop {
                match TcpListener::bind(server.address) {
                    Ok(listener) => {
                        server.begin_life(listener);
                        server.record.line(&format!("server {} is back", server.id));
                        return;
                    }
                    Err(error) if Instant::now() > end => {
                        server
                            .record
                            .line(&format!("server {} not back: {error}", server.id));
                        return;
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(50)),
                }
            }
        });
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream) {
        std::thread::spawn(move || {
            let Ok(copy) = stream.try_clone() else { return };
            {
                let mut inner = self.inner.lock().unwrap();
                if !inner.is_alive {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    inner.connections.push(copy);
                }
            }
            let mut reader = BufReader::new(copy);
            while let Ok(Some(req)) = read_request(&mut reader) {
                if !self.inner.lock().unwrap().is_alive || self.answer(&req, &mut stream).is_err() {
                    break;
                }
            }
            let _ = stream.shutdown(Shutdown::Both);
        });
    }

    fn answer(self: &Arc<Self>, req: &Req, stream: &mut TcpStream) -> io::Result<()> {
        let expected = req.header("x-bronzerun-expect-instance");
        if !expected.is_empty() && expected != self.id {
            let headers = format!(
                "x-bronzerun-not-executed: 1\r\nx-bronzerun-request-id: {}\r\n",
                req.header("x-bronzerun-request-id")
            );
            return respond(stream, "421 Misdirected Request", &headers, b"");
        }
        match req.path() {
            "/report" => {
                let body = self.state_json(true);
                respond(
                    stream,
                    "200 OK",
                    "content-type: application/json\r\n",
                    body.as_bytes(),
                )
            }
            "/order" => {
                let body = String::from_utf8_lossy(&req.body).into_owned();
                let status =
                    Json::parse(&body).map_or("400 Bad Request", |order| self.order(&order));
                self.record
                    .line(&format!("order to {}: {body} -> {status}", self.id));
                respond(stream, status, "content-type: application/json\r\n", b"{}")
            }
            "/health" => {
                let headers = format!("x-bronzerun-instance-id: {}\r\n", self.id);
                respond(stream, "200 OK", &headers, b"")
            }
            _ => self.run(req, stream),
        }
    }

    fn run(self: &Arc<Self>, req: &Req, stream: &mut TcpStream) -> io::Result<()> {
        let born = {
            let mut inner = self.inner.lock().unwrap();
            inner.running += 1;
            inner.born
        };
        let result = (self.handler)(self, req, stream);
        let mut inner = self.inner.lock().unwrap();
        if inner.born != born {
            return result;
        }
        inner.running = inner.running.saturating_sub(1);
        let is_idle = inner.running == 0;
        if let Some(group) = inner
            .group
            .as_mut()
            .filter(|group| is_idle && group.state == "closing")
        {
            group.state = "ready";
            drop(inner);
            self.write_entry();
        }
        result
    }

    fn state_json(&self, is_report: bool) -> String {
        let inner = self.inner.lock().unwrap();
        let staged = inner.staged.iter().map(|model| quote(model));
        let staged = staged.collect::<Vec<_>>().join(",");
        let group = inner.group.as_ref().map(|group| {
            format!(
                ",\"group\":{{\"name\":{},\"epoch\":{},\"rank\":{},\"state\":{}}}",
                quote(&group.name),
                group.epoch,
                group
                    .members
                    .iter()
                    .position(|id| *id == self.id)
                    .unwrap_or(0),
                quote(group.state)
            )
        });
        let common = format!(
            "\"born\":{},\"sequence\":{},\"staged\":[{staged}]{}",
            inner.born,
            inner.sequence,
            group.unwrap_or_default()
        );
        if is_report {
            let models = inner.loaded.iter().map(|model| {
                format!(
                    "{{\"name\":{},\"version\":1,\"adapters\":[]}}",
                    quote(model)
                )
            });
            let (models, running) = (models.collect::<String>(), inner.running);
            return format!(
                "{{\"stage\":\"unified\",\"models\":[{models}],\"busy\":false,\"queued\":0,\"running\":{running},\"kvUsed\":0,\"kvTotal\":1860000,\"handles\":0,\"pace\":1.0,{common}}}"
            );
        }
        let domain = self.domain.map(|domain| format!(",\"domain\":{domain}"));
        format!(
            "{{\"service\":{},\"address\":{},\"zone\":{},\"version\":\"v1\",\"slots\":{},\"state\":\"ready\",\"coldRemainingMs\":0{},{common}}}",
            quote(&self.service),
            quote(&self.address.to_string()),
            quote(&self.zone),
            self.slots,
            domain.unwrap_or_default()
        )
    }

    /// Writes the server's entry in the store.
    pub fn write_entry(&self) {
        let entry = Json::parse(&self.state_json(false)).expect("entries are JSON");
        self.store.put("servers", &self.id, entry);
    }

    fn order(self: &Arc<Self>, order: &Json) -> &'static str {
        let status = match order.text("operation").as_str() {
            "join" => self.join(order),
            "stage" => self.stage(order),
            operation => self.change_group(operation, order),
        };
        if status.starts_with("202") {
            self.inner.lock().unwrap().sequence += 1;
        }
        self.write_entry();
        status
    }

    fn stage(self: &Arc<Self>, order: &Json) -> &'static str {
        let model = order.text("model");
        let inner = self.inner.lock().unwrap();
        if inner.staged.as_ref() == Some(&model) {
            return "200 OK";
        }
        let (server, born) = (self.clone(), inner.born);
        std::thread::spawn(move || {
            std::thread::sleep(COLD_JOIN);
            let mut inner = server.inner.lock().unwrap();
            if inner.born == born {
                inner.staged = Some(model);
                drop(inner);
                server.write_entry();
            }
        });
        "202 Accepted"
    }

    fn join(self: &Arc<Self>, order: &Json) -> &'static str {
        let epoch = order.number("epoch").unwrap_or(0);
        let members = order.items("members").into_iter();
        let members: Vec<_> = members
            .filter_map(|member| match member {
                Json::Str(text) => Some(text),
                _ => None,
            })
            .collect();
        let (name, model) = (order.text("group"), order.text("model"));
        let inner = self.inner.lock().unwrap();
        if epoch < inner.highest_epoch {
            return "412 Precondition Failed";
        }
        if let Some(group) = inner
            .group
            .as_ref()
            .filter(|g| g.name == name && g.epoch == epoch)
        {
            let is_same = group.members == members;
            return if is_same {
                "200 OK"
            } else {
                "412 Precondition Failed"
            };
        }
        let time = if inner.loaded.as_ref() == Some(&model) {
            REJOIN
        } else if inner.staged.as_ref() == Some(&model) {
            WARM_JOIN
        } else {
            COLD_JOIN
        };
        let old = inner.group.clone().filter(|group| group.name != name);
        drop(inner);
        if let Some(old) = old.filter(|old| self.is_serving(old)) {
            let (id, head) = (&self.id, &old.members[0]);
            let text = format!(
                "{id} takes the join of {name} (epoch {epoch}) while the head {head} of its group {} (epoch {}) is open",
                old.name, old.epoch
            );
            self.record.line(&text);
            self.record.violation(text);
        }
        let mut inner = self.inner.lock().unwrap();
        inner.highest_epoch = epoch;
        inner.group = Some(Group {
            name,
            epoch,
            model,
            members,
            state: "joining",
        });
        self.later(time, inner.born, epoch, "joining", "ready");
        "202 Accepted"
    }

    fn change_group(self: &Arc<Self>, operation: &str, order: &Json) -> &'static str {
        let mut inner = self.inner.lock().unwrap();
        let born = inner.born;
        let is_idle = inner.running == 0;
        let (name, epoch) = (order.text("group"), order.number("epoch").unwrap_or(0));
        let Some(group) = inner
            .group
            .as_mut()
            .filter(|g| g.name == name && g.epoch == epoch)
        else {
            return "409 Conflict";
        };
        match (operation, group.state) {
            ("open", "open") => "200 OK",
            ("open", "ready") => {
                self.later(OPENING, born, epoch, "ready", "open");
                "202 Accepted"
            }
            ("close", "open") => {
                group.state = if is_idle { "ready" } else { "closing" };
                "202 Accepted"
            }
            ("close", "ready" | "closing") => "200 OK",
            ("leave", _) => {
                inner.group = None;
                "202 Accepted"
            }
            ("open" | "close", _) => "409 Conflict",
            _ => "400 Bad Request",
        }
    }

    /// Changes the state of the group after a time, if it is still the same one.
    fn later(
        self: &Arc<Self>,
        time: Duration,
        born: u64,
        epoch: u64,
        from: &'static str,
        to: &'static str,
    ) {
        let server = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(time);
            {
                let mut inner = server.inner.lock().unwrap();
                if inner.born != born {
                    return;
                }
                let Some(group) = inner.group.as_mut() else {
                    return;
                };
                if group.epoch != epoch || group.state != from {
                    return;
                }
                group.state = to;
                let model = group.model.clone();
                inner.staged = Some(model.clone());
                inner.loaded = Some(model);
            }
            server.write_entry();
        });
    }

    /// Waits while a member of this head's group is gone, as long as the work stalls; whether the
    /// group is whole.
    pub fn wait_whole(&self) -> bool {
        let end = Instant::now() + STALL;
        loop {
            let group = self.inner.lock().unwrap().group.clone();
            let Some(group) = group else { return false };
            let fleet = self.fleet.lock().unwrap().clone();
            let is_present = |id: &String| {
                let member = fleet.iter().find(|server| server.id == *id);
                member.is_some_and(|member| {
                    let inner = member.inner.lock().unwrap();
                    let current = inner.group.as_ref();
                    inner.is_alive && current.is_some_and(|current| current.epoch == group.epoch)
                })
            };
            if group.members.iter().all(is_present) {
                return true;
            }
            if Instant::now() >= end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(30));
        }
    }

    /// Whether the head of a group that this server is in is open.
    fn is_serving(&self, group: &Group) -> bool {
        let fleet = self.fleet.lock().unwrap();
        let head = fleet
            .iter()
            .find(|server| Some(&server.id) == group.members.first());
        head.is_some_and(|head| {
            let inner = head.inner.lock().unwrap();
            let current = inner.group.as_ref();
            inner.is_alive
                && current.is_some_and(|current| {
                    current.name == group.name
                        && current.epoch == group.epoch
                        && matches!(current.state, "open" | "closing")
                })
        })
    }

    /// Whether this server is the head of an open group of a model.
    pub fn serves(&self, model: &str) -> bool {
        let inner = self.inner.lock().unwrap();
        let group = inner.group.as_ref();
        group.is_some_and(|group| {
            group.state == "open" && group.model == model && group.members.first() == Some(&self.id)
        })
    }
}

/// Headers of a server's own answer to a request that it ran.
pub fn sealed(server: &Server, req: &Req) -> String {
    let id = req.header("x-bronzerun-request-id");
    let version = match server.domain {
        Some(_) => "x-bronzerun-weight-versions: 1\r\n",
        None => "",
    };
    format!(
        "x-bronzerun-request-id: {id}\r\n{version}x-bronzerun-response-seal: {}.{id}\r\n",
        server.id
    )
}
