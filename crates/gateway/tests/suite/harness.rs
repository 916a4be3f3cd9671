//! Harness that feeds events to a gateway's event loop and collects the effects.

use std::collections::VecDeque;
use std::net::SocketAddr;

use base::prelude::*;
use document::KeyDigest;
use exchange::{HeldRequest, NotRunProof, RequestMessage};
use futures_util::FutureExt;
use gateway::{
    AttemptEnd, AttemptNumber, CallArrival, CallKind, CallRefusal, CallStep, GatewayEffect,
    GatewayEvent, GatewayLoop, GatewayQuery, GatewayReply, GatewayState, GatewayStatus,
    GatewayTimes, RefusalCause, RunState, SendOrder,
};
use ledger::{
    LedgerEffect, LedgerEpoch, RecordedBody, RecordedResponse, RequestDigest, decode_epoch,
    decode_shard, encode_epoch, encode_shard,
};
use limits::CallPriority;
use store::{MemoryStore, ObjectChange, ObjectStore};
use watch::{WatchEffect, WatchEvent, WatchTimes};

use crate::fleet::{DESK_KEY, Fleet, MODEL_SERVICE, document};

/// How long a report is valid.
pub const REPORT_VALIDITY: Duration = Duration::from_secs(2);
/// Time for which a gateway still accepts connections after a shutdown request.
pub const BALANCER_NOTICE: Duration = Duration::from_secs(5);
/// Longest time that a shutdown waits for calls.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(60);
const START: ClockTime = ClockTime::from_millis(50_000);

/// One gateway, its store and the effects that it returned.
pub struct Harness {
    pub gateway: GatewayLoop,
    pub now: ClockTime,
    pub store: MemoryStore,
    /// Steps of calls, in order.
    pub steps: Vec<(CallId, CallStep)>,
    /// Store operations of the ledger that were not executed yet.
    pub ledger_operations: VecDeque<LedgerEffect>,
    /// Reads and polls that were started.
    pub reads: Vec<WatchEffect>,
    /// Names of the recorded measures.
    pub measures: Vec<&'static str>,
    pub stopped_accepting: bool,
    pub finished: bool,
    next_call: CallId,
}

