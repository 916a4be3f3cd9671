//! Policy under test: bronzerun's admission, routing and retry budget.

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

/// Concurrent calls that a workspace may have on a node.
const CALL_LIMIT: usize = 1_000;

/// Node that runs bronzerun's decision code.
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
    backoff: RetryBackoff,
}

impl ManagedNode {
    /// Creates the node with this number; the number is part of its seed.
    pub fn new(setup: &Setup, number: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(setup.seed * 100_003 + number as u64);
        let workspaces = setup.arrivals.iter().map(|arrivals| {
            let limits = WorkspaceLimits {
                share: arrivals.share,
                call_limit: CALL_LIMIT,
            };
            (workspace_name(arrivals.workspace), limits)
        });
        let mut admission = AdmissionState::new(setup.limits.clone(), rng.fork());
        set_workspaces(&mut admission, workspaces.collect(), ClockTime(0));
        let mut routing = RoutingState::new(setup.routes.clone(), rng.fork());
        set_node_count(&mut routing, setup.nodes);
        Self {
            service: ServiceName::new("fogas-llm").expect("the name is valid"),
            admission,
            routing,
            budget: RetryBudget::new(setup.budget.clone()),
            rng,
            calls: BTreeMap::new(),
            setup: setup.clone(),
        }
    }

    fn send(&mut self, call: CallId, now: ClockTime) -> Vec<NodeAction> {
        let state = &self.calls[&call];
        let query = RouteQuery {
            call,
            prefix: &state.prefix,
            excluded: &state.failed,
        };
        let Some(choice) = choose(&self.routing, now, &query) else {
            return self.fail_call(call, now);
        };
        begin(&mut self.routing, call, &choice.target);
        vec![NodeAction::Send {
            call,
            endpoint: endpoint_number(&choice.target),
        }]
    }

    fn fail_call(&mut self, call: CallId, now: ClockTime) -> Vec<NodeAction> {
        self.calls.remove(&call);
        let change = release(&mut self.admission, call, now);
        let mut actions = self.apply_change(change, now);
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

    fn apply_change(&mut self, change: QueueChange, now: ClockTime) -> Vec<NodeAction> {
        let mut actions = Vec::new();
        for refusal in change.refused {
            actions.push(self.refuse(refusal));
        }
        for call in change.admitted {
            actions.extend(self.send(call, now));
        }
        actions
    }

    fn update_capacity(&mut self, now: ClockTime) -> Vec<NodeAction> {
        let load = sum_load(&self.routing);
        let usage = SlotUsage {
            slots: load.slots,
            reported_slots: load.reported_slots,
            reported_calls: load.reported_calls,
            local_calls: load.local_calls,
            nodes: self.setup.nodes,
        };
        let change = set_capacity_share(&mut self.admission, &self.service, usage, now);
        self.apply_change(change, now)
    }
}

impl NodePolicy for ManagedNode {
    fn arrive(&mut self, call: NodeCall, now: ClockTime) -> Vec<NodeAction> {
        record_request(&mut self.budget, &self.service, now);
        let request = AdmissionRequest {
            call: call.call,
            workspace: call.workspace,
            service: self.service.clone(),
            priority: CallPriority::Normal,
            deadline: call.deadline,
            cost: call.tokens,
        };
        let state = ManagedCall {
            prefix: call.prefix,
            failed: Vec::new(),
            backoff: RetryBackoff::new(self.setup.backoff.clone(), call.deadline),
        };
        self.calls.insert(call.call, state);
        match offer(&mut self.admission, request, now) {
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
        self.apply_change(change, now)
    }

    fn fail(&mut self, call: CallId, now: ClockTime) -> Vec<NodeAction> {
        let target = routing::queries::find_target(&self.routing, call).cloned();
        finish(&mut self.routing, call);
        let Some(state) = self.calls.get_mut(&call) else {
            return Vec::new();
        };
        state.failed.extend(target);
        let due = state.backoff.next_attempt(&mut self.rng, now);
        let proof = IdempotentCall::new(call, CallIdempotency::Idempotent);
        if let (Some(due), Some(proof)) = (due, proof)
            && claim_retry(&mut self.budget, &self.service, proof, now) != RetryOutcome::Exhausted
        {
            return vec![NodeAction::Retry { call, due }];
        }
        self.fail_call(call, now)
    }

    fn disconnect(&mut self, call: CallId, now: ClockTime) -> Vec<NodeAction> {
        self.calls.remove(&call);
        finish(&mut self.routing, call);
        let change = cancel(&mut self.admission, call, now);
        self.apply_change(change, now)
    }

    fn wake(&mut self, now: ClockTime) -> Vec<NodeAction> {
        let change = expire(&mut self.admission, now);
        self.apply_change(change, now)
    }

    fn next_deadline(&self) -> Option<ClockTime> {
        next_deadline(&self.admission)
    }

    fn set_endpoints(&mut self, endpoints: &[usize], now: ClockTime) -> Vec<NodeAction> {
        let specs = endpoints.iter().map(|&number| TargetSpec {
            target: target_id(number),
            incarnation: 1,
            slots: self.setup.slots,
        });
        set_targets(&mut self.routing, specs.collect(), now);
        self.update_capacity(now)
    }

    fn observe_load(
        &mut self,
        samples: &[(usize, LoadSample)],
        taken: ClockTime,
        now: ClockTime,
    ) -> Vec<NodeAction> {
        for &(number, sample) in samples {
            observe_load(&mut self.routing, &target_id(number), sample, taken);
        }
        self.update_capacity(now)
    }

    fn observe_cache(&mut self, endpoint: usize, event: CacheEvent) {
        observe_cache(&mut self.routing, &target_id(endpoint), event);
    }
}

/// Makes the name of a workspace.
pub fn workspace_name(name: &str) -> WorkspaceName {
    WorkspaceName::new(name).expect("the name is valid")
}

fn target_id(number: usize) -> TargetId {
    let name = format!("group-{number}");
    TargetId::Group(GroupName::new(&name).expect("the name is valid"))
}

fn endpoint_number(target: &TargetId) -> usize {
    let number = target.as_str().trim_start_matches("group-");
    number
        .parse()
        .expect("the names of targets end in a number")
}
