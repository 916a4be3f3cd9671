//! Emulated plain servers and engines, their groups, and the orders that change them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::StatusCode;
use platform::{ModelShape, SiteShape};
use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::{Value, json};

use super::store::StoreState;
use crate::checker::InvariantChecker;
use crate::shape::{SlotShape, slots};
use crate::trouble::{AnswerForm, FormKind, draw_kind};

/// Time of a join whose model is already in memory.
const REJOIN_DURATION: Duration = Duration::from_millis(100);
/// Longest time of a load, so that a run sees several.
const MAX_LOAD_DURATION: Duration = Duration::from_secs(4);

/// Part of the answers of a server in trouble that have another form.
const TROUBLED_SHARE: f64 = 0.5;
/// Part of the spans of trouble in which all answers of another form are of one kind.
const ONE_KIND_SHARE: f64 = 0.5;
/// Part of the requests that a server runs though their connections have closed.
const PERSISTING_SHARE: f64 = 0.3;

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
    pub shape: SlotShape,
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
    /// Kind of the forms of its answers meanwhile, if they are of one kind.
    form_kind: Option<FormKind>,
    /// Requests that arrived meanwhile.
    refusable: usize,
    /// Number of the server in its slot, and of its start.
    incarnation: u64,
    born: u64,
    sequence: u64,
    staged: Option<String>,
    staging: Option<(Instant, String)>,
    loaded_model: Option<String>,
    highest_epoch: u64,
}

impl SoakServer {
    fn new(slot: usize, incarnation: u64, address: SocketAddr, shape: SlotShape) -> Self {
        Self {
            id: format!("i-{slot}-{incarnation}"),
            shape,
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
            form_kind: None,
            refusable: 0,
            incarnation,
            born: incarnation,
            sequence: 0,
            staged: None,
            staging: None,
            loaded_model: None,
            highest_epoch: 0,
        }
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
        json!({"service": self.shape.service, "address": self.address.to_string(),
            "zone": self.shape.domain, "version": "v1", "slots": self.shape.slots,
            "state": if self.is_leaving { "draining" } else { "ready" }, "born": self.born,
            "domain": self.shape.fabric, "sequence": self.sequence, "staged": self.staged(),
            "group": self.group_json()})
    }

    /// Body of the response to a status request.
    pub fn report(&self) -> Value {
        json!({"stage": "unified", "models": [], "busy": false, "born": self.born,
            "sequence": self.sequence, "staged": self.staged(), "group": self.group_json(),
            "queued": 0, "running": self.running, "pace": 1.0})
    }
}

/// Draws what servers in trouble make of their answers.
pub(crate) struct TroubleSource {
    pub rng: StdRng,
    /// Whether answers are written once more.
    pub with_copies: bool,
}

/// All servers, by slot.
pub(crate) struct Fleet {
    pub servers: Vec<SoakServer>,
    pub site: Rc<SiteShape>,
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
    /// Source of the forms of answers; without one, refusals are only written once more.
    pub trouble: Option<TroubleSource>,
    /// Answers of servers in trouble, by the kind of their form.
    pub forms: BTreeMap<&'static str, u32>,
}

impl Fleet {
    /// Creates the servers of a deployment behind the proxies at these addresses.
    pub fn new(
        site: Rc<SiteShape>,
        addresses: &[SocketAddr],
        store: Rc<RefCell<StoreState>>,
        checker: Rc<RefCell<InvariantChecker>>,
        fast_loads_until: Instant,
    ) -> Self {
        let slots = slots(&site).into_iter().zip(addresses).enumerate();
        let servers =
            slots.map(|(slot, (shape, address))| SoakServer::new(slot, 1, *address, shape));
        Self {
            servers: servers.collect(),
            site,
            checker,
            store,
            fast_loads_until,
            silent_until: None,
            orders_delayed_until: None,
            crashed: Vec::new(),
            trouble: None,
            forms: BTreeMap::new(),
        }
    }

