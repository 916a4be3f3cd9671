//! Plain servers and engines: their groups and how orders change them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::StatusCode;
use serde_json::{Value, json};

use super::store::StoreState;
use crate::book::RunBook;
use crate::plan::PLAIN_SERVERS;

/// Time of a load from the weight store; before traffic it takes a tenth.
const LOAD_SPAN: Duration = Duration::from_millis(2_000);
/// Time of a join whose model lies on the host.
const WARM_SPAN: Duration = Duration::from_millis(300);
/// Time of a join whose model is in memory.
const REJOIN_SPAN: Duration = Duration::from_millis(100);
/// Time until a head that was told to serve does so.
const OPEN_SPAN: Duration = Duration::from_millis(100);

/// Endpoint's place in a group.
#[derive(Clone, Debug)]
pub(crate) struct GroupPlace {
    pub group: String,
    pub epoch: u64,
    pub model: String,
    pub members: Vec<String>,
    pub state: &'static str,
    /// When a join or an opening ends.
    changes_at: Option<Instant>,
}

/// One server as it is.
#[derive(Clone, Debug)]
pub(crate) struct SoakServer {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub is_alive: bool,
    pub is_leaving: bool,
    pub place: Option<GroupPlace>,
    pub running: u32,
    slot: usize,
    life: u64,
    domain: Option<String>,
    sequence: u64,
    staged: Option<String>,
    stages_at: Option<(Instant, String)>,
    last_model: Option<String>,
    seen_epoch: u64,
}

impl SoakServer {
    fn new(slot: usize, life: u64, address: SocketAddr, domain: Option<String>) -> Self {
        Self {
            id: format!("i-{slot}-{life}"),
            service: if domain.is_some() { "models" } else { "app" },
            address,
            is_alive: true,
            is_leaving: false,
            place: None,
            running: 0,
            slot,
            life,
            domain,
            sequence: 0,
            staged: None,
            stages_at: None,
            last_model: None,
            seen_epoch: 0,
        }
    }

    /// Size of a model's groups.
    pub fn size_of(model: &str) -> usize {
        if model == "large" { 3 } else { 2 }
    }

    fn staged(&self) -> Vec<&String> {
        self.staged.iter().collect()
    }

    fn place_json(&self) -> Option<Value> {
        self.place
            .as_ref()
            .map(|place| json!({"name": place.group, "epoch": place.epoch, "state": place.state}))
    }

    fn entry(&self) -> Value {
        let zone = ["zone-a", "zone-b"][self.slot % 2];
        json!({"service": self.service, "address": self.address.to_string(),
            "zone": zone, "version": "v1", "slots": 8,
            "state": if self.is_leaving { "draining" } else { "ready" }, "born": self.life,
            "domain": self.domain, "sequence": self.sequence, "staged": self.staged(),
            "group": self.place_json()})
    }

    /// What it says of itself when asked.
    pub fn report(&self) -> Value {
        json!({"stage": "unified", "models": [], "busy": false, "born": self.life,
            "sequence": self.sequence, "staged": self.staged(), "group": self.place_json(),
            "queued": 0, "running": self.running, "pace": 1.0})
    }
}

/// All servers.
pub(crate) struct Fleet {
    pub servers: Vec<SoakServer>,
    pub book: Rc<RefCell<RunBook>>,
    store: Rc<RefCell<StoreState>>,
    /// Until when loads are quick.
    quick_until: Instant,
    /// Until when orders get no answer and are carried out later.
    pub late_until: Option<Instant>,
}

impl Fleet {
    /// Servers behind proxies: two plain ones, and engines in two fabric domains.
    pub fn new(
        addresses: &[SocketAddr],
        store: Rc<RefCell<StoreState>>,
        book: Rc<RefCell<RunBook>>,
        quick_until: Instant,
    ) -> Self {
        let servers = addresses.iter().enumerate().map(|(slot, address)| {
            let domain = (slot >= PLAIN_SERVERS).then(|| format!("d{}", slot % 2));
            SoakServer::new(slot, 1, *address, domain)
        });
        Self {
            servers: servers.collect(),
            book,
            store,
            quick_until,
            late_until: None,
        }
    }

    /// Lets joins, openings and loads end whose time has come, and lists what has changed.
    pub fn settle(&mut self, now: Instant) {
        for server in self.servers.iter_mut().filter(|server| server.is_alive) {
            if let Some((at, model)) = &server.stages_at
                && *at <= now
            {
                server.staged = Some(model.clone());
                server.stages_at = None;
            }
            if let Some(place) = &mut server.place
                && place.changes_at.is_some_and(|at| at <= now)
            {
                place.changes_at = None;
                if place.state == "joining" {
                    place.state = "ready";
                    server.staged = Some(place.model.clone());
                    server.last_model = Some(place.model.clone());
                    self.book.borrow_mut().join(
                        &place.group,
                        place.epoch,
                        &place.members,
                        &server.id,
                    );
                } else {
                    place.state = "open";
                }
            }
            let entry = server.entry();
            self.store.borrow_mut().put("servers", &server.id, entry);
        }
    }

    /// Ends a server; its entry stays.
    pub fn end(&mut self, slot: usize) {
        self.servers[slot].is_alive = false;
    }

