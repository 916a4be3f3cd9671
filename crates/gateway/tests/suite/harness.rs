//! A gateway's loop without a border: events go in, effects are kept.

use std::collections::VecDeque;
use std::net::SocketAddr;

use base::prelude::*;
use document::KeyDigest;
use futures_util::FutureExt;
use gateway::{
    AttemptEnd, CallArrival, CallKind, CallRefusal, CallStep, GatewayAnswer, GatewayEffect,
    GatewayEvent, GatewayLoop, GatewayQuestion, GatewayState, GatewayStatus, GatewayTimes,
    RefusalCause, RunState, SendOrder,
};
use ledger::{
    LedgerEffect, LedgerEpoch, RecordedBody, RecordedResponse, RequestDigest, decode_epoch,
    decode_shard, encode_epoch, encode_shard,
};
use limits::CallPriority;
use store::{MemoryStore, ObjectChange, ObjectStore};
use watch::{WatchEffect, WatchEvent, WatchTimes};

use crate::fleet::{DESK, Fleet, LLM, document};

/// Life of a report.
pub const VALIDITY: Duration = Duration::from_secs(2);
/// Time in which a stopping gateway still accepts.
pub const NOTICE: Duration = Duration::from_secs(5);
/// Longest time that a stop waits.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(60);
const START: ClockTime = ClockTime::from_millis(50_000);

/// One gateway, the store it uses, and what it wanted done.
pub struct Harness {
    pub gateway: GatewayLoop,
    pub now: ClockTime,
    pub store: MemoryStore,
    /// Steps in the order in which they were told.
    pub steps: Vec<(CallId, CallStep)>,
    /// Calls to the store that have not arrived there.
    pub requests: VecDeque<LedgerEffect>,
    /// Reads that were started.
    pub reads: Vec<WatchEffect>,
    /// Names of what was measured.
    pub measures: Vec<&'static str>,
    pub stopped_accepting: bool,
    pub finished: bool,
    next_call: CallId,
}

/// Call of the replies for tokens, with a deadline of the service's.
pub fn model_call() -> CallArrival {
    let kind = CallKind::Model {
        prefix: Vec::new(),
        tokens: 8,
    };
    arrival(DESK, LLM, kind, None)
}

/// Call of a plain service.
pub fn plain_call(api_key: &str, service: &str, line: &str, key: Option<&str>) -> CallArrival {
    let (method, path) = line.split_once(' ').unwrap();
    let kind = CallKind::Plain {
        method: Arc::from(method),
        path: Arc::from(path),
        digest: RequestDigest::of_call(method, path, b"deposit"),
    };
    arrival(api_key, service, kind, key)
}

fn arrival(api_key: &str, service: &str, kind: CallKind, key: Option<&str>) -> CallArrival {
    CallArrival {
        call: CallId(0),
        digest: KeyDigest::of_key(api_key),
        service: ServiceName::new(service).unwrap(),
        kind,
        key: key.map(|key| IdempotencyKey::new(key).unwrap()),
        priority: CallPriority::Normal,
        timeout: None,
    }
}

/// Refusal without an instant to return at.
pub fn refusal(cause: RefusalCause, run: RunState) -> CallStep {
    CallStep::Refuse(CallRefusal {
        cause,
        run,
        retry_at: None,
    })
}

/// Answer of an endpoint.
pub fn recorded(text: &str) -> RecordedResponse {
    RecordedResponse {
        status: 201,
        headers: Vec::new(),
        body: RecordedBody::Whole(Arc::from(text.as_bytes())),
    }
}

impl Harness {
    /// Gateway that knows nothing yet, before a store of its own.
    pub fn empty() -> Self {
        Self::before(MemoryStore::default(), "entry-1", 1)
    }

