//! Several ledgers before one store, in model time.

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

/// Time that the endpoint takes for a call.
const ENDPOINT_TIME: Duration = Duration::from_millis(50);
/// Time for which a caller waits.
const CALLER_PATIENCE: Duration = Duration::from_secs(10);
/// Time after the last call for open ones to end.
const RUN_OUT: Duration = Duration::from_secs(20);

/// What one run of the model is about.
#[derive(Clone, Debug)]
pub struct ModelCase {
    /// Entry hosts.
    pub nodes: usize,
    /// Non-idempotent calls a second over all nodes.
    pub rate: f64,
    /// Time of one call to the store, there and back.
    pub latency: Duration,
    /// Settings of every ledger.
    pub settings: LedgerSettings,
    /// Whether all calls of a shard go to one node.
    pub affinity: bool,
    /// Time during which calls come in.
    pub span: Duration,
    /// Seed of the arrivals and keys.
    pub seed: u64,
}

/// What one run of the model showed.
#[derive(Debug)]
pub struct ModelReport {
    /// Calls that came in.
    pub calls: u64,
    /// Calls answered.
    pub answered: u64,
    /// Calls told that they weren't run.
    pub not_run: u64,
    /// Calls told anything else.
    pub unclear: u64,
    /// Updates sent to the store.
    pub writes: u64,
    /// Updates that conflicted.
    pub conflicts: u64,
    /// Reads sent to the store.
    pub reads: u64,
    /// Microseconds from a call's arrival to its mark.
    pub mark_waits: Histogram<u64>,
    /// Microseconds from a call's arrival to its answer.
    pub answer_waits: Histogram<u64>,
}

#[derive(Debug)]
enum ModelEvent {
    Call,
    Arrive(usize, LedgerEffect),
    Shard(usize, ShardId, ShardRead),
    Written(usize, ShardId, UpdateOutcome),
    Epoch(usize, EpochRead),
    EpochWritten(usize, UpdateOutcome),
    Answered(usize, CallId),
    Wake(usize),
}

struct Model<'a> {
    case: &'a ModelCase,
    now: ClockTime,
    end: ClockTime,
    queue: BinaryHeap<Reverse<(ClockTime, u64)>>,
    events: HashMap<u64, ModelEvent>,
    next_event: u64,
    next_call: u64,
    nodes: Vec<LedgerState>,
    wakes: Vec<Option<ClockTime>>,
    objects: BTreeMap<ShardId, (ObjectVersion, Arc<ShardContents>)>,
    epoch: (ObjectVersion, LedgerEpoch),
    version: ObjectVersion,
    begun: HashMap<CallId, ClockTime>,
    random: StdRng,
    report: ModelReport,
}

/// Runs one case.
pub fn run_model(case: &ModelCase) -> ModelReport {
    let mut model = Model::new(case);
    model.schedule(model.now, ModelEvent::Call);
    let end = model.end + RUN_OUT;
    while let Some(Reverse((time, id))) = model.queue.pop() {
        if time > end {
            break;
        }
        model.now = time;
        if let Some(event) = model.events.remove(&id) {
            model.handle(event);
        }
    }
    model.report
}

fn waits() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}

impl<'a> Model<'a> {
    fn new(case: &'a ModelCase) -> Self {
        let start = ClockTime::from_millis(1);
        let nodes = (0..case.nodes).map(|index| {
            let name = NodeName::new(&format!("entry-{index}")).expect("the name is short");
            let seed = case.seed + index as u64;
            LedgerState::new(case.settings.clone(), name, seed, seed)
        });
        Self {
            case,
            now: start,
            end: start + case.span,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            next_call: 0,
            nodes: nodes.collect(),
            wakes: vec![None; case.nodes],
            objects: BTreeMap::new(),
            epoch: (ObjectVersion::default(), LedgerEpoch::default()),
            version: ObjectVersion::default(),
            begun: HashMap::new(),
            random: StdRng::seed_from_u64(case.seed),
            report: ModelReport {
                calls: 0,
                answered: 0,
                not_run: 0,
                unclear: 0,
                writes: 0,
                conflicts: 0,
                reads: 0,
                mark_waits: waits(),
                answer_waits: waits(),
            },
        }
    }

