//! Emulated plain servers and engines, their groups, and the orders that change them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::StatusCode;
use serde_json::{Value, json};

use super::store::StoreState;
use crate::checker::InvariantChecker;
use crate::plan::PLAIN_SERVER_COUNT;

/// Time to load weights from the weight store; a tenth of it before clients send requests.
const LOAD_DURATION: Duration = Duration::from_millis(2_000);
/// Time of a join whose weights are staged on the host.
const STAGED_JOIN_DURATION: Duration = Duration::from_millis(300);
/// Time of a join whose model is already in memory.
const REJOIN_DURATION: Duration = Duration::from_millis(100);
/// Time from an order to open until the head serves.
const OPEN_DURATION: Duration = Duration::from_millis(100);

/// One request in this many is refused by a server that refuses some.
const REFUSED_ONE_IN: usize = 3;
/// Statuses of these refusals, one after the other.
const REFUSALS: [StatusCode; 3] = [
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::MISDIRECTED_REQUEST,
];

/// Time after a crash in which streams may find no other server.
const CRASH_SETTLING_TIME: Duration = Duration::from_secs(3);

/// Membership of a server in a group.
#[derive(Clone, Debug)]
pub(crate) struct GroupMembership {
    pub group: String,
    pub epoch: u64,
    pub model: String,
    pub members: Vec<String>,
    pub state: &'static str,
    /// When the join or the opening in progress completes.
    transition_at: Option<Instant>,
}

/// State of one server.
#[derive(Clone, Debug)]
pub(crate) struct SoakServer {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub is_alive: bool,
    pub is_leaving: bool,
    /// Whether its responses say that it is leaving.
    pub announces_leaving: bool,
    pub membership: Option<GroupMembership>,
    pub running: u32,
    /// Limit that it names in its responses, in requests a second, and until when.
    limit: Option<(f64, Instant)>,
    /// Until when it turns all requests away.
    busy_until: Option<Instant>,
    /// Until when it is suspended.
    paused_until: Option<Instant>,
    /// Until when it refuses some requests and writes refusals once more.
    repeats_until: Option<Instant>,
    /// Requests that arrived meanwhile.
    refusable: usize,
    slot: usize,
    incarnation: u64,
    fabric: Option<String>,
    sequence: u64,
    staged: Option<String>,
    staging: Option<(Instant, String)>,
    loaded_model: Option<String>,
    highest_epoch: u64,
}

impl SoakServer {
    fn new(slot: usize, incarnation: u64, address: SocketAddr, fabric: Option<String>) -> Self {
        Self {
            id: format!("i-{slot}-{incarnation}"),
            service: if fabric.is_some() { "models" } else { "app" },
            address,
            is_alive: true,
            is_leaving: false,
            announces_leaving: true,
            membership: None,
            running: 0,
            limit: None,
            busy_until: None,
            paused_until: None,
            repeats_until: None,
            refusable: 0,
            slot,
            incarnation,
            fabric,
            sequence: 0,
            staged: None,
            staging: None,
            loaded_model: None,
            highest_epoch: 0,
        }
    }

    /// Number of members of a model's groups.
    pub fn size_of(model: &str) -> usize {
        if model == "large" { 3 } else { 2 }
    }

    /// Time for which it still turns all requests away.
    pub fn busy_time(&self, now: Instant) -> Option<Duration> {
        let left = self.busy_until?.checked_duration_since(now)?;
        (!left.is_zero()).then_some(left)
    }

    /// Whether it is suspended.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Whether it refuses some requests and writes refusals once more.
    pub fn repeats_refusals(&self, now: Instant) -> bool {
        self.repeats_until.is_some_and(|until| now < until)
    }

    /// Limit that it names now, in requests a second.
    pub fn limit(&self, now: Instant) -> Option<f64> {
        self.limit
            .filter(|(_, until)| now < *until)
            .map(|(rate, _)| rate)
    }

    fn staged(&self) -> Vec<&String> {
        self.staged.iter().collect()
    }

    fn group_json(&self) -> Option<Value> {
        self.membership
            .as_ref()
            .map(|current| json!({"name": current.group, "epoch": current.epoch, "state": current.state}))
    }

