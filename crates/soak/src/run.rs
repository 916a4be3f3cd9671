//! One run: starts everything, plays the plan, and judges what was seen.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::prelude::ClockSource;
use net::web::{CollectOutcome, WebClient, WebLimits, WebService, bind, empty_body, serve};
use net::{SystemClock, block_on, drain_channel};
use rustix::process::Signal;

use crate::book::{RunBook, Tally};
use crate::clients::{ClientDesk, FrontView, SoakClient};
use crate::nodes::{GRACE_SECONDS, SoakNode};
use crate::options::SoakOptions;
use crate::plan::{Fault, FaultPlan, Link, LinkMode, PlanSize};
use crate::proxy::LinkProxy;
use crate::standin::{Fleet, IntentDesk, ServerDesk, StoreDesk, StoreState};

/// Servers: two plain ones, the rest engines.
const SERVER_COUNT: usize = 14;
/// Clients.
const CLIENT_COUNT: u64 = 6;
/// Time in which everything must serve after the start.
const START_SPAN: Duration = Duration::from_secs(5);
/// Time without faults at the end, in which everything must recover.
const QUIET_SPAN: Duration = Duration::from_secs(9);
/// Last part of it, which is judged.
const JUDGED_SPAN: Duration = Duration::from_secs(3);
/// Part of the requests that must be served then.
const SERVED_PART: f64 = 0.9;
/// Time after a fault in which daemons may be behind.
const TOUCH_SPAN: Duration = Duration::from_secs(3);
/// Time from the death of a server until the list says so.
const LAPSE_SPAN: Duration = Duration::from_millis(2_400);
/// Time for which a leaving server serves on.
const LEAVE_SPAN: Duration = Duration::from_millis(2_600);
/// Pause before an ended daemon is started again.
const RESTART_SPAN: Duration = Duration::from_millis(300);
/// Pause between two looks at the daemons.
const LOOK_PERIOD: Duration = Duration::from_millis(50);
/// Pause between two questions whether a daemon is ready, and time for the answer.
const READY_PERIOD: Duration = Duration::from_millis(500);
/// First of the second parts of the daemons' loopback addresses, and how many there are.
const LOOPBACK_START: u32 = 64;
const LOOPBACK_COUNT: u32 = 64;
/// Third parts of these addresses.
const LOOPBACK_PARTS: u32 = 250;

/// Why a run could not be played.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// Something of the machine failed.
    #[error("{0}; build the daemon first, and free the ports that it names")]
    Machine(#[from] std::io::Error),
}

/// What a run has shown.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Seed.
    pub seed: u64,
    /// Faults played.
    pub faults: usize,
    /// All requests.
    pub all: Tally,
    /// Requests of the last, quiet seconds.
    pub last: Tally,
    /// Broken promises.
    pub breaches: Vec<String>,
    /// Where the daemons' logs are.
    pub logs: PathBuf,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Tally {
            served,
            refused,
            failed,
        } = self.all;
        write!(
            f,
            "seed {}: {} faults; {served} served, {refused} refused, {failed} failed; at the end {} of {}",
            self.seed,
            self.faults,
            self.last.served,
            self.last.served + self.last.refused + self.last.failed,
        )?;
        for breach in &self.breaches {
            write!(f, "\n  broken: {breach}")?;
        }
        if !self.breaches.is_empty() {
            write!(f, "\n  logs: {}", self.logs.display())?;
        }
        Ok(())
    }
}

/// Plays one seed.
pub fn run_seed(options: &SoakOptions, seed: u64) -> Result<SoakReport, SoakError> {
    let logs = options
        .logs
        .join(format!("seed-{seed}-{}", std::process::id()));
    std::fs::create_dir_all(&logs)?;
    let report = block_on(async { Stage::open(options, seed, logs)?.play(options).await })??;
    if report.breaches.is_empty() {
        std::fs::remove_dir_all(&report.logs)?;
    }
    Ok(report)
}

/// Daemon, and what is known of its end.
struct NodeSeat {
    node: SoakNode,
    /// Whether it was asked or made to end.
    is_ending: bool,
    restart_at: Option<Instant>,
    kill_at: Option<Instant>,
    paused_until: Option<Instant>,
}

