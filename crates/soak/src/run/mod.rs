//! One run: starts the daemons and their environment, injects the planned
//! faults, and evaluates the outcome.

mod inject;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::prelude::ClockSource;
use intent::CallKind;
use net::web::{CollectOutcome, WebClient, WebLimits, WebService, bind, empty_body, serve};
use net::{SystemClock, block_on_closing, drain_channel};
use platform::SiteShape;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rustix::process::Signal;

use crate::addresses::{free_port, loopback, next_run};
use crate::callers::{RouteKind, SiteCallers};
use crate::checker::{AnswerRule, CutTries, InvariantChecker, JudgedTally, PromiseTally, Tally};
use crate::clients::{ClientContext, ClientLoad, EntryHost, SteadyClients};
use crate::copies::CopyTap;
use crate::exchanges::{CopyEvidence, CopyTally};
use crate::nodes::SoakNode;
use crate::options::SoakOptions;
use crate::plan::{Fault, FaultPlan, LinkMode, PlanSize, SitePlanSize};
use crate::platform::{
    ConfigPublisher, Fleet, ServerService, StoreService, StoreState, TroubleSource,
};
use crate::proxy::LinkProxy;
use crate::shape::{built_in, slots};

/// Time for everything to serve before clients send requests; weights load faster during it.
const STARTUP_DURATION: Duration = Duration::from_secs(5);
/// The same in a site's shape, with more engines.
const SITE_STARTUP_DURATION: Duration = Duration::from_secs(9);
/// Time from the start for which streams of a site's run may be cut: all of it.
const SITE_RUN_DURATION: Duration = Duration::from_secs(3_600);
/// Time without faults at the end of a run, for the system to recover.
const RECOVERY_DURATION: Duration = Duration::from_secs(9);
/// Last part of the recovery time, in which enough requests must be served.
const EVALUATION_WINDOW: Duration = Duration::from_secs(3);
/// Most memory that a daemon may take: half of the 260 MB of an entry host.
const MAX_MEMORY_KB: u64 = 130_000;
/// Part of the requests in the evaluation window that must be served.
const MIN_SERVED_RATIO: f64 = 0.9;
/// Longest time after a fault or a change until every daemon has the current state.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(3);
/// Time from the stop of a server until its entry leaves the store and another one replaces it.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(2_400);
/// Time from the crash of a server by a request until another one replaces it.
const CRASH_DURATION: Duration = Duration::from_millis(800);
/// Time for which a leaving server continues to serve.
const LEAVE_DURATION: Duration = Duration::from_millis(2_600);
/// Time for which a server that announces its leaving in the store only continues to serve.
const DRAIN_DURATION: Duration = Duration::from_millis(6_000);
/// Time from the store's return from a copy until the servers write their entries again.
const REWRITE_DELAY: Duration = Duration::from_millis(1_000);
/// Delay before a daemon that has exited is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Interval between two checks of daemons, servers and links.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two readiness probes of a daemon, and timeout of a probe.
const READY_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Reason that a run could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A process, file or socket could not be used.
    #[error("{0}; check that the daemon is built and that its ports are free")]
    Io(#[from] std::io::Error),
}