    /// Gateway that knows nothing yet, before a shared store.
    pub fn before(store: MemoryStore, node: &str, process: u64) -> Self {
        let times = GatewayTimes {
            watch: WatchTimes {
                poll_interval: Duration::from_millis(500),
                read_interval: Duration::from_secs(1),
                watch_timeout: Duration::from_secs(20),
            },
            report_validity: VALIDITY,
            balancer_notice: NOTICE,
            drain_limit: DRAIN_LIMIT,
        };
        let node = NodeName::new(node).unwrap();
        let domain = DomainName::new("kozep-a").unwrap();
        let state = GatewayState::new(node, domain, times, process, 17);
        Self {
            gateway: GatewayLoop(state),
            now: START,
            store,
            steps: Vec::new(),
            requests: VecDeque::new(),
            reads: Vec::new(),
            measures: Vec::new(),
            stopped_accepting: false,
            finished: false,
            next_call: CallId(0),
        }
    }

    /// Gateway that has read the document and a fleet.
    pub fn serving(fleet: &Fleet) -> Self {
        let mut harness = Self::empty();
        harness.read_document(1);
        harness.read_fleet(fleet);
        harness
    }

    pub fn handle(&mut self, event: GatewayEvent) {
        let effects = self.gateway.handle(event, self.now);
        self.keep(effects);
    }

    fn keep(&mut self, effects: Vec<GatewayEffect>) {
        for effect in effects {
            match effect {
                GatewayEffect::Step { call, step } => self.steps.push((call, step)),
                GatewayEffect::Ledger(request) => self.requests.push_back(request),
                GatewayEffect::StopAccepting => self.stopped_accepting = true,
                GatewayEffect::Finish => self.finished = true,
                GatewayEffect::Watch(read) => self.reads.push(read),
                GatewayEffect::Measure(measure) => self.measures.push(measure.measure),
                GatewayEffect::Tell { .. } | GatewayEffect::Peer(_) => {}
            }
        }
    }

    /// Lets time pass and wakes the loop once at the end.
    pub fn pass(&mut self, span: Duration) {
        self.now = self.now + span;
        let effects = self.gateway.wake(self.now);
        self.keep(effects);
    }

    pub fn read_document(&mut self, version: u64) {
        let read = Some((ObjectVersion(version), document()));
        self.watch(WatchEvent::DocumentRead(read));
    }

    /// Everything about the fleet is read, and every engine answers.
    pub fn read_fleet(&mut self, fleet: &Fleet) {
        self.watch(WatchEvent::HostsRead(Some(fleet.hosts.clone())));
        self.read_record(fleet);
        self.hear_reports(fleet);
    }

    pub fn read_record(&mut self, fleet: &Fleet) {
        let records = vec![(fleet.record.clone(), fleet.version)];
        self.watch(WatchEvent::FabricsRead(Some(records)));
    }

    /// Every engine answers a question that was asked now.
    pub fn hear_reports(&mut self, fleet: &Fleet) {
        for index in 0..fleet.reports.len() {
            self.hear_report(fleet, index, self.now);
        }
    }

    pub fn hear_report(&mut self, fleet: &Fleet, index: usize, polled_at: ClockTime) {
        let report = fleet.reports[index].clone();
        self.watch(WatchEvent::HostReported {
            host: report.host.clone(),
            polled_at,
            report: Some(report),
        });
    }

    pub fn watch(&mut self, event: WatchEvent) {
        self.handle(GatewayEvent::Watch(event));
    }

    /// Number of the call that comes in next.
    pub fn next_call(&self) -> CallId {
        self.next_call.next()
    }

    /// A call comes in.
    pub fn call(&mut self, arrival: CallArrival) -> CallId {
        let call = self.next_call();
        self.next_call = call;
        self.handle(GatewayEvent::CallArrived(CallArrival { call, ..arrival }));
        call
    }

    /// An attempt ends.
    pub fn end(&mut self, call: CallId, end: AttemptEnd) {
        self.handle(GatewayEvent::AttemptEnded { call, end });
    }

    /// Everything that was told about a call.
    pub fn steps_of(&self, call: CallId) -> Vec<&CallStep> {
        let steps = self.steps.iter().filter(|(other, _)| *other == call);
        steps.map(|(_, step)| step).collect()
    }