/// Everything around the daemons.
struct Stage {
    seed: u64,
    logs: PathBuf,
    seats: Vec<NodeSeat>,
    store: Rc<RefCell<StoreState>>,
    fleet: Rc<RefCell<Fleet>>,
    book: Rc<RefCell<RunBook>>,
    intent: IntentDesk,
    store_links: Vec<LinkProxy>,
    node_links: Vec<LinkProxy>,
    server_links: Vec<LinkProxy>,
    /// Links that are opened again.
    mends: Vec<(Instant, Rc<Cell<LinkMode>>)>,
    /// Servers that end, and those that are replaced.
    ends: Vec<(Instant, usize)>,
    replaces: Vec<(Instant, usize)>,
    desk: ClientDesk,
}

/// Serves on a free loopback port.
fn open_service<S: WebService + 'static>(service: S) -> std::io::Result<SocketAddr> {
    let listener = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
    let address = listener.local_addr()?;
    let (switch, watch) = drain_channel();
    monoio::spawn(async move {
        // The service goes on until the run is over.
        let _switch = switch;
        serve(listener, Rc::new(service), WebLimits::default(), watch).await;
    });
    Ok(address)
}

/// Address of a daemon; soaks that run at the same time have different ones.
fn loopback(process: u32, index: usize) -> IpAddr {
    let second = LOOPBACK_START + process / LOOPBACK_PARTS % LOOPBACK_COUNT;
    let third = process % LOOPBACK_PARTS;
    IpAddr::V4(Ipv4Addr::new(
        127,
        second as u8,
        third as u8,
        index as u8 + 1,
    ))
}

fn free_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

impl Stage {
    fn open(options: &SoakOptions, seed: u64, logs: PathBuf) -> Result<Self, SoakError> {
        let now = Instant::now();
        let (store, book) = (Rc::<RefCell<StoreState>>::default(), Rc::default());
        let mut server_links = Vec::new();
        for _ in 0..SERVER_COUNT {
            server_links.push(LinkProxy::open(free_port(), free_port())?);
        }
        let addresses: Vec<_> = server_links.iter().map(|link| link.address).collect();
        let fleet = Fleet::new(
            &addresses,
            store.clone(),
            Rc::clone(&book),
            now + START_SPAN,
        );
        let fleet = Rc::new(RefCell::new(fleet));
        for (slot, link) in server_links.iter().enumerate() {
            let fleet = fleet.clone();
            link.target.set(open_service(ServerDesk { fleet, slot })?);
        }
        let proxies = Rc::new(RefCell::new(HashMap::new()));
        let (mut seats, mut store_links, mut node_links) = (Vec::new(), Vec::new(), Vec::new());
        for index in 0..options.nodes {
            let reader = format!("edge-{index}");
            let (state, proxies) = (store.clone(), proxies.clone());
            let desk = open_service(StoreDesk {
                state,
                reader: reader.clone(),
                proxies: proxies.clone(),
            })?;
            let link = LinkProxy::open(free_port(), desk)?;
            let ip = loopback(std::process::id(), index);
            let node = SoakNode::new(&options.edge, &logs, index, ip, link.address)?;
            store_links.push(link);
            let link = LinkProxy::open(free_port(), node.peers)?;
            proxies.borrow_mut().insert(reader, link.address);
            node_links.push(link);
            seats.push(NodeSeat {
                node,
                is_ending: false,
                restart_at: Some(now),
                kill_at: None,
                paused_until: None,
            });
        }
        let fronts = seats.iter().map(|seat| FrontView {
            front: seat.node.front,
            is_in_rotation: Rc::new(Cell::new(true)),
        });
        let desk = ClientDesk {
            book: Rc::clone(&book),
            fronts: fronts.collect(),
            keys: Rc::default(),
            calm_from: Rc::new(Cell::new(now)),
            started_at: now,
            is_over: Rc::new(Cell::new(false)),
        };
        let mut stage = Self {
            seed,
            logs,
            seats,
            store,
            fleet,
            book,
            intent: IntentDesk::new(),
            store_links,
            node_links,
            server_links,
            mends: Vec::new(),
            ends: Vec::new(),
            replaces: Vec::new(),
            desk,
        };
        for key in stage.intent.keys().to_vec() {
            stage.book.borrow_mut().give_key(&key, now);
            stage.desk.keys.borrow_mut().push(key);
        }
        stage.publish();
        Ok(stage)
    }

    fn publish(&mut self) {
        let text = self.intent.publish();
        self.store.borrow_mut().put("config", "main", text);
    }

