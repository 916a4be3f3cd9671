//! Simulation of several ledgers with one store and one endpoint, driven step by step.
#![allow(dead_code)]

use base::prelude::*;
use exchange::{HeldRequest, RequestMessage};
use futures_util::FutureExt;
use ledger::*;
use store::*;

/// Request that is never sent.
struct UnsentRequest;

impl RequestMessage for UnsentRequest {}

/// Attempt at a call: node, process and call.
pub type Attempt = (usize, u64, CallId);

/// Request in flight to the store.
pub struct Request {
    node: usize,
    process: u64,
    effect: LedgerEffect,
}

/// Outcome in flight from the store.
pub struct Reply {
    node: usize,
    process: u64,
    outcome: ReplyOutcome,
}

enum ReplyOutcome {
    Shard(ShardId, ShardRead),
    Written(ShardId, UpdateOutcome),
    Epoch(EpochRead),
    EpochWritten(UpdateOutcome),
}

pub struct Node {
    pub state: LedgerState,
    pub process: u64,
    pub paused: bool,
}

/// Execution of a call at the endpoint.
pub struct Run {
    pub key: CallKey,
    pub attempt: Attempt,
}

pub struct Simulation {
    pub settings: LedgerSettings,
    pub store: MemoryStore,
    pub now: ClockTime,
    pub nodes: Vec<Node>,
    pub requests: Vec<Request>,
    pub replies: Vec<Reply>,
    /// Attempts that may send and have not sent yet.
    pub sends: Vec<(Attempt, CallKey)>,
    /// Runs without a response yet.
    pub running: Vec<(Attempt, usize)>,
    pub runs: Vec<Run>,
    pub begun: Vec<(Attempt, CallKey)>,
    pub verdicts: Vec<(Attempt, CallVerdict)>,
    next_call: u64,
}

pub fn settings() -> LedgerSettings {
    LedgerSettings {
        shard_count: 1,
        run_timeout: Duration::from_secs(1),
        record_timeout: Duration::from_millis(300),
        epoch_duration: Duration::from_secs(2),
        retention_epochs: 1_000_000,
        ..LedgerSettings::default()
    }
}

pub fn key(name: &str) -> CallKey {
    CallKey {
        workspace: WorkspaceName::new("kalinga").unwrap(),
        caller: CallerName::new("desk").unwrap(),
        service: ServiceName::new("orders-app").unwrap(),
        request: IdempotencyKey::new(name).unwrap(),
    }
}

pub fn digest(body: &str) -> RequestDigest {
    RequestDigest::of_call("POST", "/orders", body.as_bytes())
}

pub fn response(run: usize) -> RecordedResponse {
    RecordedResponse {
        status: 201,
        headers: vec![RecordedHeader {
            name: Arc::from("order"),
            value: Arc::from(run.to_string()),
        }],
        body: RecordedBody::Whole(Arc::from(format!("plate {run}").into_bytes())),
    }
}

impl Simulation {
    pub fn new(nodes: usize) -> Self {
        Self::with_settings(nodes, settings())
    }

    pub fn with_settings(nodes: usize, settings: LedgerSettings) -> Self {
        let mut simulation = Self {
            settings,
            store: MemoryStore::default(),
            now: ClockTime::from_millis(1),
            nodes: vec![],
            requests: vec![],
            replies: vec![],
            sends: vec![],
            running: vec![],
            runs: vec![],
            begun: vec![],
            verdicts: vec![],
            next_call: 0,
        };
        for index in 0..nodes {
            let node = simulation.start(index, 1);
            simulation.nodes.push(node);
        }
        simulation
    }

    fn start(&self, index: usize, process: u64) -> Node {
        let name = NodeName::new(&format!("entry-{index}")).unwrap();
        let seed = 10 * index as u64 + process;
        Node {
            state: LedgerState::new(self.settings.clone(), name, process, seed),
            process,
            paused: false,
        }
    }

    /// Begins a call of a client at a node and returns its attempt.
    pub fn begin_call(&mut self, node: usize, name: &str, body: &str, wait: Duration) -> Attempt {
        self.next_call += 1;
        let call = CallId(self.next_call);
        let attempt = (node, self.nodes[node].process, call);
        let request = StartRequest {
            call,
            key: key(name),
            digest: digest(body),
            deadline: self.now + wait,
        };
        self.begun.push((attempt, key(name)));
        let effects = self.nodes[node].state.begin(request, self.now);
        self.apply_effects(node, effects);
        attempt
    }