    fn schedule(&mut self, time: ClockTime, event: ModelEvent) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((time, self.next_event)));
    }

    fn handle(&mut self, event: ModelEvent) {
        let now = self.now;
        let (node, effects) = match event {
            ModelEvent::Call => return self.take_call(),
            ModelEvent::Arrive(node, effect) => return self.reach_store(node, effect),
            ModelEvent::Shard(node, shard, read) => {
                (node, self.nodes[node].complete_read(shard, read, now))
            }
            ModelEvent::Written(node, shard, outcome) => {
                (node, self.nodes[node].complete_write(shard, outcome, now))
            }
            ModelEvent::Epoch(node, read) => {
                (node, self.nodes[node].complete_epoch_read(read, now))
            }
            ModelEvent::EpochWritten(node, outcome) => {
                (node, self.nodes[node].complete_epoch_write(outcome, now))
            }
            ModelEvent::Answered(node, call) => {
                let finished = FinishedCall::Answered(short_answer());
                (node, self.nodes[node].finish(call, finished, now))
            }
            ModelEvent::Wake(node) => {
                self.wakes[node] = None;
                (node, self.nodes[node].expire(now))
            }
        };
        self.carry(node, effects);
    }

    fn take_call(&mut self) {
        self.next_call += 1;
        let call = CallId(self.next_call);
        let key = call_key(call);
        let node = self.choose_node(&key);
        let request = StartRequest {
            call,
            digest: RequestDigest::of_call("POST", "/charges", b"{}"),
            key,
            deadline: self.now + CALLER_PATIENCE,
        };
        self.report.calls += 1;
        self.begun.insert(call, self.now);
        let effects = self.nodes[node].begin(request, self.now);
        self.carry(node, effects);
        let pause = -self.random.random_range(f64::MIN_POSITIVE..1.0).ln() / self.case.rate;
        let next = self.now + Duration::from_secs_f64(pause);
        if next < self.end {
            self.schedule(next, ModelEvent::Call);
        }
    }

    fn choose_node(&mut self, key: &CallKey) -> usize {
        if self.case.affinity {
            let shard = ShardId::of_key(key, self.case.settings.shard_count);
            return shard.0 as usize % self.case.nodes;
        }
        self.random.random_range(0..self.case.nodes)
    }

    fn carry(&mut self, node: usize, effects: Vec<LedgerEffect>) {
        for effect in effects {
            match effect {
                LedgerEffect::Verdict { call, verdict } => self.hear(node, call, verdict),
                effect => {
                    let arrival = self.now + self.case.latency / 2;
                    self.schedule(arrival, ModelEvent::Arrive(node, effect));
                }
            }
        }
        let due = self.nodes[node].next_deadline();
        if let Some(due) = due
            && self.wakes[node].is_none_or(|wake| due < wake)
        {
            self.wakes[node] = Some(due);
            self.schedule(due.max(self.now), ModelEvent::Wake(node));
        }
    }

    fn hear(&mut self, node: usize, call: CallId, verdict: CallVerdict) {
        let wait = self.begun.get(&call).map(|&begun| self.now.since(begun));
        let micros = wait.map_or(0, |wait| {
            u64::try_from(wait.as_micros()).unwrap_or(u64::MAX)
        });
        match verdict {
            CallVerdict::Send => {
                self.report.mark_waits += micros;
                let end = self.now + ENDPOINT_TIME;
                self.schedule(end, ModelEvent::Answered(node, call));
            }
            CallVerdict::Response(_) => {
                self.report.answered += 1;
                self.report.answer_waits += micros;
            }
            CallVerdict::NotRun(_) => self.report.not_run += 1,
            CallVerdict::StillRunning | CallVerdict::OutcomeUnknown => self.report.unclear += 1,
        }
    }

    fn reach_store(&mut self, node: usize, effect: LedgerEffect) {
        let event = match effect {
            LedgerEffect::ReadShard { shard } => {
                self.report.reads += 1;
                ModelEvent::Shard(node, shard, self.read_shard(shard))
            }
            LedgerEffect::WriteShard {
                shard,
                expected,
                record,
            } => {
                self.report.writes += 1;
                ModelEvent::Written(node, shard, self.write_shard(shard, expected, record))
            }
            LedgerEffect::ReadEpoch => {
                self.report.reads += 1;
                ModelEvent::Epoch(node, self.read_epoch())
            }
            LedgerEffect::WriteEpoch { expected, epoch } => {
                self.report.writes += 1;
                ModelEvent::EpochWritten(node, self.write_epoch(expected, epoch))
            }
            LedgerEffect::Verdict { .. } => return,
        };
        self.schedule(self.now + self.case.latency / 2, event);
    }

    fn read_shard(&self, shard: ShardId) -> ShardRead {
        match self.objects.get(&shard) {
            None => ShardRead::Missing,
            Some((version, record)) => ShardRead::Found {
                version: *version,
                record: record.clone(),
            },
        }
    }

    fn write_shard(
        &mut self,
        shard: ShardId,
        expected: ObjectVersion,
        record: Arc<ShardContents>,
    ) -> UpdateOutcome {
        let present = self.objects.get(&shard);
        if present.map_or(ObjectVersion::default(), |(version, _)| *version) != expected {
            self.report.conflicts += 1;
            return UpdateOutcome::Conflict;
        }
        self.version = self.version.next();
        self.objects.insert(shard, (self.version, record));
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

/// Key of a call, as long as a customary random key.
pub fn call_key(call: CallId) -> CallKey {
    let request = format!("3f1c9a52-{:08x}-{:016x}", call.0, call.0);
    CallKey {
        workspace: WorkspaceName::new("fogas-budapest").expect("the name is short"),
        caller: CallerName::new("desk").expect("the name is short"),
        service: ServiceName::new("foglalas").expect("the name is short"),
        request: IdempotencyKey::new(&request).expect("the key is short"),
    }
}

/// Answer such as a charge gets.
pub fn short_answer() -> RecordedResponse {
    let body = br#"{"charge":"c-0001","amount":12000,"currency":"HUF","state":"taken"}"#;
    RecordedResponse {
        status: 201,
        headers: Vec::new(),
        body: RecordedBody::Whole(Arc::from(&body[..])),
    }
}