/// Results of a run.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Seed of the run.
    pub seed: u64,
    /// Number of injected faults.
    pub faults: usize,
    /// Outcomes of all requests.
    pub all: Tally,
    /// Outcomes in the evaluation window at the end.
    pub last: Tally,
    /// First tries while daemons were partitioned from all servers.
    pub cut: CutTries,
    /// Longest time that this process, which emulates all else, was late: in the whole run and in
    /// the evaluation window.
    pub own_lag: (Duration, Duration),
    /// Invariant violations.
    pub violations: Vec<String>,
    /// Requests that may run once only.
    pub promises: PromiseTally,
    /// Arrivals of requests at servers by way of another daemon than the one that their client
    /// used.
    pub passed_on: u32,
    /// Responses that servers wrote once more.
    pub copies: CopyTally,
    /// Requests that ran twice, or though they were reported as not run, with their histories.
    pub broken_requests: Vec<(CopyEvidence, String)>,
    /// Daemons with the ids of the processes that were started for them.
    pub processes: Vec<(Arc<str>, Vec<u32>)>,
    /// Rules about answers that were broken, and the requests.
    pub broken_rules: Vec<(AnswerRule, String)>,
    /// What was judged.
    pub judged: JudgedTally,
    /// Answers of servers in trouble by their form, in a site's shape.
    pub forms: BTreeMap<&'static str, u32>,
    /// Directory of the daemons' logs.
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
            "seed {}: {} faults; {served} served, {refused} refused, {failed} failed; {} of {} served in the evaluation window",
            self.seed,
            self.faults,
            self.last.served,
            self.last.served + self.last.refused + self.last.failed,
        )?;
        let (all, last) = self.own_lag;
        write!(
            f,
            "; the emulation was late by {} ms at most, {} ms in that window",
            all.as_millis(),
            last.as_millis()
        )?;
        let CopyTally {
            written,
            without_id,
            of_same_id,
        } = self.copies;
        write!(
            f,
            "; {written} responses written again, {without_id} of them to orders and reports, {of_same_id} to their own request"
        )?;
        let promises = self.promises;
        write!(
            f,
            "; {} once-only requests, {} refusals of them, {} runs, {} refused after a run, {} run after a refusal, {} run again; {} arrivals passed on",
            promises.requests,
            promises.refusals,
            promises.runs,
            promises.refused_after_run,
            promises.run_after_refusal,
            promises.repeated_runs,
            self.passed_on,
        )?;
        if !self.forms.is_empty() {
            self.write_judged(f)?;
        }
        for violation in &self.violations {
            write!(f, "\n  violation: {violation}")?;
        }
        for (evidence, history) in &self.broken_requests {
            write!(f, "\n  history, {evidence}:{history}")?;
        }
        if !self.violations.is_empty() {
            for (name, ids) in &self.processes {
                write!(f, "\n  processes of {name}: {ids:?}")?;
            }
            write!(f, "\n  logs: {}", self.logs.display())?;
        }
        Ok(())
    }
}

impl SoakReport {
    /// Number of requests for which a rule about answers was broken.
    pub fn broken(&self, rule: AnswerRule) -> usize {
        let rules = self.broken_rules.iter();
        rules.filter(|(broken, _)| *broken == rule).count()
    }

    fn write_judged(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let JudgedTally {
            once_only,
            changing,
            runs,
            refusals,
            server_refusals,
        } = self.judged;
        write!(
            f,
            "\n  judged: {once_only} once-only requests ({changing} of them not, as their route changed), {runs} runs, {refusals} refusals to clients, {server_refusals} failures of servers;"
        )?;
        for rule in [AnswerRule::Refused, AnswerRule::Twice, AnswerRule::Mixed] {
            write!(f, " {rule} {}", self.broken(rule))?;
        }
        f.write_str("\n  answers of servers in trouble:")?;
        for (form, count) in &self.forms {
            write!(f, " {form} {count};")?;
        }
        Ok(())
    }
}

/// Runs the soak with the fault plan of a seed.
pub fn run_seed(options: &SoakOptions, seed: u64) -> Result<SoakReport, SoakError> {
    let size = PlanSize {
        nodes: options.nodes,
        servers: slots(&built_in(options.nodes)).len(),
    };
    let plan = FaultPlan::of_kind(options.plan, seed, options.fault_duration(), size);
    run_plan(options, seed, &plan)
}

/// Runs the soak in the shape and load of a site, with the fault plan of a seed.
pub fn run_site(
    options: &SoakOptions,
    site: &SiteShape,
    seed: u64,
) -> Result<SoakReport, SoakError> {
    let slots = slots(site);
    let routes_of = |kind: CallKind| {
        let routes = site.routes.iter().enumerate();
        let routes = routes.filter(|(_, route)| route.kind == kind);
        routes.map(|(index, _)| index).collect()
    };
    let size = SitePlanSize {
        nodes: site.nodes.len(),
        plain: slots.iter().filter(|slot| !slot.is_engine).count(),
        servers: slots.len(),
        idempotent: routes_of(CallKind::Idempotent),
        once_only: routes_of(CallKind::OnceOnly),
    };
    let plan = FaultPlan::for_site(seed, options.fault_duration(), &size);
    let site = Rc::new(site.clone());
    let setup = RunSetup {
        clients: Box::new(SiteCallers { site: site.clone() }),
        site,
        startup: SITE_STARTUP_DURATION,
        trouble: Some(TroubleSource {
            rng: StdRng::seed_from_u64(seed),
            with_copies: !options.without_copies,
        }),
    };
    run(options, setup, seed, &plan)
}