    fn apply_effects(&mut self, node: usize, effects: Vec<LedgerEffect>) {
        let process = self.nodes[node].process;
        for effect in effects {
            let LedgerEffect::Verdict { call, verdict } = effect else {
                self.requests.push(Request {
                    node,
                    process,
                    effect,
                });
                continue;
            };
            let attempt = (node, process, call);
            if verdict == CallVerdict::Send {
                let key = self.key_of(attempt);
                self.sends.push((attempt, key));
            }
            self.verdicts.push((attempt, verdict));
        }
        self.check_invariants();
    }

    fn key_of(&self, attempt: Attempt) -> CallKey {
        let begun = self.begun.iter().find(|(other, _)| *other == attempt);
        begun.expect("every verdict belongs to a call").1.clone()
    }

    /// Delivers the oldest request to the store.
    pub fn deliver_request(&mut self, fault: Option<UpdateFault>) {
        self.deliver_request_at(0, fault, None);
    }

    pub fn deliver_request_at(
        &mut self,
        at: usize,
        update: Option<UpdateFault>,
        read: Option<ReadFault>,
    ) {
        let Request {
            node,
            process,
            effect,
        } = self.requests.remove(at);
        let outcome = match effect {
            LedgerEffect::ReadShard { shard } => {
                self.store.inject_read_faults([read]);
                let outcome = self.read(&shard.object_key());
                ReplyOutcome::Shard(shard, decode_shard(outcome).unwrap())
            }
            LedgerEffect::ReadEpoch => {
                self.store.inject_read_faults([read]);
                let outcome = self.read(&LedgerEpoch::object_key());
                ReplyOutcome::Epoch(decode_epoch(outcome).unwrap())
            }
            LedgerEffect::WriteShard {
                shard,
                expected,
                contents,
            } => {
                let value = encode_shard(&contents);
                assert!(value.len() <= contents.size_bound(), "the size bound holds");
                let outcome = self.update(shard.object_key(), expected, value, update);
                ReplyOutcome::Written(shard, outcome)
            }
            LedgerEffect::WriteEpoch { expected, epoch } => {
                let key = LedgerEpoch::object_key();
                let outcome = self.update(key, expected, encode_epoch(epoch), update);
                ReplyOutcome::EpochWritten(outcome)
            }
            LedgerEffect::Verdict { .. } => unreachable!("a verdict is not a request"),
        };
        self.replies.push(Reply {
            node,
            process,
            outcome,
        });
    }

    fn read(&self, key: &ObjectKey) -> ReadOutcome {
        self.store.read(key).now_or_never().expect("no slow reads")
    }

    fn update(
        &self,
        key: ObjectKey,
        expected: ObjectVersion,
        value: Arc<str>,
        fault: Option<UpdateFault>,
    ) -> UpdateOutcome {
        self.store.inject_update_faults([fault]);
        let change = ObjectChange {
            key,
            expected,
            value,
        };
        let update = self.store.update(change);
        update.now_or_never().expect("no slow updates")
    }

    /// Delivers the oldest outcome to its node, if the process still runs.
    pub fn deliver_reply(&mut self) {
        self.deliver_reply_at(0);
    }

    pub fn deliver_reply_at(&mut self, at: usize) {
        let Reply {
            node,
            process,
            outcome,
        } = self.replies.remove(at);
        if self.nodes[node].process != process {
            return;
        }
        let state = &mut self.nodes[node].state;
        let effects = match outcome {
            ReplyOutcome::Shard(shard, read) => state.complete_read(shard, read, self.now),
            ReplyOutcome::Written(shard, outcome) => state.complete_write(shard, outcome, self.now),
            ReplyOutcome::Epoch(read) => state.complete_epoch_read(read, self.now),
            ReplyOutcome::EpochWritten(outcome) => state.complete_epoch_write(outcome, self.now),
        };
        self.apply_effects(node, effects);
    }

    pub fn is_reply_to_paused(&self, at: usize) -> bool {
        self.nodes[self.replies[at].node].paused
    }

    /// Lets an attempt that may send do so.
    pub fn send_at(&mut self, at: usize) {
        let (attempt, key) = self.sends.remove(at);
        let (node, process, call) = attempt;
        let node = &self.nodes[node];
        if node.process != process || !node.state.may_send(call, self.now) {
            return;
        }
        self.runs.push(Run { key, attempt });
        self.running.push((attempt, self.runs.len() - 1));
        self.check_invariants();
    }