    /// What was told last about a call.
    pub fn last_step(&self, call: CallId) -> Option<&CallStep> {
        self.steps_of(call).last().copied()
    }

    /// The refusal that a call got last.
    pub fn refused(&self, call: CallId) -> Option<(RefusalCause, RunState)> {
        match self.last_step(call) {
            Some(CallStep::Refuse(refusal)) => Some((refusal.cause, refusal.run)),
            _ => None,
        }
    }

    /// Order of the last step, which must be one to send.
    pub fn sent(&self, call: CallId) -> &SendOrder {
        match self.last_step(call) {
            Some(CallStep::Send(order)) => order,
            step => panic!("{call} was not sent: {step:?}"),
        }
    }

    pub fn sent_to(&self, call: CallId) -> SocketAddr {
        self.sent(call).address
    }

    /// Times that a call was to be sent.
    pub fn sends(&self, call: CallId) -> usize {
        let steps = self.steps_of(call).into_iter();
        steps
            .filter(|step| matches!(step, CallStep::Send(_)))
            .count()
    }

    /// The oldest call to the store arrives there and is answered.
    pub fn serve_store(&mut self) -> bool {
        let Some(request) = self.requests.pop_front() else {
            return false;
        };
        let event = execute(&self.store, request);
        self.handle(event);
        true
    }

    /// Time passes in small steps while the store answers everything.
    pub fn settle(&mut self, span: Duration) {
        const STEP: Duration = Duration::from_millis(10);
        let end = self.now + span;
        while self.now < end {
            while self.serve_store() {}
            self.pass(STEP);
        }
        while self.serve_store() {}
    }

    pub fn is_ready(&mut self) -> bool {
        let question = GatewayQuestion::Ready;
        let answer = self.request(question);
        matches!(answer, GatewayAnswer::Ready(true))
    }

    pub fn status(&mut self) -> Box<GatewayStatus> {
        match self.request(GatewayQuestion::Status) {
            GatewayAnswer::Status(status) => status,
            answer => panic!("no status: {answer:?}"),
        }
    }

    fn request(&mut self, question: GatewayQuestion) -> GatewayAnswer {
        let event = GatewayEvent::Asked { ask: 1, question };
        let effects = self.gateway.handle(event, self.now);
        let (told, others) = effects
            .into_iter()
            .partition(|effect| matches!(effect, GatewayEffect::Tell { .. }));
        self.keep(others);
        let told: Vec<GatewayEffect> = told;
        match told.into_iter().next() {
            Some(GatewayEffect::Tell { answer, .. }) => answer,
            _ => panic!("every question is answered"),
        }
    }
}

/// Makes the ledger's call to the store, as the border would.
pub fn execute(store: &MemoryStore, request: LedgerEffect) -> GatewayEvent {
    match request {
        LedgerEffect::ReadShard { shard } => {
            let outcome = store.read(&shard.object_key()).now_or_never();
            let read = decode_shard(outcome.expect("no slow reads")).unwrap();
            GatewayEvent::ShardRead { shard, read }
        }
        LedgerEffect::ReadEpoch => {
            let outcome = store.read(&LedgerEpoch::object_key()).now_or_never();
            GatewayEvent::EpochRead(decode_epoch(outcome.expect("no slow reads")).unwrap())
        }
        LedgerEffect::WriteShard {
            shard,
            expected,
            record,
        } => {
            let change = ObjectChange {
                key: shard.object_key(),
                expected,
                value: encode_shard(&record),
            };
            let outcome = store.update(change).now_or_never();
            let outcome = outcome.expect("no slow updates");
            GatewayEvent::ShardWritten { shard, outcome }
        }
        LedgerEffect::WriteEpoch { expected, epoch } => {
            let change = ObjectChange {
                key: LedgerEpoch::object_key(),
                expected,
                value: encode_epoch(epoch),
            };
            let outcome = store.update(change).now_or_never();
            GatewayEvent::EpochWritten(outcome.expect("no slow updates"))
        }
        LedgerEffect::Verdict { .. } => unreachable!("the loop keeps verdicts to itself"),
    }
}