/// Model call of Debrecen's desk, with the service's timeout.
pub fn model_call() -> CallArrival {
    let kind = CallKind::Model {
        prefix: Vec::new(),
        tokens: 8,
    };
    arrival(DESK_KEY, MODEL_SERVICE, kind, None)
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

/// Refusal without a retry instant.
pub fn refusal(cause: RefusalCause, run: RunState) -> CallStep {
    CallStep::Refuse(CallRefusal {
        cause,
        run,
        retry_at: None,
    })
}

/// Response of an endpoint.
pub fn recorded(text: &str) -> RecordedResponse {
    RecordedResponse {
        status: 201,
        headers: Vec::new(),
        body: RecordedBody::Whole(Arc::from(text.as_bytes())),
    }
}

impl Harness {
    /// Gateway without configuration, with a store of its own.
    pub fn empty() -> Self {
        Self::with_store(MemoryStore::default(), "entry-1", 1)
    }

    /// Gateway without configuration, with a shared store.
    pub fn with_store(store: MemoryStore, node: &str, process: u64) -> Self {
        let times = GatewayTimes {
            watch: WatchTimes {
                poll_interval: Duration::from_millis(500),
                read_interval: Duration::from_secs(1),
                watch_timeout: Duration::from_secs(20),
            },
            report_validity: REPORT_VALIDITY,
            balancer_notice: BALANCER_NOTICE,
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
            ledger_operations: VecDeque::new(),
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
        self.collect_effects(effects);
    }

    fn collect_effects(&mut self, effects: Vec<GatewayEffect>) {
        for effect in effects {
            match effect {
                GatewayEffect::Step { call, step } => self.steps.push((call, step)),
                GatewayEffect::Ledger(operation) => self.ledger_operations.push_back(operation),
                GatewayEffect::StopAccepting => self.stopped_accepting = true,
                GatewayEffect::Finish => self.finished = true,
                GatewayEffect::Watch(read) => self.reads.push(read),
                GatewayEffect::Measure(measure) => self.measures.push(measure.measure),
                GatewayEffect::Reply { .. } | GatewayEffect::Peer(_) => {}
            }
        }
    }

    /// Advances the time and wakes the loop once at the end.
    pub fn advance(&mut self, duration: Duration) {
        self.now = self.now + duration;
        let effects = self.gateway.wake(self.now);
        self.collect_effects(effects);
    }

    pub fn read_document(&mut self, version: u64) {
        let read = Some((ObjectVersion(version), document()));
        self.watch(WatchEvent::DocumentRead(read));
    }

    /// Reads everything about the fleet, with a report of every engine.
    pub fn read_fleet(&mut self, fleet: &Fleet) {
        self.watch(WatchEvent::HostsRead(Some(fleet.hosts.clone())));
        self.read_record(fleet);
        self.receive_reports(fleet);
    }

    pub fn read_record(&mut self, fleet: &Fleet) {
        let records = vec![(fleet.record.clone(), fleet.version)];
        self.watch(WatchEvent::FabricsRead(Some(records)));
    }

    /// Receives a report of every engine, polled now.
    pub fn receive_reports(&mut self, fleet: &Fleet) {
        for index in 0..fleet.reports.len() {
            self.receive_report(fleet, index, self.now);
        }
    }

    pub fn receive_report(&mut self, fleet: &Fleet, index: usize, polled_at: ClockTime) {
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

    /// Identifier of the next call.
    pub fn next_call(&self) -> CallId {
        self.next_call.next()
    }

    /// Receives a call.
    pub fn call(&mut self, arrival: CallArrival) -> CallId {
        let call = self.next_call();
        self.next_call = call;
        self.handle(GatewayEvent::CallArrived(CallArrival { call, ..arrival }));
        call
    }

    /// Ends the latest attempt of a call.
    pub fn end_attempt(&mut self, call: CallId, end: AttemptEnd) {
        let steps = self.steps_of(call).into_iter();
        let mut orders = steps.filter_map(|step| match step {
            CallStep::Send(order) => Some(order.attempt),
            _ => None,
        });
        let attempt = orders.next_back().unwrap_or_default();
        self.end_numbered(call, attempt, end);
    }

    /// Ends an attempt of a call.
    pub fn end_numbered(&mut self, call: CallId, attempt: AttemptNumber, end: AttemptEnd) {
        self.handle(GatewayEvent::AttemptEnded { call, attempt, end });
    }

    /// An attempt's stream has had no event for the silence limit.
    pub fn silence(&mut self, call: CallId, attempt: AttemptNumber) {
        self.handle(GatewayEvent::AttemptSilent { call, attempt });
    }

    /// An attempt goes on and ends the others.
    pub fn progress(&mut self, call: CallId, attempt: AttemptNumber) {
        self.handle(GatewayEvent::AttemptProgressed { call, attempt });
    }

    /// Disconnects a call's caller.
    pub fn disconnect(&mut self, call: CallId) {
        self.handle(GatewayEvent::CallerDisconnected { call });
    }

    /// Steps of a call.
    pub fn steps_of(&self, call: CallId) -> Vec<&CallStep> {
        let steps = self.steps.iter().filter(|(other, _)| *other == call);
        steps.map(|(_, step)| step).collect()
    }

    /// Last step of a call.
    pub fn last_step(&self, call: CallId) -> Option<&CallStep> {
        self.steps_of(call).last().copied()
    }

    /// Refusal of a call, if that is its last step.
    pub fn refused(&self, call: CallId) -> Option<(RefusalCause, RunState)> {
        match self.last_step(call) {
            Some(CallStep::Refuse(refusal)) => Some((refusal.cause, refusal.run)),
            _ => None,
        }
    }

    /// Order of a call's last step, which must be to send.
    pub fn last_order(&self, call: CallId) -> &SendOrder {
        match self.last_step(call) {
            Some(CallStep::Send(order)) => order,
            step => panic!("{call} was not sent: {step:?}"),
        }
    }

    pub fn last_address(&self, call: CallId) -> SocketAddr {
        self.last_order(call).address
    }

    /// Number of times that a call was sent.
    pub fn send_count(&self, call: CallId) -> usize {
        let steps = self.steps_of(call).into_iter();
        steps
            .filter(|step| matches!(step, CallStep::Send(_)))
            .count()
    }

    /// Executes the oldest pending store operation; false if there is none.
    pub fn execute_store_operation(&mut self) -> bool {
        let Some(operation) = self.ledger_operations.pop_front() else {
            return false;
        };
        let event = execute(&self.store, operation);
        self.handle(event);
        true
    }

    /// Advances the time in small steps and executes all store operations.
    pub fn advance_with_store(&mut self, duration: Duration) {
        const STEP: Duration = Duration::from_millis(10);
        let end = self.now + duration;
        while self.now < end {
            while self.execute_store_operation() {}
            self.advance(STEP);
        }
        while self.execute_store_operation() {}
    }

    pub fn is_ready(&mut self) -> bool {
        let query = GatewayQuery::Ready;
        let reply = self.request(query);
        matches!(reply, GatewayReply::Ready(true))
    }

    pub fn status(&mut self) -> Box<GatewayStatus> {
        match self.request(GatewayQuery::Status) {
            GatewayReply::Status(status) => status,
            reply => panic!("unexpected reply: {reply:?}"),
        }
    }

    fn request(&mut self, query: GatewayQuery) -> GatewayReply {
        let event = GatewayEvent::QueryReceived { id: 1, query };
        let effects = self.gateway.handle(event, self.now);
        let (replies, others) = effects
            .into_iter()
            .partition(|effect| matches!(effect, GatewayEffect::Reply { .. }));
        self.collect_effects(others);
        let replies: Vec<GatewayEffect> = replies;
        match replies.into_iter().next() {
            Some(GatewayEffect::Reply { reply, .. }) => reply,
            _ => panic!("the query got no reply"),
        }
    }
}

/// Executes a store operation of the ledger.
pub fn execute(store: &MemoryStore, operation: LedgerEffect) -> GatewayEvent {
    match operation {
        LedgerEffect::ReadShard { shard } => {
            let outcome = store.read(&shard.object_key()).now_or_never();
            let read =
                decode_shard(outcome.expect("the memory store answers reads at once")).unwrap();
            GatewayEvent::ShardRead { shard, read }
        }
        LedgerEffect::ReadEpoch => {
            let outcome = store.read(&LedgerEpoch::object_key()).now_or_never();
            GatewayEvent::EpochRead(
                decode_epoch(outcome.expect("the memory store answers reads at once")).unwrap(),
            )
        }
        LedgerEffect::WriteShard {
            shard,
            expected,
            contents,
        } => {
            let change = ObjectChange {
                key: shard.object_key(),
                expected,
                value: encode_shard(&contents),
            };
            let outcome = store.update(change).now_or_never();
            let outcome = outcome.expect("the memory store answers updates at once");
            GatewayEvent::ShardWritten { shard, outcome }
        }
        LedgerEffect::WriteEpoch { expected, epoch } => {
            let change = ObjectChange {
                key: LedgerEpoch::object_key(),
                expected,
                value: encode_epoch(epoch),
            };
            let outcome = store.update(change).now_or_never();
            GatewayEvent::EpochWritten(outcome.expect("the memory store answers updates at once"))
        }
        LedgerEffect::Verdict { .. } => unreachable!("verdicts are applied within the loop"),
    }
}

/// Request that is never sent.
struct UnsentRequest;

impl RequestMessage for UnsentRequest {}

/// Proof that a request was not run.
pub fn not_run() -> NotRunProof {
    HeldRequest::new(UnsentRequest).give_up()
}