    fn store_entry(&self) -> Value {
        let failure_domain = ["zone-a", "zone-b"][self.slot % 2];
        json!({"service": self.service, "address": self.address.to_string(),
            "zone": failure_domain, "version": "v1", "slots": 8,
            "state": if self.is_leaving { "draining" } else { "ready" }, "born": self.incarnation,
            "domain": self.fabric, "sequence": self.sequence, "staged": self.staged(),
            "group": self.group_json()})
    }

    /// Body of the response to a status request.
    pub fn report(&self) -> Value {
        json!({"stage": "unified", "models": [], "busy": false, "born": self.incarnation,
            "sequence": self.sequence, "staged": self.staged(), "group": self.group_json(),
            "queued": 0, "running": self.running, "pace": 1.0})
    }
}

/// All servers, by slot.
pub(crate) struct Fleet {
    pub servers: Vec<SoakServer>,
    pub checker: Rc<RefCell<InvariantChecker>>,
    store: Rc<RefCell<StoreState>>,
    /// Until when loads take a tenth of their time.
    fast_loads_until: Instant,
    /// Until when the servers write no entries, as the store has just been restored.
    silent_until: Option<Instant>,
    /// Until when orders get no response and are executed later.
    pub orders_delayed_until: Option<Instant>,
    /// Slots of servers that have crashed and whose connections are still open.
    crashed: Vec<usize>,
}

impl Fleet {
    /// Creates the servers behind the proxies at these addresses: two plain ones, and
    /// engines in two fabric domains.
    pub fn new(
        addresses: &[SocketAddr],
        store: Rc<RefCell<StoreState>>,
        checker: Rc<RefCell<InvariantChecker>>,
        fast_loads_until: Instant,
    ) -> Self {
        let servers = addresses.iter().enumerate().map(|(slot, address)| {
            let fabric = (slot >= PLAIN_SERVER_COUNT).then(|| format!("d{}", slot % 2));
            SoakServer::new(slot, 1, *address, fabric)
        });
        Self {
            servers: servers.collect(),
            checker,
            store,
            fast_loads_until,
            silent_until: None,
            orders_delayed_until: None,
            crashed: Vec::new(),
        }
    }

    /// Completes the joins, openings and loads that are due, and updates the servers' store entries.
    pub fn advance(&mut self, now: Instant) {
        let is_silent = self.silent_until.is_some_and(|until| now < until);
        if !is_silent && self.silent_until.take().is_some() {
            self.remove_unknown_entries();
        }
        for server in self.servers.iter_mut().filter(|server| server.is_alive) {
            if let Some((at, model)) = &server.staging
                && *at <= now
            {
                server.staged = Some(model.clone());
                server.staging = None;
            }
            if let Some(membership) = &mut server.membership
                && membership.transition_at.is_some_and(|at| at <= now)
            {
                membership.transition_at = None;
                if membership.state == "joining" {
                    membership.state = "ready";
                    server.staged = Some(membership.model.clone());
                    server.loaded_model = Some(membership.model.clone());
                    self.checker.borrow_mut().record_ready_member(
                        &membership.group,
                        membership.epoch,
                        &membership.members,
                        &server.id,
                    );
                } else {
                    membership.state = "open";
                }
            }
            if is_silent || server.is_paused(now) {
                continue;
            }
            let store_entry = server.store_entry();
            self.store
                .borrow_mut()
                .put("servers", &server.id, store_entry);
        }
    }

    /// Makes the servers write no entries until an instant; entries of servers that are gone by
    /// then are removed.
    pub fn silence(&mut self, until: Instant) {
        self.silent_until = Some(until);
    }

    fn remove_unknown_entries(&self) {
        let mut store = self.store.borrow_mut();
        for name in store.names("servers") {
            if !self.servers.iter().any(|server| server.id == name) {
                store.remove("servers", &name);
            }
        }
    }

    /// Makes a server name a limit in its responses until an instant.
    pub fn limit(&mut self, slot: usize, per_minute: u32, until: Instant) {
        self.servers[slot].limit = Some((f64::from(per_minute) / 60.0, until));
    }