    async fn play(mut self, options: &SoakOptions) -> Result<SoakReport, SoakError> {
        let started = Instant::now();
        self.watch_fronts();
        self.run_until(started + START_SPAN).await?;
        let period = Duration::from_millis(1_000 * CLIENT_COUNT / options.rate.max(1));
        for name in 0..CLIENT_COUNT {
            let client = SoakClient::new(self.desk.clone(), self.seed, name);
            monoio::spawn(client.send_all(period));
        }
        let size = PlanSize {
            nodes: options.nodes,
            servers: SERVER_COUNT,
        };
        let plan = FaultPlan::draw(self.seed, options.span(), size);
        let begin = Instant::now();
        for step in &plan.steps {
            self.run_until(begin + step.at).await?;
            self.strike(step.fault)?;
        }
        self.run_until(begin + options.span()).await?;
        self.heal();
        self.strike(Fault::Revoke)?;
        let end = Instant::now() + QUIET_SPAN;
        self.run_until(end).await?;
        self.desk.is_over.set(true);
        Ok(self.judge(plan.steps.len(), end))
    }

    /// Looks after daemons, servers and links until an instant.
    async fn run_until(&mut self, end: Instant) -> Result<(), SoakError> {
        loop {
            let now = Instant::now();
            for index in 0..self.seats.len() {
                self.look_after(index, now)?;
            }
            for mode in take_due(&mut self.mends, now) {
                mode.set(LinkMode::Open);
            }
            for slot in take_due(&mut self.ends, now) {
                self.end_server(slot, now);
            }
            for slot in take_due(&mut self.replaces, now) {
                self.fleet.borrow_mut().replace(slot);
                self.server_links[slot].mode.set(LinkMode::Open);
            }
            self.fleet.borrow_mut().settle(now);
            if now >= end {
                return Ok(());
            }
            monoio::time::sleep(LOOK_PERIOD.min(end - now)).await;
        }
    }

    fn look_after(&mut self, index: usize, now: Instant) -> Result<(), SoakError> {
        let seat = &mut self.seats[index];
        let is_due = |at: &mut Option<Instant>| at.take_if(|at| *at <= now).is_some();
        if is_due(&mut seat.paused_until) {
            seat.node.signal(Signal::CONT);
        }
        if is_due(&mut seat.kill_at) {
            seat.node.signal(Signal::KILL);
        }
        if !seat.node.has_ended() {
            return Ok(());
        }
        if seat.restart_at.is_none() {
            if !seat.is_ending {
                let text = format!("{} ended by itself", seat.node.name);
                self.book.borrow_mut().breach(text);
            }
            seat.restart_at = Some(now + RESTART_SPAN);
        }
        if is_due(&mut seat.restart_at) {
            seat.is_ending = false;
            seat.kill_at = None;
            seat.paused_until = None;
            seat.node.start()?;
        }
        Ok(())
    }

    /// Asks each daemon again and again whether it is ready, as the platform does.
    fn watch_fronts(&self) {
        for (seat, view) in self.seats.iter().zip(&self.desk.fronts) {
            let (ready, view) = (seat.node.ready, view.clone());
            let is_over = self.desk.is_over.clone();
            monoio::spawn(async move {
                let clock = Rc::new(SystemClock::default());
                let mut misses = 0;
                while !is_over.get() {
                    monoio::time::sleep(READY_PERIOD).await;
                    let deadline = clock.now() + READY_PERIOD;
                    let request = http::Request::get("/readyz").body(empty_body());
                    let request = request.expect("the request is well formed");
                    let web = WebClient::new(clock.clone());
                    let asked = web.collect(ready, request, 1_024, deadline).await;
                    let is_ready =
                        matches!(asked, CollectOutcome::Response(parts, _) if parts.status == 200);
                    misses = if is_ready { 0 } else { misses + 1 };
                    view.is_in_rotation.set(misses < 2);
                }
            });
        }
    }