    /// Form of the next answer of a server, if it is in trouble; orders and reports have none.
    pub fn next_form(&mut self, slot: usize, path: &str, now: Instant) -> Option<AnswerForm> {
        let is_repeating = self.servers[slot].repeats_refusals(now);
        let source = self.trouble.as_mut()?;
        if !is_repeating || matches!(path, "/report" | "/order" | "/health") {
            return None;
        }
        let form = if source.rng.random_bool(TROUBLED_SHARE) {
            let kind = self.servers[slot].form_kind;
            let kind = kind.unwrap_or_else(|| draw_kind(&mut source.rng, source.with_copies));
            AnswerForm::draw(&mut source.rng, kind)
        } else {
            AnswerForm::Sound
        };
        *self.forms.entry(form.kind()).or_default() += 1;
        Some(form)
    }

    /// Whether answers are written once more.
    pub fn writes_copies(&self) -> bool {
        let source = self.trouble.as_ref();
        source.is_none_or(|source| source.with_copies)
    }

    /// Whether a server runs a request to its end though its connection has closed.
    pub fn next_persists(&mut self) -> bool {
        let source = self.trouble.as_mut();
        source.is_some_and(|source| source.rng.random_bool(PERSISTING_SHARE))
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
        let source = self.trouble.as_mut();
        let form_kind = source.and_then(|source| {
            let is_of_one_kind = source.rng.random_bool(ONE_KIND_SHARE);
            is_of_one_kind.then(|| draw_kind(&mut source.rng, source.with_copies))
        });
        for index in 0..count.min(slots) {
            let server = &mut self.servers[(first + index) % slots];
            server.repeats_until = Some(until);
            server.form_kind = form_kind;
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
            SoakServer::new(slot, old.incarnation + 1, old.address, old.shape.clone());
        replacement.repeats_until = old.repeats_until;
        replacement.form_kind = old.form_kind;
        self.servers[slot] = replacement;
    }

    /// Starts a server in a slot again under the id that it had.
    pub fn restart(&mut self, slot: usize) {
        let old = &self.servers[slot];
        let mut restarted = SoakServer::new(slot, old.incarnation, old.address, old.shape.clone());
        restarted.born = old.born + 1;
        restarted.repeats_until = old.repeats_until;
        restarted.form_kind = old.form_kind;
        self.servers[slot] = restarted;
    }

    /// Starts servers of each other's services at the addresses of two slots.
    pub fn swap(&mut self, slot: usize, other: usize) {
        for slot in [slot, other] {
            self.replace(slot);
        }
        let shape = self.servers[slot].shape.clone();
        let shape = std::mem::replace(&mut self.servers[other].shape, shape);
        self.servers[slot].shape = shape;
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

    /// Time that a plain server takes for a request with this path.
    pub fn work_of(&self, path: &str) -> Duration {
        let name = path.split('/').nth(1).unwrap_or_default();
        self.site
            .route(name)
            .map_or(Duration::ZERO, |route| route.work)
    }

    fn model(&self, name: &str) -> Option<&ModelShape> {
        self.site.models.iter().find(|model| *model.name == *name)
    }

    /// Number of members of a model's groups.
    pub fn group_size(&self, model: &str) -> usize {
        self.model(model).map_or(0, |model| model.size)
    }

    /// Time to load a model's weights; a tenth before clients send requests.
    fn load_duration(&self, model: &str, now: Instant) -> Duration {
        let load = self.model(model).map_or(Duration::ZERO, |model| model.load);
        let load = load.min(MAX_LOAD_DURATION);
        if now < self.fast_loads_until {
            load / 10
        } else {
            load
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
        let load = self.load_duration(&model, now);
        let warm = self
            .model(&model)
            .map_or(Duration::ZERO, |model| model.warm);
        let server = &mut self.servers[slot];
        server.highest_epoch = epoch;
        let duration = if server.loaded_model.as_ref() == Some(&model) {
            REJOIN_DURATION
        } else if server.staged.as_ref() == Some(&model) {
            warm
        } else {
            load + warm
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
        let at = now + self.load_duration(&model, now);
        let server = &mut self.servers[slot];
        let is_loading = matches!(&server.staging, Some((_, loading)) if *loading == model);
        if server.staged.as_ref() == Some(&model) || is_loading {
            return StatusCode::OK;
        }
        server.staging = Some((at, model));
        StatusCode::ACCEPTED
    }

    fn open(&mut self, slot: usize, order: &Value, now: Instant) -> StatusCode {
        let service = self.site.service(&self.servers[slot].shape.service);
        let form = service.map_or(Duration::ZERO, |service| service.form);
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
        membership.transition_at = Some(now + form);
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