    /// Makes a server turn all requests away until an instant.
    pub fn turn_away(&mut self, slot: usize, until: Instant) {
        self.servers[slot].busy_until = Some(until);
    }

    /// Suspends servers until an instant: those from a slot on, around the end of the slots.
    pub fn pause(&mut self, first: usize, count: usize, until: Instant) {
        let slots = self.servers.len();
        for index in 0..count.min(slots) {
            let server = &mut self.servers[(first + index) % slots];
            server.paused_until = server.paused_until.max(Some(until));
        }
    }

    /// Makes servers refuse some requests and write refusals once more until an instant: those
    /// from a slot on, around the end of the slots.
    pub fn repeat_refusals(&mut self, first: usize, count: usize, until: Instant) {
        let slots = self.servers.len();
        for index in 0..count.min(slots) {
            self.servers[(first + index) % slots].repeats_until = Some(until);
        }
    }

    /// Ends the refusals of all servers.
    pub fn end_refusals(&mut self) {
        let servers = self.servers.iter_mut();
        servers.for_each(|server| server.repeats_until = None);
    }

    /// Status with which a server refuses the next request, if it does.
    pub fn next_refusal(&mut self, slot: usize, now: Instant) -> Option<StatusCode> {
        let server = &mut self.servers[slot];
        if !server.repeats_refusals(now) {
            return None;
        }
        server.refusable += 1;
        let number = server.refusable / REFUSED_ONE_IN;
        let is_refused = server.refusable.is_multiple_of(REFUSED_ONE_IN);
        is_refused.then(|| REFUSALS[number % REFUSALS.len()])
    }

    /// Whether a member of a group is suspended, for which its head waits.
    pub fn is_group_paused(&self, membership: &GroupMembership, now: Instant) -> bool {
        membership.members.iter().any(|id| {
            let member = self.servers.iter().find(|server| server.id == *id);
            member.is_some_and(|member| member.is_alive && member.is_paused(now))
        })
    }

    /// Makes a server announce in the store only that it is leaving.
    pub fn drain(&mut self, slot: usize, now: Instant) {
        let server = &mut self.servers[slot];
        server.is_leaving = true;
        server.announces_leaving = false;
        self.checker.borrow_mut().record_drain(&server.id, now);
        self.advance(now);
    }

    /// Stops a server; its store entry stays.
    pub fn stop(&mut self, slot: usize) {
        self.servers[slot].is_alive = false;
    }

    /// Ends a server because of a request that it runs.
    pub fn crash(&mut self, slot: usize) {
        let now = Instant::now();
        let mut checker = self.checker.borrow_mut();
        checker.record_deadly_run(now);
        checker.pause_cut_checks(now + CRASH_SETTLING_TIME);
        drop(checker);
        self.stop(slot);
        self.crashed.push(slot);
    }