    /// Removes a server's entry and starts another one in its place.
    pub fn replace(&mut self, slot: usize) {
        let old = &self.servers[slot];
        self.store.borrow_mut().remove("servers", &old.id);
        let fresh = SoakServer::new(slot, old.life + 1, old.address, old.domain.clone());
        self.servers[slot] = fresh;
    }

    /// Whether every member of a head's group is there and still in it.
    pub fn is_sound(&self, place: &GroupPlace) -> bool {
        place.members.iter().all(|id| {
            let member = self.servers.iter().find(|server| server.id == *id);
            member.is_some_and(|member| {
                let held = member.place.as_ref();
                member.is_alive
                    && held.is_some_and(|held| {
                        held.group == place.group
                            && held.epoch == place.epoch
                            && held.state != "joining"
                    })
            })
        })
    }

    /// Carries an order out.
    pub fn order(&mut self, slot: usize, order: &Value, now: Instant) -> StatusCode {
        self.settle(now);
        let status = match order["operation"].as_str().unwrap_or_default() {
            "join" => self.join(slot, order, now),
            "stage" => self.stage(slot, order, now),
            "open" => self.open(slot, order, now),
            "close" => self.leave_state(slot, order, false),
            "leave" => self.leave_state(slot, order, true),
            _ => StatusCode::BAD_REQUEST,
        };
        if status == StatusCode::ACCEPTED {
            self.servers[slot].sequence += 1;
        }
        self.settle(now);
        status
    }

    fn load_span(&self, now: Instant) -> Duration {
        if now < self.quick_until {
            LOAD_SPAN / 10
        } else {
            LOAD_SPAN
        }
    }

    fn join(&mut self, slot: usize, order: &Value, now: Instant) -> StatusCode {
        let text = |field: &str| order[field].as_str().unwrap_or_default().to_owned();
        let members = order["members"].as_array().cloned().unwrap_or_default();
        let members: Vec<String> = members
            .iter()
            .filter_map(|member| Some(member.as_str()?.to_owned()))
            .collect();
        let epoch = order["epoch"].as_u64().unwrap_or_default();
        let (group, model) = (text("group"), text("model"));
        let server = &self.servers[slot];
        if epoch < server.seen_epoch {
            return StatusCode::PRECONDITION_FAILED;
        }
        if let Some(place) = &server.place {
            let is_same = place.group == group && place.epoch == epoch;
            if is_same && place.members == members {
                return StatusCode::OK;
            }
            if is_same {
                return StatusCode::PRECONDITION_FAILED;
            }
            if place.group != group && self.serves(place) {
                let (id, old) = (&server.id, &place.group);
                let text = format!("{id} was told to join {group} while {old} serves");
                self.book.borrow_mut().breach(text);
            }
        }
        let load = self.load_span(now);
        let server = &mut self.servers[slot];
        server.seen_epoch = epoch;
        let span = if server.last_model.as_ref() == Some(&model) {
            REJOIN_SPAN
        } else if server.staged.as_ref() == Some(&model) {
            WARM_SPAN
        } else {
            load + WARM_SPAN
        };
        server.place = Some(GroupPlace {
            group,
            epoch,
            model,
            members,
            state: "joining",
            changes_at: Some(now + span),
        });
        StatusCode::ACCEPTED
    }

    /// Whether the head of a member's group takes requests for it.
    fn serves(&self, place: &GroupPlace) -> bool {
        let head = place.members.first();
        let head = self
            .servers
            .iter()
            .find(|server| Some(&server.id) == head && server.is_alive);
        let held = head.and_then(|head| head.place.as_ref());
        held.is_some_and(|held| {
            held.group == place.group && held.epoch == place.epoch && held.state == "open"
        })
    }

    fn stage(&mut self, slot: usize, order: &Value, now: Instant) -> StatusCode {
        let model = order["model"].as_str().unwrap_or_default().to_owned();
        let at = now + self.load_span(now);
        let server = &mut self.servers[slot];
        let is_loading = matches!(&server.stages_at, Some((_, loading)) if *loading == model);
        if server.staged.as_ref() == Some(&model) || is_loading {
            return StatusCode::OK;
        }
        server.stages_at = Some((at, model));
        StatusCode::ACCEPTED
    }

    fn open(&mut self, slot: usize, order: &Value, now: Instant) -> StatusCode {
        let Some(place) = held(&mut self.servers[slot], order) else {
            return StatusCode::CONFLICT;
        };
        if place.state == "open" || place.changes_at.is_some_and(|_| place.state == "ready") {
            return StatusCode::OK;
        }
        if place.state != "ready" {
            return StatusCode::CONFLICT;
        }
        place.changes_at = Some(now + OPEN_SPAN);
        StatusCode::ACCEPTED
    }

    fn leave_state(&mut self, slot: usize, order: &Value, is_leave: bool) -> StatusCode {
        let server = &mut self.servers[slot];
        let Some(place) = held(server, order) else {
            return StatusCode::CONFLICT;
        };
        if is_leave {
            server.place = None;
        } else {
            place.state = "ready";
            place.changes_at = None;
        }
        StatusCode::ACCEPTED
    }
}

/// Place that an order is about, if the server is in that group.
fn held<'a>(server: &'a mut SoakServer, order: &Value) -> Option<&'a mut GroupPlace> {
    let place = server.place.as_mut()?;
    let is_named = order["group"] == json!(place.group) && order["epoch"] == json!(place.epoch);
    is_named.then_some(place)
}