    /// Withdraws an attempt that may send.
    pub fn withdraw_at(&mut self, at: usize) {
        let ((node, process, call), _) = self.sends.remove(at);
        if self.nodes[node].process == process {
            let proof = HeldRequest::new(UnsentRequest).give_up();
            let effects = self.nodes[node].state.withdraw(call, proof, self.now);
            self.apply_effects(node, effects);
        }
    }

    /// Ends a run with a response or a cut connection.
    pub fn finish_at(&mut self, at: usize, answered: bool) {
        let ((node, process, call), run) = self.running.remove(at);
        if self.nodes[node].process != process {
            return;
        }
        let finished = if answered {
            FinishedCall::Answered(response(run))
        } else {
            FinishedCall::Unknown
        };
        let effects = self.nodes[node].state.finish(call, finished, self.now);
        self.apply_effects(node, effects);
    }

    pub fn advance(&mut self, duration: Duration) {
        self.now = self.now + duration;
        self.store.advance(duration);
        for node in 0..self.nodes.len() {
            self.expire(node);
        }
    }

    pub fn expire(&mut self, node: usize) {
        if self.nodes[node].paused {
            return;
        }
        let effects = self.nodes[node].state.expire(self.now);
        self.apply_effects(node, effects);
        let due = self.nodes[node].state.next_deadline();
        assert!(
            due.is_none_or(|due| due > self.now),
            "node {node} has a deadline that stays due"
        );
    }

    /// Replaces a node's process by a new one, without a shutdown.
    pub fn crash(&mut self, node: usize) {
        let process = self.nodes[node].process + 1;
        self.nodes[node] = self.start(node, process);
    }

    /// Delivers everything in flight, without new faults.
    pub fn deliver_all(&mut self) {
        while !self.requests.is_empty() || !self.replies.is_empty() {
            while !self.requests.is_empty() {
                self.deliver_request(None);
            }
            while !self.replies.is_empty() {
                self.deliver_reply();
            }
        }
    }

    /// Advances time in small steps and delivers everything in flight.
    pub fn run_for(&mut self, duration: Duration) {
        const STEP: Duration = Duration::from_millis(20);
        let end = self.now + duration;
        while self.now < end {
            self.deliver_all();
            self.advance(STEP);
        }
        self.deliver_all();
    }

    /// Sends all attempts that may send and answers them.
    pub fn complete_all(&mut self) {
        while !self.sends.is_empty() {
            self.send_at(0);
        }
        while !self.running.is_empty() {
            self.finish_at(0, true);
        }
    }

    pub fn last_verdict(&self, attempt: Attempt) -> Option<&CallVerdict> {
        let mut verdicts = self.verdicts.iter().rev();
        verdicts
            .find(|(other, _)| *other == attempt)
            .map(|(_, verdict)| verdict)
    }

    pub fn runs_of(&self, name: &str) -> usize {
        let key = key(name);
        self.runs.iter().filter(|run| run.key == key).count()
    }

    /// Checks the invariants that hold after every step.
    pub fn check_invariants(&self) {
        for (index, run) in self.runs.iter().enumerate() {
            let earlier = &self.runs[..index];
            let again = earlier.iter().any(|other| other.key == run.key);
            assert!(!again, "{:?} ran twice", run.key);
        }
        for (attempt, verdict) in &self.verdicts {
            self.check_verdict(*attempt, verdict);
        }
    }

    fn check_verdict(&self, attempt: Attempt, verdict: &CallVerdict) {
        let same = self.verdicts.iter().filter(|(other, _)| *other == attempt);
        let finals = same.filter(|(_, verdict)| *verdict != CallVerdict::Send);
        assert!(finals.count() <= 1, "{attempt:?} has two final verdicts");
        match verdict {
            CallVerdict::NotRun(reason) => {
                let ran = self.runs.iter().any(|run| run.attempt == attempt);
                assert!(!ran, "{attempt:?} got {reason} but ran");
                let sendable = self.sends.iter().any(|(other, _)| *other == attempt);
                assert!(!sendable, "{attempt:?} got {reason} but may send");
            }
            CallVerdict::Response(recorded) => {
                let key = self.key_of(attempt);
                let run = self.runs.iter().position(|run| run.key == key);
                assert_eq!(run.map(response).as_ref(), Some(recorded), "{attempt:?}");
            }
            _ => {}
        }
    }
}