/// Runs the soak with a given fault plan; the seed is that of the clients' requests.
pub fn run_plan(
    options: &SoakOptions,
    seed: u64,
    plan: &FaultPlan,
) -> Result<SoakReport, SoakError> {
    let setup = RunSetup {
        site: Rc::new(built_in(options.nodes)),
        clients: Box::new(SteadyClients { rate: options.rate }),
        startup: STARTUP_DURATION,
        trouble: None,
    };
    run(options, setup, seed, plan)
}

/// Deployment to run and its clients.
struct RunSetup {
    site: Rc<SiteShape>,
    clients: Box<dyn ClientLoad>,
    startup: Duration,
    /// Source of the answers of servers in trouble, in a site's shape.
    trouble: Option<TroubleSource>,
}

fn run(
    options: &SoakOptions,
    setup: RunSetup,
    seed: u64,
    plan: &FaultPlan,
) -> Result<SoakReport, SoakError> {
    let logs = options
        .logs
        .join(format!("seed-{seed}-{}", std::process::id()));
    std::fs::create_dir_all(&logs)?;
    let report = block_on_closing(async {
        let run = SoakRun::start(options, setup, seed, logs)?;
        run.execute(options, plan).await
    })??;
    if report.violations.is_empty() {
        std::fs::remove_dir_all(&report.logs)?;
    }
    Ok(report)
}

/// Daemon with its scheduled signals and restart.
struct SupervisedNode {
    node: SoakNode,
    /// Whether a signal was sent that ends the process.
    is_stopping: bool,
    restart_at: Option<Instant>,
    kill_at: Option<Instant>,
    paused_until: Option<Instant>,
}

/// Daemons under test and their emulated environment.
struct SoakRun {
    seed: u64,
    site: Rc<SiteShape>,
    clients: Box<dyn ClientLoad>,
    startup: Duration,
    logs: PathBuf,
    nodes: Vec<SupervisedNode>,
    store: Rc<RefCell<StoreState>>,
    fleet: Rc<RefCell<Fleet>>,
    checker: Rc<RefCell<InvariantChecker>>,
    config: ConfigPublisher,
    /// Newest version of the configuration.
    config_text: serde_json::Value,
    store_links: Vec<LinkProxy>,
    node_links: Vec<LinkProxy>,
    server_links: Vec<LinkProxy>,
    /// From each daemon to each server.
    daemon_server_links: Vec<Vec<LinkProxy>>,
    /// Links to open again.
    link_repairs: Vec<(Instant, Rc<Cell<LinkMode>>)>,
    /// How late this process was, at each moment at which it was.
    own_lags: Vec<(Instant, Duration)>,
    /// End of the store's silence.
    store_returns_at: Option<Instant>,
    // Servers to stop and to replace.
    server_stops: Vec<(Instant, usize)>,
    server_replacements: Vec<(Instant, usize)>,
    client_context: ClientContext,
}

/// Serves on a free loopback port; returns its address.
fn open_service<S: WebService + 'static>(service: S) -> std::io::Result<SocketAddr> {
    let listener = bind(free_port())?;
    let address = listener.local_addr()?;
    let (signal, watch) = drain_channel();
    net::spawn(async move {
        // The service ends when the signal is dropped, so it is kept until the end of the run.
        let _signal = signal;
        serve(listener, Rc::new(service), WebLimits::default(), watch).await;
    });
    Ok(address)
}

