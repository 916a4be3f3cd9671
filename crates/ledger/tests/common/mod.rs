//! Several ledgers before one store and one endpoint, driven step by step.
#![allow(dead_code)]

use base::prelude::*;
use futures_util::FutureExt;
use ledger::*;
use store::*;

/// Attempt at a call: node, run of its process, and call.
pub type Attempt = (usize, u64, CallId);

/// Call to the store that is on its way there.
pub struct Request {
    node: usize,
    process: u64,
    effect: LedgerEffect,
}

/// Outcome that is on its way back.
pub struct Reply {
    node: usize,
    process: u64,
    end: ReplyEnd,
}

enum ReplyEnd {
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

/// What the endpoint ran, in order.
pub struct Run {
    pub key: CallKey,
    pub attempt: Attempt,
}

pub struct World {
    pub settings: LedgerSettings,
    pub store: MemoryStore,
    pub now: ClockTime,
    pub nodes: Vec<Node>,
    pub requests: Vec<Request>,
    pub replies: Vec<Reply>,
    /// Attempts that were told to send and haven't yet.
    pub sends: Vec<(Attempt, CallKey)>,
    /// Runs that haven't been answered yet.
    pub running: Vec<(Attempt, usize)>,
    pub runs: Vec<Run>,
    pub asked: Vec<(Attempt, CallKey)>,
    pub verdicts: Vec<(Attempt, CallVerdict)>,
    next_call: u64,
}

pub fn settings() -> LedgerSettings {
    LedgerSettings {
        shard_count: 1,
        run_limit: Duration::from_secs(1),
        record_patience: Duration::from_millis(300),
        epoch_length: Duration::from_secs(2),
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

pub fn answer(run: usize) -> RecordedResponse {
    RecordedResponse {
        status: 201,
        headers: vec![RecordedHeader {
            name: Arc::from("order"),
            value: Arc::from(run.to_string()),
        }],
        body: RecordedBody::Whole(Arc::from(format!("plate {run}").into_bytes())),
    }
}

impl World {
    pub fn new(nodes: usize) -> Self {
        Self::with_settings(nodes, settings())
    }

    pub fn with_settings(nodes: usize, settings: LedgerSettings) -> Self {
        let mut world = Self {
            settings,
            store: MemoryStore::default(),
            now: ClockTime::from_millis(1),
            nodes: vec![],
            requests: vec![],
            replies: vec![],
            sends: vec![],
            running: vec![],
            runs: vec![],
            asked: vec![],
            verdicts: vec![],
            next_call: 0,
        };
        for index in 0..nodes {
            let node = world.start(index, 1);
            world.nodes.push(node);
        }
        world
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

    /// A device asks a node; says which attempt that became.
    pub fn ask(&mut self, node: usize, name: &str, body: &str, wait: Duration) -> Attempt {
        self.next_call += 1;
        let call = CallId(self.next_call);
        let attempt = (node, self.nodes[node].process, call);
        let request = StartRequest {
            call,
            key: key(name),
            digest: digest(body),
            deadline: self.now + wait,
        };
        self.asked.push((attempt, key(name)));
        let effects = self.nodes[node].state.begin(request, self.now);
        self.take(node, effects);
        attempt
    }

    fn take(&mut self, node: usize, effects: Vec<LedgerEffect>) {
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
        self.check();
    }

    fn key_of(&self, attempt: Attempt) -> CallKey {
        let asked = self.asked.iter().find(|(other, _)| *other == attempt);
        asked.expect("verdicts are for calls").1.clone()
    }

    /// The oldest request reaches the store.
    pub fn arrive(&mut self, fault: Option<UpdateFault>) {
        self.arrive_at(0, fault, None);
    }

    pub fn arrive_at(&mut self, at: usize, update: Option<UpdateFault>, read: Option<ReadFault>) {
        let Request {
            node,
            process,
            effect,
        } = self.requests.remove(at);
        let end = match effect {
            LedgerEffect::ReadShard { shard } => {
                self.store.inject_read_faults([read]);
                let outcome = self.read(&shard.object_key());
                ReplyEnd::Shard(shard, decode_shard(outcome).unwrap())
            }
            LedgerEffect::ReadEpoch => {
                self.store.inject_read_faults([read]);
                let outcome = self.read(&LedgerEpoch::object_key());
                ReplyEnd::Epoch(decode_epoch(outcome).unwrap())
            }
            LedgerEffect::WriteShard {
                shard,
                expected,
                record,
            } => {
                let value = encode_shard(&record);
                assert!(value.len() <= record.size_bound(), "size bound holds");
                let outcome = self.update(shard.object_key(), expected, value, update);
                ReplyEnd::Written(shard, outcome)
            }
            LedgerEffect::WriteEpoch { expected, epoch } => {
                let key = LedgerEpoch::object_key();
                let outcome = self.update(key, expected, encode_epoch(epoch), update);
                ReplyEnd::EpochWritten(outcome)
            }
            LedgerEffect::Verdict { .. } => unreachable!("verdicts aren't requests"),
        };
        self.replies.push(Reply { node, process, end });
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

    /// The oldest outcome reaches its node, if that process still runs.
    pub fn reply(&mut self) {
        self.reply_at(0);
    }

    pub fn reply_at(&mut self, at: usize) {
        let Reply { node, process, end } = self.replies.remove(at);
        if self.nodes[node].process != process {
            return;
        }
        let state = &mut self.nodes[node].state;
        let effects = match end {
            ReplyEnd::Shard(shard, read) => state.complete_read(shard, read, self.now),
            ReplyEnd::Written(shard, outcome) => state.complete_write(shard, outcome, self.now),
            ReplyEnd::Epoch(read) => state.complete_epoch_read(read, self.now),
            ReplyEnd::EpochWritten(outcome) => state.complete_epoch_write(outcome, self.now),
        };
        self.take(node, effects);
    }

    pub fn is_replying_to_paused(&self, at: usize) -> bool {
        self.nodes[self.replies[at].node].paused
    }

    /// An attempt that may send does so.
    pub fn send_at(&mut self, at: usize) {
        let (attempt, key) = self.sends.remove(at);
        let (node, process, call) = attempt;
        let node = &self.nodes[node];
        if node.process != process || !node.state.may_send(call, self.now) {
            return;
        }
        self.runs.push(Run { key, attempt });
        self.running.push((attempt, self.runs.len() - 1));
        self.check();
    }

    /// An attempt that may send gives its mark back.
    pub fn withdraw_at(&mut self, at: usize) {
        let ((node, process, call), _) = self.sends.remove(at);
        if self.nodes[node].process == process {
            let effects = self.nodes[node].state.withdraw(call, self.now);
            self.take(node, effects);
        }
    }

    /// The endpoint answers, or its connection is cut.
    pub fn finish_at(&mut self, at: usize, answered: bool) {
        let ((node, process, call), run) = self.running.remove(at);
        if self.nodes[node].process != process {
            return;
        }
        let finished = if answered {
            FinishedCall::Answered(answer(run))
        } else {
            FinishedCall::Unknown
        };
        let effects = self.nodes[node].state.finish(call, finished, self.now);
        self.take(node, effects);
    }

    pub fn pass(&mut self, span: Duration) {
        self.now = self.now + span;
        self.store.advance(span);
        for node in 0..self.nodes.len() {
            self.expire(node);
        }
    }

    pub fn expire(&mut self, node: usize) {
        if self.nodes[node].paused {
            return;
        }
        let effects = self.nodes[node].state.expire(self.now);
        self.take(node, effects);
        let due = self.nodes[node].state.next_deadline();
        assert!(due.is_none_or(|due| due > self.now), "node {node} spins");
    }

    /// The process ends without a word; another starts in its place.
    pub fn crash(&mut self, node: usize) {
        let process = self.nodes[node].process + 1;
        self.nodes[node] = self.start(node, process);
    }

    /// Everything under way arrives and is answered, without new faults.
    pub fn drain(&mut self) {
        while !self.requests.is_empty() || !self.replies.is_empty() {
            while !self.requests.is_empty() {
                self.arrive(None);
            }
            while !self.replies.is_empty() {
                self.reply();
            }
        }
    }

    /// Time passes in small steps, everything arriving meanwhile.
    pub fn settle(&mut self, span: Duration) {
        const STEP: Duration = Duration::from_millis(20);
        let end = self.now + span;
        while self.now < end {
            self.drain();
            self.pass(STEP);
        }
        self.drain();
    }

    /// All attempts told to send do, and are answered.
    pub fn serve(&mut self) {
        while !self.sends.is_empty() {
            self.send_at(0);
        }
        while !self.running.is_empty() {
            self.finish_at(0, true);
        }
    }

    pub fn last_verdict(&self, attempt: Attempt) -> Option<&CallVerdict> {
        let mut told = self.verdicts.iter().rev();
        told.find(|(other, _)| *other == attempt)
            .map(|(_, verdict)| verdict)
    }

    pub fn runs_of(&self, name: &str) -> usize {
        let key = key(name);
        self.runs.iter().filter(|run| run.key == key).count()
    }

    /// The promises that hold after every step.
    pub fn check(&self) {
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
                assert!(!ran, "{attempt:?} was told {reason} but ran");
                let sendable = self.sends.iter().any(|(other, _)| *other == attempt);
                assert!(!sendable, "{attempt:?} was told {reason} but may send");
            }
            CallVerdict::Response(told) => {
                let key = self.key_of(attempt);
                let run = self.runs.iter().position(|run| run.key == key);
                assert_eq!(run.map(answer).as_ref(), Some(told), "{attempt:?}");
            }
            _ => {}
        }
    }
}
