//! Discrete event simulation of several ledgers with one store, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use base::prelude::*;
use hdrhistogram::Histogram;
use ledger::{
    CallKey, CallVerdict, EpochRead, FinishedCall, LedgerEffect, LedgerEpoch, LedgerSettings,
    LedgerState, RecordedBody, RecordedResponse, RequestDigest, ShardContents, ShardId, ShardRead,
    StartRequest,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use store::UpdateOutcome;

/// Time that the endpoint takes to respond to a call.
const ENDPOINT_TIME: Duration = Duration::from_millis(50);
/// Time for which a caller waits for a response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after the last arrival in which open calls may end.
const DRAIN_DURATION: Duration = Duration::from_secs(20);

/// Parameters of one simulation.
#[derive(Clone, Debug)]
pub struct SimulationCase {
    /// Number of entry hosts.
    pub nodes: usize,
    /// Non-idempotent calls per second over all nodes.
    pub rate: f64,
    /// Round-trip time of a call to the store.
    pub latency: Duration,
    /// Settings of every ledger.
    pub settings: LedgerSettings,
    /// Whether all calls of a shard go to one node.
    pub affinity: bool,
    /// Time during which calls arrive.
    pub duration: Duration,
    /// Seed of the arrivals and keys.
    pub seed: u64,
}

/// Results of one simulation.
#[derive(Debug)]
pub struct SimulationReport {
    /// Calls that arrived.
    pub calls: u64,
    /// Calls with a response of the endpoint.
    pub answered: u64,
    /// Calls reported as not run.
    pub not_run: u64,
    /// Calls reported as still running or with an unknown outcome.
    pub unclear: u64,
    /// Updates sent to the store.
    pub writes: u64,
    /// Updates that conflicted.
    pub conflicts: u64,
    /// Reads sent to the store.
    pub reads: u64,
    /// Microseconds from a call's arrival until its record is stored.
    pub record_latencies: Histogram<u64>,
    /// Microseconds from a call's arrival to its response.
    pub response_latencies: Histogram<u64>,
}

#[derive(Debug)]
enum SimulationEvent {
    Arrival,
    AccessStore(usize, LedgerEffect),
    ShardResult(usize, ShardId, ShardRead),
    ShardWritten(usize, ShardId, UpdateOutcome),
    EpochResult(usize, EpochRead),
    EpochWritten(usize, UpdateOutcome),
    EndpointResponse(usize, CallId),
    Wake(usize),
}

struct Simulation<'a> {
    case: &'a SimulationCase,
    now: ClockTime,
    end: ClockTime,
    queue: BinaryHeap<Reverse<(ClockTime, u64)>>,
    events: HashMap<u64, SimulationEvent>,
    next_event: u64,
    next_call: u64,
    nodes: Vec<LedgerState>,
    scheduled_wakes: Vec<Option<ClockTime>>,
    objects: BTreeMap<ShardId, (ObjectVersion, Arc<ShardContents>)>,
    epoch: (ObjectVersion, LedgerEpoch),
    version: ObjectVersion,
    arrived_at: HashMap<CallId, ClockTime>,
    rng: StdRng,
    report: SimulationReport,
}

/// Runs one simulation.
pub fn run_simulation(case: &SimulationCase) -> SimulationReport {
    let mut simulation = Simulation::new(case);
    simulation.schedule(simulation.now, SimulationEvent::Arrival);
    let end = simulation.end + DRAIN_DURATION;
    while let Some(Reverse((time, id))) = simulation.queue.pop() {
        if time > end {
            break;
        }
        simulation.now = time;
        if let Some(event) = simulation.events.remove(&id) {
            simulation.handle(event);
        }
    }
    simulation.report
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three significant digits are allowed")
}