impl SoakRun {
    fn start(
        options: &SoakOptions,
        setup: RunSetup,
        seed: u64,
        logs: PathBuf,
    ) -> Result<Self, SoakError> {
        let now = Instant::now();
        let RunSetup {
            site,
            clients,
            startup,
            trouble,
        } = setup;
        let checker = InvariantChecker::for_daemons(site.nodes.len());
        let checker = Rc::new(RefCell::new(checker));
        let store = Rc::<RefCell<StoreState>>::default();
        let mut server_links = Vec::new();
        for _ in slots(&site) {
            server_links.push(LinkProxy::listen(free_port(), free_port())?);
        }
        let addresses: Vec<_> = server_links.iter().map(|link| link.address).collect();
        let mut fleet = Fleet::new(
            site.clone(),
            &addresses,
            store.clone(),
            Rc::clone(&checker),
            now + startup,
        );
        fleet.trouble = trouble;
        let is_judged_only = fleet.trouble.is_some();
        let fleet = Rc::new(RefCell::new(fleet));
        for (slot, link) in server_links.iter().enumerate() {
            let fleet = fleet.clone();
            link.target
                .set(open_service(ServerService { fleet, slot })?);
        }
        let proxies = Rc::new(RefCell::new(HashMap::new()));
        let run = next_run();
        let (mut nodes, mut store_links, mut node_links) = (Vec::new(), Vec::new(), Vec::new());
        let mut daemon_server_links = Vec::new();
        for index in 0..site.nodes.len() {
            let reader = format!("edge-{index}");
            let (state, proxies) = (store.clone(), proxies.clone());
            let mut links = Vec::new();
            for (slot, address) in addresses.iter().enumerate() {
                let tap = Rc::new(CopyTap {
                    fleet: fleet.clone(),
                    daemon: index,
                    slot,
                });
                links.push(LinkProxy::listen_with_tap(
                    free_port(),
                    *address,
                    Some(tap),
                )?);
            }
            let own_addresses = links.iter().map(|link| link.address);
            let address = open_service(StoreService {
                state,
                reader: reader.clone(),
                proxies: proxies.clone(),
                server_proxies: addresses.iter().copied().zip(own_addresses).collect(),
            })?;
            daemon_server_links.push(links);
            let link = LinkProxy::listen(free_port(), address)?;
            let ip = loopback(std::process::id(), run, index);
            let node = SoakNode::new(&options.edge, &logs, index, ip, link.address, &site)?;
            store_links.push(link);
            let link = LinkProxy::listen(free_port(), node.peer_address)?;
            proxies.borrow_mut().insert(reader, link.address);
            node_links.push(link);
            nodes.push(SupervisedNode {
                node,
                is_stopping: false,
                restart_at: Some(now),
                kill_at: None,
                paused_until: None,
            });
        }
        let entry_hosts = nodes
            .iter()
            .enumerate()
            .map(|(index, supervised)| EntryHost {
                index,
                domain: supervised.node.shape.domain.clone(),
                client_address: supervised.node.client_address,
                is_in_rotation: Rc::new(Cell::new(true)),
                cut: Rc::default(),
            });
        let kinds = site.routes.iter().map(|route| RouteKind::new(route.kind));
        let client_context = ClientContext {
            checker: Rc::clone(&checker),
            entry_hosts: entry_hosts.collect(),
            keys: Rc::default(),
            strict_from: Rc::new(Cell::new(now)),
            started_at: now,
            repeating_clients: options.repeating_clients,
            route_kinds: Rc::new(RefCell::new(kinds.collect())),
            is_finished: Rc::new(Cell::new(false)),
        };
        if is_judged_only {
            let mut checker = checker.borrow_mut();
            checker.pause_cut_checks(now + SITE_RUN_DURATION);
            checker.pause_drain_checks(now + SITE_RUN_DURATION);
        }
        let mut run = Self {
            seed,
            site: site.clone(),
            clients,
            startup,
            logs,
            nodes,
            store,
            fleet,
            checker,
            config: ConfigPublisher::new(site),
            config_text: serde_json::Value::Null,
            store_links,
            node_links,
            server_links,
            daemon_server_links,
            link_repairs: Vec::new(),
            own_lags: Vec::new(),
            store_returns_at: None,
            server_stops: Vec::new(),
            server_replacements: Vec::new(),
            client_context,
        };
        for key in run.config.keys().to_vec() {
            run.checker.borrow_mut().issue_key(&key, now);
            run.client_context.keys.borrow_mut().push(key);
        }
        run.publish_config();
        Ok(run)
    }

