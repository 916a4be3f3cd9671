//! Helpers to set up a relay with some targets and requests.

use base::prelude::*;
use exchange::{HeldRequest, NotRunProof, RequestMessage};
use intent::{CallKind, Route, TokenCounts, WeightedService};
use limits::BudgetSettings;
use relay::commands::{arrive, set_targets};
use relay::{
    AttemptEnd, AttemptId, CallArrival, CallStep, RelaySettings, RelayState, SendOrder, SendTarget,
    StallStep,
};

pub const STREAM: CallKind = CallKind::Stream { resumable: true };

pub fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

pub fn host(name: &str) -> HostName {
    HostName::new(name).unwrap()
}

pub fn head(id: &str, epoch: u64) -> SendTarget {
    SendTarget {
        id: host(id),
        incarnation: HostIncarnation(1),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: DomainName::new("zone-a").unwrap(),
        service: ServiceName::new("models").unwrap(),
        model: Some(ModelName::new("large").unwrap()),
        epoch: GroupEpoch(epoch),
        slots: 4,
        cold: None,
    }
}

pub fn plain(id: &str) -> SendTarget {
    SendTarget {
        service: ServiceName::new("plain").unwrap(),
        model: None,
        epoch: GroupEpoch(0),
        ..head(id, 0)
    }
}

pub fn relay(targets: Vec<SendTarget>) -> RelayState {
    relay_with(targets, 20)
}

pub fn relay_with(targets: Vec<SendTarget>, retry_floor: u32) -> RelayState {
    let budget = BudgetSettings {
        retry_floor,
        ..BudgetSettings::default()
    };
    let domain = DomainName::new("zone-a").unwrap();
    let mut state = RelayState::new(RelaySettings::default(), budget, domain);
    set_targets(&mut state, targets);
    state
}

pub fn request(call: u64, kind: CallKind, attempts: u32) -> CallArrival {
    let is_stream = kind.is_stream();
    let service = ServiceName::new(if is_stream { "models" } else { "plain" }).unwrap();
    let route = Route {
        name: "route".into(),
        host: "a.example".into(),
        prefix: "/".into(),
        kind,
        timeout: Duration::from_secs(8),
        objective: Duration::from_millis(300),
        gap_objective: None,
        attempts,
        priority: 1,
        is_public: false,
        services: vec![WeightedService {
            service: service.clone(),
            weight: 1,
        }],
    };
    CallArrival {
        call: CallId(call),
        host: "a.example".into(),
        path: "/".into(),
        route: Arc::new(route),
        service,
        model: is_stream.then(|| ModelName::new("large").unwrap()),
        workspace: None,
        tokens: TokenCounts::default(),
        is_resumed: false,
        priority: 1,
        deadline: at(8_000),
        client_deadline: None,
    }
}

pub fn send(state: &mut RelayState, arrival: CallArrival, now: ClockTime) -> SendOrder {
    sent(arrive(state, arrival, now))
}

pub fn sent(step: CallStep) -> SendOrder {
    match step {
        CallStep::Send(order) => order,
        CallStep::Wait => panic!("another attempt is open"),
        CallStep::Refuse(refusal) => panic!("refused: {refusal:?}"),
    }
}

/// First attempt of a request.
pub fn first(call: u64) -> AttemptId {
    AttemptId {
        call: CallId(call),
        number: 1,
    }
}

/// Latest attempt of a request.
pub fn latest(state: &RelayState, call: u64) -> AttemptId {
    relay::queries::latest_attempt(state, CallId(call)).unwrap_or_else(|| first(call))
}

/// Ends the latest attempt of a request.
pub fn end_attempt(
    state: &mut RelayState,
    call: CallId,
    end: AttemptEnd,
    now: ClockTime,
) -> CallStep {
    let attempt = latest(state, call.0);
    relay::commands::end_attempt(state, attempt, end, now)
}

/// Checks the latest attempt of a request.
pub fn check_stall(state: &mut RelayState, call: CallId, now: ClockTime) -> StallStep {
    let attempt = latest(state, call.0);
    relay::commands::check_stall(state, attempt, now)
}

/// Reports progress of the latest attempt of a request.
pub fn record_progress(state: &mut RelayState, call: CallId, now: ClockTime) {
    let attempt = latest(state, call.0);
    relay::commands::record_progress(state, attempt, now);
}

/// Target of the latest attempt of a request if it is silent.
pub fn silent_target(state: &RelayState, call: CallId, now: ClockTime) -> Option<HostName> {
    relay::commands::silent_target(state, latest(state, call.0), now)
}

/// Request that is never sent.
struct UnsentRequest;

impl RequestMessage for UnsentRequest {}

/// Proof that a request was not run.
pub fn not_run() -> NotRunProof {
    HeldRequest::new(UnsentRequest).give_up()
}
