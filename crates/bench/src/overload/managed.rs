//! The system's own decisions: admission, routing and retry budget.

use std::collections::BTreeMap;

use base::prelude::*;
use limits::commands::{
    cancel, claim_retry, expire, offer, record_request, release, set_capacity_share, set_workspaces,
};
use limits::queries::next_deadline;
use limits::{
    AdmissionOutcome, AdmissionRequest, AdmissionState, CallIdempotency, CallPriority, CallRefusal,
    IdempotentCall, QueueChange, RetryBackoff, RetryBudget, RetryOutcome, SlotUsage,
    WorkspaceLimits,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use routing::commands::{begin, finish, observe_cache, observe_load, set_node_count, set_targets};
use routing::queries::{RouteQuery, choose, sum_load};
use routing::{BlockHash, CacheEvent, LoadSample, RoutingState, TargetId, TargetSpec};

use super::policy::{NodeAction, NodeCall, NodePolicy};
use super::setup::Setup;

/// Calls that one workspace may have running on one node.
const CALL_LIMIT: usize = 1_000;

/// Node with the system's own decisions.
pub struct ManagedNode {
    setup: Setup,
    service: ServiceName,
    admission: AdmissionState,
    routing: RoutingState,
    budget: RetryBudget,
    rng: StdRng,
    calls: BTreeMap<CallId, ManagedCall>,
}

struct ManagedCall {
    prefix: Vec<BlockHash>,
    failed: Vec<TargetId>,
    plan: RetryBackoff,
}

impl ManagedNode {
    /// Node number so many of a run.
    pub fn new(setup: &Setup, number: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(setup.seed * 100_003 + number as u64);
        let shares = setup.arrivals.iter().map(|arrivals| {
            let share = WorkspaceLimits {
                share: arrivals.share,
                call_limit: CALL_LIMIT,
            };
            (name_workspace(arrivals.workspace), share)
        });
        let mut admission = AdmissionState::new(setup.limits.clone(), rng.fork());
        set_workspaces(&mut admission, shares.collect(), ClockTime(0));
        let mut routing = RoutingState::new(setup.routes.clone(), rng.fork());
        set_node_count(&mut routing, setup.nodes);
        Self {
            service: ServiceName::new("fogas-llm").expect("the name is good"),
            admission,
            routing,
            budget: RetryBudget::new(setup.budget.clone()),
            rng,
            calls: BTreeMap::new(),
            setup: setup.clone(),
        }
    }

    fn send(&mut self, call: CallId, now: ClockTime) -> Vec<NodeAction> {
        let known = &self.calls[&call];
        let query = RouteQuery {
            call,
            prefix: &known.prefix,
            excluded: &known.failed,
        };
        let Some(choice) = choose(&self.routing, now, &query) else {
            return self.give_up(call, now);
        };
        begin(&mut self.routing, call, &choice.target);
        vec![NodeAction::Send {
            call,
            endpoint: number_of(&choice.target),
        }]
    }

    fn give_up(&mut self, call: CallId, now: ClockTime) -> Vec<NodeAction> {
        self.calls.remove(&call);
        let change = release(&mut self.admission, call, now);
        let mut actions = self.follow(change, now);
        actions.push(NodeAction::Fail { call });
        actions
    }

    fn refuse(&mut self, refusal: CallRefusal) -> NodeAction {
        self.calls.remove(&refusal.call);
        NodeAction::Refuse {
            call: refusal.call,
            retry_at: Some(refusal.retry_at),
        }
    }

    fn follow(&mut self, change: QueueChange, now: ClockTime) -> Vec<NodeAction> {
        let mut actions = Vec::new();
        for refusal in change.refused {
            actions.push(self.refuse(refusal));
        }
        for call in change.admitted {
            actions.extend(self.send(call, now));
        }
        actions
    }

    fn resize(&mut self, now: ClockTime) -> Vec<NodeAction> {
        let load = sum_load(&self.routing);
        let view = SlotUsage {
            slots: load.slots,
            reported_slots: load.reported_slots,
            reported_calls: load.reported_calls,
            local_calls: load.local_calls,
            nodes: self.setup.nodes,
        };
        let change = set_capacity_share(&mut self.admission, &self.service, view, now);
        self.follow(change, now)
    }
}

impl NodePolicy for ManagedNode {
    fn arrive(&mut self, call: NodeCall, now: ClockTime) -> Vec<NodeAction> {
        record_request(&mut self.budget, &self.service, now);
        let ticket = AdmissionRequest {
            call: call.call,
            workspace: call.workspace,
            service: self.service.clone(),
            priority: CallPriority::Normal,
            deadline: call.deadline,
            cost: call.tokens,
        };
        let known = ManagedCall {
            prefix: call.prefix,
            failed: Vec::new(),
            plan: RetryBackoff::new(self.setup.backoff.clone(), call.deadline),
        };
        self.calls.insert(call.call, known);
        match offer(&mut self.admission, ticket, now) {
            AdmissionOutcome::Admitted => self.send(call.call, now),
            AdmissionOutcome::Queued { displaced } => displaced
                .into_iter()
                .map(|refusal| self.refuse(refusal))
                .collect(),
            AdmissionOutcome::Refused(refusal) => vec![self.refuse(refusal)],
        }
    }

    fn retry(&mut self, call: CallId, now: ClockTime) -> Vec<NodeAction> {
        if self.calls.contains_key(&call) {
            self.send(call, now)
        } else {
            Vec::new()
        }
    }

    fn finish(&mut self, call: CallId, now: ClockTime) -> Vec<NodeAction> {
        self.calls.remove(&call);
        finish(&mut self.routing, call);
        let change = release(&mut self.admission, call, now);
        self.follow(change, now)
    }

    fn fail(&mut self, call: CallId, now: ClockTime) -> Vec<NodeAction> {
        let target = routing::queries::find_target(&self.routing, call).cloned();
        finish(&mut self.routing, call);
        let Some(known) = self.calls.get_mut(&call) else {
            return Vec::new();
        };
        known.failed.extend(target);
        let due = known.plan.next_attempt(&mut self.rng, now);
        let proof = IdempotentCall::new(call, CallIdempotency::Idempotent);
        if let (Some(due), Some(proof)) = (due, proof)
            && claim_retry(&mut self.budget, &self.service, proof, now) != RetryOutcome::Exhausted
        {
            return vec![NodeAction::Retry { call, due }];
        }
        self.give_up(call, now)
    }

    fn hang_up(&mut self, call: CallId, now: ClockTime) -> Vec<NodeAction> {
        self.calls.remove(&call);
        finish(&mut self.routing, call);
        let change = cancel(&mut self.admission, call, now);
        self.follow(change, now)
    }

    fn wake(&mut self, now: ClockTime) -> Vec<NodeAction> {
        let change = expire(&mut self.admission, now);
        self.follow(change, now)
    }

    fn next_deadline(&self) -> Option<ClockTime> {
        next_deadline(&self.admission)
    }

    fn set_endpoints(&mut self, endpoints: &[usize], now: ClockTime) -> Vec<NodeAction> {
        let specs = endpoints.iter().map(|&number| TargetSpec {
            target: name_target(number),
            incarnation: 1,
            slots: self.setup.slots,
        });
        set_targets(&mut self.routing, specs.collect(), now);
        self.resize(now)
    }

    fn observe_load(
        &mut self,
        samples: &[(usize, LoadSample)],
        taken: ClockTime,
        now: ClockTime,
    ) -> Vec<NodeAction> {
        for &(number, sample) in samples {
            observe_load(&mut self.routing, &name_target(number), sample, taken);
        }
        self.resize(now)
    }

    fn observe_cache(&mut self, endpoint: usize, event: CacheEvent) {
        observe_cache(&mut self.routing, &name_target(endpoint), event);
    }
}

/// Name of a workspace.
pub fn name_workspace(name: &str) -> WorkspaceName {
    WorkspaceName::new(name).expect("the name is good")
}

fn name_target(number: usize) -> TargetId {
    let name = format!("group-{number}");
    TargetId::Group(GroupName::new(&name).expect("the name is good"))
}

fn number_of(target: &TargetId) -> usize {
    let number = target.as_str().trim_start_matches("group-");
    number.parse().expect("targets are numbered")
}