    /// Whether only the answers and runs of requests are judged, as in a site's shape.
    fn is_judged_only(&self) -> bool {
        self.fleet.borrow().trouble.is_some()
    }

    fn publish_config(&mut self) {
        self.config_text = self.config.next_version();
        self.write_config();
    }

    fn write_config(&self) {
        let text = self.config_text.clone();
        self.store.borrow_mut().put("config", "main", text);
    }

    /// Restores the store if that is due. The operator writes the configuration again at once,
    /// the servers their entries a while later.
    fn restore_store(&mut self, now: Instant) {
        if self.store.borrow_mut().restore_if_due(now) {
            self.write_config();
            self.fleet.borrow_mut().silence(now + REWRITE_DELAY);
        }
        self.store.borrow_mut().copy(now);
    }

    async fn execute(
        mut self,
        options: &SoakOptions,
        plan: &FaultPlan,
    ) -> Result<SoakReport, SoakError> {
        let started = Instant::now();
        self.probe_readiness();
        self.run_until(started + self.startup).await?;
        self.clients.start(&self.client_context, self.seed);
        let faults_start = Instant::now();
        for step in &plan.steps {
            self.run_until(faults_start + step.at).await?;
            self.inject(step.fault)?;
        }
        self.run_until(faults_start + options.fault_duration())
            .await?;
        self.end_faults();
        if !self.is_judged_only() {
            self.inject(Fault::RevokeKey)?;
        }
        let end = Instant::now() + RECOVERY_DURATION;
        self.run_until(end).await?;
        self.client_context.is_finished.set(true);
        Ok(self.evaluate(plan.steps.len(), end))
    }

    /// Carries out scheduled changes of daemons, servers and links until an instant.
    async fn run_until(&mut self, end: Instant) -> Result<(), SoakError> {
        loop {
            let now = Instant::now();
            for index in 0..self.nodes.len() {
                self.supervise_node(index, now)?;
            }
            for mode in take_due(&mut self.link_repairs, now) {
                mode.set(LinkMode::Open);
            }
            if self.store_returns_at.take_if(|at| *at <= now).is_some() {
                self.return_store();
            }
            for slot in take_due(&mut self.server_stops, now) {
                self.stop_server(slot, now);
            }
            for slot in take_due(&mut self.server_replacements, now) {
                self.fleet.borrow_mut().replace(slot);
                self.server_links[slot].mode.set(LinkMode::Open);
            }
            let crashed = self.fleet.borrow_mut().take_crashed();
            for slot in crashed {
                self.server_links[slot].mode.set(LinkMode::Reset);
                self.server_replacements.push((now + CRASH_DURATION, slot));
            }
            self.restore_store(now);
            self.fleet.borrow_mut().advance(now);
            if now >= end {
                return Ok(());
            }
            let delay = POLL_INTERVAL.min(end - now);
            monoio::time::sleep(delay).await;
            let lag = now.elapsed().saturating_sub(delay);
            if lag >= POLL_INTERVAL {
                self.own_lags.push((now, lag));
            }
        }
    }

    /// Ends the store's silence; connections of that time stay silent.
    fn return_store(&self) {
        for link in &self.store_links {
            link.hang_connections();
            link.mode.set(LinkMode::Open);
        }
    }

    fn supervise_node(&mut self, index: usize, now: Instant) -> Result<(), SoakError> {
        let supervised = &mut self.nodes[index];
        let is_due = |at: &mut Option<Instant>| at.take_if(|at| *at <= now).is_some();
        if is_due(&mut supervised.paused_until) {
            supervised.node.signal(Signal::CONT);
        }
        if is_due(&mut supervised.kill_at) {
            supervised.node.signal(Signal::KILL);
        }
        if !supervised.node.has_exited() {
            return Ok(());
        }
        if supervised.restart_at.is_none() {
            if !supervised.is_stopping {
                let text = format!("{} exited without being stopped", supervised.node.name);
                self.checker.borrow_mut().record_violation(text);
            }
            supervised.restart_at = Some(now + RESTART_DELAY);
        }
        if is_due(&mut supervised.restart_at) {
            supervised.is_stopping = false;
            supervised.kill_at = None;
            supervised.paused_until = None;
            supervised.node.start()?;
        }
        Ok(())
    }