impl<'a> Simulation<'a> {
    fn new(case: &'a SimulationCase) -> Self {
        let start = ClockTime::from_millis(1);
        let nodes = (0..case.nodes).map(|index| {
            let name = NodeName::new(&format!("entry-{index}")).expect("the name is short");
            let seed = case.seed + index as u64;
            LedgerState::new(case.settings.clone(), name, seed, seed)
        });
        Self {
            case,
            now: start,
            end: start + case.duration,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            next_call: 0,
            nodes: nodes.collect(),
            scheduled_wakes: vec![None; case.nodes],
            objects: BTreeMap::new(),
            epoch: (ObjectVersion::default(), LedgerEpoch::default()),
            version: ObjectVersion::default(),
            arrived_at: HashMap::new(),
            rng: StdRng::seed_from_u64(case.seed),
            report: SimulationReport {
                calls: 0,
                answered: 0,
                not_run: 0,
                unclear: 0,
                writes: 0,
                conflicts: 0,
                reads: 0,
                record_latencies: new_histogram(),
                response_latencies: new_histogram(),
            },
        }
    }

    fn schedule(&mut self, time: ClockTime, event: SimulationEvent) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((time, self.next_event)));
    }

    fn handle(&mut self, event: SimulationEvent) {
        let now = self.now;
        let (node, effects) = match event {
            SimulationEvent::Arrival => return self.start_call(),
            SimulationEvent::AccessStore(node, effect) => return self.access_store(node, effect),
            SimulationEvent::ShardResult(node, shard, read) => {
                (node, self.nodes[node].complete_read(shard, read, now))
            }
            SimulationEvent::ShardWritten(node, shard, outcome) => {
                (node, self.nodes[node].complete_write(shard, outcome, now))
            }
            SimulationEvent::EpochResult(node, read) => {
                (node, self.nodes[node].complete_epoch_read(read, now))
            }
            SimulationEvent::EpochWritten(node, outcome) => {
                (node, self.nodes[node].complete_epoch_write(outcome, now))
            }
            SimulationEvent::EndpointResponse(node, call) => {
                let finished = FinishedCall::Answered(sample_response());
                (node, self.nodes[node].finish(call, finished, now))
            }
            SimulationEvent::Wake(node) => {
                self.scheduled_wakes[node] = None;
                (node, self.nodes[node].expire(now))
            }
        };
        self.execute(node, effects);
    }

    fn start_call(&mut self) {
        self.next_call += 1;
        let call = CallId(self.next_call);
        let key = call_key(call);
        let node = self.choose_node(&key);
        let request = StartRequest {
            call,
            digest: RequestDigest::of_call("POST", "/charges", b"{}"),
            key,
            deadline: self.now + CALLER_TIMEOUT,
        };
        self.report.calls += 1;
        self.arrived_at.insert(call, self.now);
        let effects = self.nodes[node].begin(request, self.now);
        self.execute(node, effects);
        let gap = -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() / self.case.rate;
        let next = self.now + Duration::from_secs_f64(gap);
        if next < self.end {
            self.schedule(next, SimulationEvent::Arrival);
        }
    }

    fn choose_node(&mut self, key: &CallKey) -> usize {
        if self.case.affinity {
            let shard = ShardId::of_key(key, self.case.settings.shard_count);
            return shard.0 as usize % self.case.nodes;
        }
        self.rng.random_range(0..self.case.nodes)
    }

    fn execute(&mut self, node: usize, effects: Vec<LedgerEffect>) {
        for effect in effects {
            match effect {
                LedgerEffect::Verdict { call, verdict } => self.record_verdict(node, call, verdict),
                effect => {
                    let arrival = self.now + self.case.latency / 2;
                    self.schedule(arrival, SimulationEvent::AccessStore(node, effect));
                }
            }
        }
        let due = self.nodes[node].next_deadline();
        if let Some(due) = due
            && self.scheduled_wakes[node].is_none_or(|wake| due < wake)
        {
            self.scheduled_wakes[node] = Some(due);
            self.schedule(due.max(self.now), SimulationEvent::Wake(node));
        }
    }

    fn record_verdict(&mut self, node: usize, call: CallId, verdict: CallVerdict) {
        let latency = self
            .arrived_at
            .get(&call)
            .map(|&arrived_at| self.now.since(arrived_at));
        let micros = latency.map_or(0, |latency| {
            u64::try_from(latency.as_micros()).unwrap_or(u64::MAX)
        });
        match verdict {
            CallVerdict::Send => {
                self.report.record_latencies += micros;
                let end = self.now + ENDPOINT_TIME;
                self.schedule(end, SimulationEvent::EndpointResponse(node, call));
            }
            CallVerdict::Response(_) => {
                self.report.answered += 1;
                self.report.response_latencies += micros;
            }
            CallVerdict::NotRun(_) => self.report.not_run += 1,
            CallVerdict::StillRunning | CallVerdict::OutcomeUnknown => self.report.unclear += 1,
        }
    }

    fn access_store(&mut self, node: usize, effect: LedgerEffect) {
        let event = match effect {
            LedgerEffect::ReadShard { shard } => {
                self.report.reads += 1;
                SimulationEvent::ShardResult(node, shard, self.read_shard(shard))
            }
            LedgerEffect::WriteShard {
                shard,
                expected,
                contents,
            } => {
                self.report.writes += 1;
                SimulationEvent::ShardWritten(
                    node,
                    shard,
                    self.write_shard(shard, expected, contents),
                )
            }
            LedgerEffect::ReadEpoch => {
                self.report.reads += 1;
                SimulationEvent::EpochResult(node, self.read_epoch())
            }
            LedgerEffect::WriteEpoch { expected, epoch } => {
                self.report.writes += 1;
                SimulationEvent::EpochWritten(node, self.write_epoch(expected, epoch))
            }
            LedgerEffect::Verdict { .. } => return,
        };
        self.schedule(self.now + self.case.latency / 2, event);
    }

    fn read_shard(&self, shard: ShardId) -> ShardRead {
        match self.objects.get(&shard) {
            None => ShardRead::Missing,
            Some((version, contents)) => ShardRead::Found {
                version: *version,
                contents: contents.clone(),
            },
        }
    }

    fn write_shard(
        &mut self,
        shard: ShardId,
        expected: ObjectVersion,
        contents: Arc<ShardContents>,
    ) -> UpdateOutcome {
        let stored = self.objects.get(&shard);
        if stored.map_or(ObjectVersion::default(), |(version, _)| *version) != expected {
            self.report.conflicts += 1;
            return UpdateOutcome::Conflict;
        }
        self.version = self.version.next();
        self.objects.insert(shard, (self.version, contents));
        UpdateOutcome::Applied(self.version)
    }

    fn read_epoch(&self) -> EpochRead {
        let (version, epoch) = self.epoch;
        if version == ObjectVersion::default() {
            return EpochRead::Missing;
        }
        EpochRead::Found { version, epoch }
    }

    fn write_epoch(&mut self, expected: ObjectVersion, epoch: LedgerEpoch) -> UpdateOutcome {
        if self.epoch.0 != expected {
            self.report.conflicts += 1;
            return UpdateOutcome::Conflict;
        }
        self.version = self.version.next();
        self.epoch = (self.version, epoch);
        UpdateOutcome::Applied(self.version)
    }
}

/// Idempotency key of a call, of the length of a usual random key.
pub fn call_key(call: CallId) -> CallKey {
    let request = format!("3f1c9a52-{:08x}-{:016x}", call.0, call.0);
    CallKey {
        workspace: WorkspaceName::new("fogas-budapest").expect("the name is short"),
        caller: CallerName::new("desk").expect("the name is short"),
        service: ServiceName::new("foglalas").expect("the name is short"),
        request: IdempotencyKey::new(&request).expect("the key is short"),
    }
}

/// Response of the size that a charge usually gets.
pub fn sample_response() -> RecordedResponse {
    let body = br#"{"charge":"c-0001","amount":12000,"currency":"HUF","state":"taken"}"#;
    RecordedResponse {
        status: 201,
        headers: Vec::new(),
        body: RecordedBody::Whole(Arc::from(&body[..])),
    }
}