    /// Slots of the servers that have crashed since the last call.
    pub fn take_crashed(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.crashed)
    }

    /// Removes a server's store entry and starts another server in its slot.
    pub fn replace(&mut self, slot: usize) {
        let old = &self.servers[slot];
        self.store.borrow_mut().remove("servers", &old.id);
        let mut replacement =
            SoakServer::new(slot, old.incarnation + 1, old.address, old.fabric.clone());
        replacement.repeats_until = old.repeats_until;
        self.servers[slot] = replacement;
    }

    /// Whether every member of a group is alive and has joined this epoch of the group.
    pub fn is_group_intact(&self, membership: &GroupMembership) -> bool {
        membership.members.iter().all(|id| {
            let member = self.servers.iter().find(|server| server.id == *id);
            member.is_some_and(|member| {
                let current = member.membership.as_ref();
                member.is_alive
                    && current.is_some_and(|current| {
                        current.group == membership.group
                            && current.epoch == membership.epoch
                            && current.state != "joining"
                    })
            })
        })
    }

    /// Executes an order; returns the status of the response.
    pub fn order(&mut self, slot: usize, order: &Value, now: Instant) -> StatusCode {
        self.advance(now);
        let status = match order["operation"].as_str().unwrap_or_default() {
            "join" => self.join(slot, order, now),
            "stage" => self.stage(slot, order, now),
            "open" => self.open(slot, order, now),
            "close" => self.close_or_leave(slot, order, false),
            "leave" => self.close_or_leave(slot, order, true),
            _ => StatusCode::BAD_REQUEST,
        };
        if status == StatusCode::ACCEPTED {
            self.servers[slot].sequence += 1;
        }
        self.advance(now);
        status
    }

    fn load_duration(&self, now: Instant) -> Duration {
        if now < self.fast_loads_until {
            LOAD_DURATION / 10
        } else {
            LOAD_DURATION
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
        if epoch < server.highest_epoch {
            return StatusCode::PRECONDITION_FAILED;
        }
        if let Some(membership) = &server.membership {
            let is_same_epoch = membership.group == group && membership.epoch == epoch;
            if is_same_epoch && membership.members == members {
                return StatusCode::OK;
            }
            if is_same_epoch {
                return StatusCode::PRECONDITION_FAILED;
            }
            if membership.group != group && self.is_group_serving(membership) {
                let (id, old) = (&server.id, &membership.group);
                let text =
                    format!("{id} got an order to join {group} while its group {old} serves");
                self.checker.borrow_mut().record_violation(text);
            }
        }
        let load = self.load_duration(now);
        let server = &mut self.servers[slot];
        server.highest_epoch = epoch;
        let duration = if server.loaded_model.as_ref() == Some(&model) {
            REJOIN_DURATION
        } else if server.staged.as_ref() == Some(&model) {
            STAGED_JOIN_DURATION
        } else {
            load + STAGED_JOIN_DURATION
        };
        server.membership = Some(GroupMembership {
            group,
            epoch,
            model,
            members,
            state: "joining",
            transition_at: Some(now + duration),
        });
        StatusCode::ACCEPTED
    }

    /// Whether the head of a member's group serves requests.
    fn is_group_serving(&self, membership: &GroupMembership) -> bool {
        let head = membership.members.first();
        let head = self
            .servers
            .iter()
            .find(|server| Some(&server.id) == head && server.is_alive);
        let current = head.and_then(|head| head.membership.as_ref());
        current.is_some_and(|current| {
            current.group == membership.group
                && current.epoch == membership.epoch
                && current.state == "open"
        })
    }

    fn stage(&mut self, slot: usize, order: &Value, now: Instant) -> StatusCode {
        let model = order["model"].as_str().unwrap_or_default().to_owned();
        let at = now + self.load_duration(now);
        let server = &mut self.servers[slot];
        let is_loading = matches!(&server.staging, Some((_, loading)) if *loading == model);
        if server.staged.as_ref() == Some(&model) || is_loading {
            return StatusCode::OK;
        }
        server.staging = Some((at, model));
        StatusCode::ACCEPTED
    }

    fn open(&mut self, slot: usize, order: &Value, now: Instant) -> StatusCode {
        let Some(membership) = named_membership(&mut self.servers[slot], order) else {
            return StatusCode::CONFLICT;
        };
        if membership.state == "open"
            || membership
                .transition_at
                .is_some_and(|_| membership.state == "ready")
        {
            return StatusCode::OK;
        }
        if membership.state != "ready" {
            return StatusCode::CONFLICT;
        }
        membership.transition_at = Some(now + OPEN_DURATION);
        StatusCode::ACCEPTED
    }

    fn close_or_leave(&mut self, slot: usize, order: &Value, is_leave: bool) -> StatusCode {
        let server = &mut self.servers[slot];
        let Some(membership) = named_membership(server, order) else {
            return StatusCode::CONFLICT;
        };
        if is_leave {
            server.membership = None;
        } else {
            membership.state = "ready";
            membership.transition_at = None;
        }
        StatusCode::ACCEPTED
    }
}

/// Membership that an order names, if the server has it.
fn named_membership<'a>(
    server: &'a mut SoakServer,
    order: &Value,
) -> Option<&'a mut GroupMembership> {
    let membership = server.membership.as_mut()?;
    let is_named =
        order["group"] == json!(membership.group) && order["epoch"] == json!(membership.epoch);
    is_named.then_some(membership)
}