    /// Probes the readiness of every daemon, as the platform does: two failed probes
    /// in a row take it out of rotation, one successful probe puts it back.
    fn probe_readiness(&self) {
        for (supervised, host) in self.nodes.iter().zip(&self.client_context.entry_hosts) {
            let (ready, host) = (supervised.node.ready_address, host.clone());
            let is_finished = self.client_context.is_finished.clone();
            net::spawn(async move {
                let clock = Rc::new(SystemClock::default());
                let mut failures = 0;
                while !is_finished.get() {
                    monoio::time::sleep(READY_PROBE_INTERVAL).await;
                    let deadline = clock.now() + READY_PROBE_INTERVAL;
                    let request = http::Request::get("/readyz").body(empty_body());
                    let request = request.expect("the request is well formed");
                    let web = WebClient::new(clock.clone());
                    let outcome = web.collect(ready, request, 1_024, deadline).await;
                    let is_ready = matches!(outcome, CollectOutcome::Response(parts, _) if parts.status == 200);
                    failures = if is_ready { 0 } else { failures + 1 };
                    host.is_in_rotation.set(failures < 2);
                }
            });
        }
    }

    fn evaluate(self, faults: usize, end: Instant) -> SoakReport {
        let window_start = end - EVALUATION_WINDOW;
        let second = window_start
            .duration_since(self.client_context.started_at)
            .as_secs();
        let mut checker = self.checker.borrow_mut();
        let last = checker.tally_from(second);
        let all = last.served + last.refused + last.failed;
        if !self.is_judged_only()
            && f64::from(last.served) < f64::from(all.max(1)) * MIN_SERVED_RATIO
        {
            checker.record_violation(format!(
                "only {} of {all} requests were served in the evaluation window",
                last.served
            ));
        }
        for supervised in &self.nodes {
            let peak_kb = supervised.node.peak_memory_kb().unwrap_or_default();
            if peak_kb > MAX_MEMORY_KB {
                let name = &supervised.node.name;
                checker.record_violation(format!("{name} took {peak_kb} kB of memory"));
            }
        }
        checker.check_cuts();
        let longest_lag = |since: Instant| {
            let lags = self.own_lags.iter().filter(|(at, _)| *at >= since);
            lags.map(|(_, lag)| *lag).max().unwrap_or_default()
        };
        let started_at = self.client_context.started_at;
        let broken_requests = checker.broken_requests().into_iter();
        let broken_requests = broken_requests.map(|(id, evidence)| {
            let history = checker.exchanges.history(id, started_at);
            let way = if checker.exchanges.was_passed_on(id) {
                ", passed on by another daemon"
            } else {
                ""
            };
            (evidence, format!(" {id}{way}{history}"))
        });
        let processes = self.nodes.iter().map(|supervised| {
            let node = &supervised.node;
            (Arc::from(&*node.name), node.process_ids.clone())
        });
        SoakReport {
            promises: checker.promises(),
            passed_on: checker.exchanges.passed_on(),
            copies: checker.exchanges.copies(),
            processes: processes.collect(),
            broken_requests: broken_requests.collect(),
            broken_rules: checker.broken_rules().iter().cloned().collect(),
            judged: checker.judged(),
            forms: self.fleet.borrow().forms.clone(),
            own_lag: (longest_lag(started_at), longest_lag(window_start)),
            seed: self.seed,
            faults,
            cut: checker.cut_tries(),
            all: checker.tally_from(0),
            last,
            violations: checker.violations().to_vec(),
            logs: self.logs.clone(),
        }
    }
}

/// Removes and returns the values that are due.
fn take_due<T>(scheduled: &mut Vec<(Instant, T)>, now: Instant) -> Vec<T> {
    let due = scheduled.extract_if(.., |(at, _)| *at <= now);
    due.map(|(_, value)| value).collect()
}