    /// Plays one fault.
    fn strike(&mut self, fault: Fault) -> Result<(), SoakError> {
        let now = Instant::now();
        let mut disturbed_until = now;
        match fault {
            Fault::Kill(node) => self.end_node(node, Signal::KILL),
            Fault::KillAll => {
                (0..self.seats.len()).for_each(|node| self.end_node(node, Signal::KILL))
            }
            Fault::Stop(node) => {
                self.end_node(node, Signal::TERM);
                self.seats[node].kill_at = Some(now + Duration::from_secs(GRACE_SECONDS));
            }
            Fault::Pause(node, span) => {
                self.seats[node].node.signal(Signal::STOP);
                self.seats[node].paused_until = Some(now + span);
                disturbed_until = now + span;
            }
            Fault::Reload(node) => self.seats[node].node.signal(Signal::HUP),
            Fault::Link(link, mode, span) => {
                let link = match link {
                    Link::Store(node) => &self.store_links[node],
                    Link::Node(node) => &self.node_links[node],
                    Link::Server(slot) => &self.server_links[slot],
                };
                link.mode.set(mode);
                self.mends.push((now + span, link.mode.clone()));
                disturbed_until = now + span;
            }
            Fault::StoreBusy(span) => {
                self.store.borrow_mut().busy_until = Some(now + span);
                disturbed_until = now + span;
            }
            Fault::StoreLoses(span) => {
                self.store.borrow_mut().loses_until = Some(now + span);
                disturbed_until = now + span;
            }
            Fault::StoreForgets => self.store.borrow_mut().forget(),
            Fault::Crash(slot) => self.end_server(slot, now),
            Fault::Leave(slot) => {
                self.fleet.borrow_mut().servers[slot].is_leaving = true;
                self.ends.push((now + LEAVE_SPAN, slot));
            }
            Fault::LateOrders(span) => {
                self.fleet.borrow_mut().late_until = Some(now + span);
                disturbed_until = now + span;
            }
            Fault::Configure => {
                self.intent.add_route();
                self.publish();
            }
            Fault::Revoke => {
                let (gone, fresh) = self.intent.replace_key();
                self.publish();
                let mut book = self.book.borrow_mut();
                book.take_key(&gone, now);
                book.give_key(&fresh, now);
                drop(book);
                // Clients learn of the new key once it is in force everywhere.
                let keys = self.desk.keys.clone();
                monoio::spawn(async move {
                    monoio::time::sleep(TOUCH_SPAN).await;
                    keys.borrow_mut().push(fresh);
                });
            }
        }
        let is_harmless = matches!(fault, Fault::Configure | Fault::Revoke);
        if !is_harmless {
            let calm = (disturbed_until + TOUCH_SPAN).max(self.desk.calm_from.get());
            self.desk.calm_from.set(calm);
        }
        Ok(())
    }

    fn end_node(&mut self, node: usize, signal: Signal) {
        let seat = &mut self.seats[node];
        seat.is_ending = true;
        if signal == Signal::TERM {
            // A paused process would not hear it.
            seat.node.signal(Signal::CONT);
        }
        seat.node.signal(signal);
    }

    /// A server falls silent; the list drops it later, and another one comes.
    fn end_server(&mut self, slot: usize, now: Instant) {
        if !self.fleet.borrow().servers[slot].is_alive {
            return;
        }
        self.fleet.borrow_mut().end(slot);
        self.server_links[slot].mode.set(LinkMode::Silent);
        self.replaces.push((now + LAPSE_SPAN, slot));
    }

    /// Ends all faults that last.
    fn heal(&mut self) {
        let now = Instant::now();
        for seat in &mut self.seats {
            seat.paused_until = seat.paused_until.map(|_| now);
        }
        for (at, _) in &mut self.mends {
            *at = now;
        }
        let mut store = self.store.borrow_mut();
        store.busy_until = None;
        store.loses_until = None;
        self.fleet.borrow_mut().late_until = None;
    }

    fn judge(self, faults: usize, end: Instant) -> SoakReport {
        let judged = end - JUDGED_SPAN;
        let second = judged.duration_since(self.desk.started_at).as_secs();
        let mut book = self.book.borrow_mut();
        let last = book.tally_from(second);
        let all = last.served + last.refused + last.failed;
        if f64::from(last.served) < f64::from(all.max(1)) * SERVED_PART {
            book.breach(format!(
                "{} of {all} requests were served at the end",
                last.served
            ));
        }
        SoakReport {
            seed: self.seed,
            faults,
            all: book.tally_from(0),
            last,
            breaches: book.breaches().to_vec(),
            logs: self.logs.clone(),
        }
    }
}

/// Takes out what is due.
fn take_due<T>(waiting: &mut Vec<(Instant, T)>, now: Instant) -> Vec<T> {
    let due = waiting.extract_if(.., |(at, _)| *at <= now);
    due.map(|(_, value)| value).collect()
}
