//! Random interleavings of the admission commands.

mod support;

use std::collections::{BTreeMap, HashMap};

use base::prelude::*;
use limits::commands::{cancel, expire, offer, release, set_capacity};
use limits::queries::{count_running, next_deadline, queue_bound, queue_depths};
use limits::{
    AdmissionOutcome, AdmissionRequest, AdmissionState, CallPriority, LimitSettings, QueueChange,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use support::{at, request, service, state, workspace};

const SEED: u64 = 20_261_204;
const WORKSPACES: [(&str, u32); 3] = [("a", 1), ("b", 2), ("c", 5)];

#[derive(Clone, Debug)]
enum Step {
    Offer {
        workspace: usize,
        priority: CallPriority,
        timeout_ms: u64,
        cost: u32,
    },
    Release(usize),
    Cancel(usize),
    Advance(u64),
    Resize(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPhase {
    Waiting,
    Running,
    Ended,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let priority = prop_oneof![
        Just(CallPriority::Low),
        Just(CallPriority::Normal),
        Just(CallPriority::High)
    ];
    let offer = (0..WORKSPACES.len(), priority, 0..800_u64, 1..9_u32).prop_map(
        |(workspace, priority, timeout_ms, cost)| Step::Offer {
            workspace,
            priority,
            timeout_ms,
            cost,
        },
    );
    let step = prop_oneof![
        6 => offer,
        3 => any::<usize>().prop_map(Step::Release),
        1 => any::<usize>().prop_map(Step::Cancel),
        2 => (0..300_u64).prop_map(Step::Advance),
        1 => (0..6_usize).prop_map(Step::Resize),
    ];
    prop::collection::vec(step, 1..200)
}

/// Admission state with a reference model of each call's phase.
struct Harness {
    state: AdmissionState,
    now: ClockTime,
    slots: usize,
    calls: BTreeMap<CallId, (AdmissionRequest, CallPhase)>,
}

impl Harness {
    fn new(settings: LimitSettings) -> Self {
        Self {
            state: state(4, &WORKSPACES, settings),
            now: at(0),
            slots: 4,
            calls: BTreeMap::new(),
        }
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Offer {
                workspace,
                priority,
                timeout_ms,
                cost,
            } => self.offer(workspace, priority, timeout_ms, cost),
            Step::Release(pick) => {
                if let Some(call) = self.pick(pick, CallPhase::Running) {
                    self.end(call, CallPhase::Running);
                    let change = release(&mut self.state, call, self.now);
                    self.apply(change);
                }
            }
            Step::Cancel(pick) => {
                let phase = [CallPhase::Waiting, CallPhase::Running][pick % 2];
                if let Some(call) = self.pick(pick, phase) {
                    self.end(call, phase);
                    let change = cancel(&mut self.state, call, self.now);
                    self.apply(change);
                }
            }
            Step::Advance(millis) => {
                self.now = self.now + Duration::from_millis(millis);
                let change = expire(&mut self.state, self.now);
                self.apply(change);
            }
            Step::Resize(slots) => {
                self.slots = slots;
                let change = set_capacity(&mut self.state, &service(), slots, self.now);
                self.apply(change);
            }
        }
        self.check();
    }

    fn offer(&mut self, workspace: usize, priority: CallPriority, timeout_ms: u64, cost: u32) {
        let call = CallId(self.calls.len() as u64);
        let deadline = self.now + Duration::from_millis(timeout_ms);
        let request = AdmissionRequest {
            priority,
            deadline,
            cost,
            ..request(call.0, WORKSPACES[workspace].0, 0)
        };
        let outcome = offer(&mut self.state, request.clone(), self.now);
        self.calls.insert(call, (request, CallPhase::Waiting));
        match outcome {
            AdmissionOutcome::Admitted => self.admit(call),
            AdmissionOutcome::Refused(refusal) => {
                assert_eq!(refusal.call, call);
                assert!(refusal.retry_at > self.now);
                self.end(call, CallPhase::Waiting);
            }
            AdmissionOutcome::Queued { displaced } => {
                if let Some(displaced) = displaced {
                    assert!(self.calls[&displaced.call].0.priority < priority);
                    self.end(displaced.call, CallPhase::Waiting);
                }
            }
        }
    }

    fn apply(&mut self, change: QueueChange) {
        for refusal in change.refused {
            self.end(refusal.call, CallPhase::Waiting);
        }
        for call in change.admitted {
            self.admit(call);
        }
    }

    fn admit(&mut self, call: CallId) {
        let entry = self.calls.get_mut(&call).expect("the call was offered");
        assert_eq!(
            entry.1,
            CallPhase::Waiting,
            "{call} has more than one outcome"
        );
        assert!(
            entry.0.deadline >= self.now,
            "{call} started after its deadline"
        );
        entry.1 = CallPhase::Running;
        assert!(
            self.count(CallPhase::Running) <= self.slots,
            "more calls run than there are slots"
        );
    }

    fn end(&mut self, call: CallId, from: CallPhase) {
        let entry = self.calls.get_mut(&call).expect("the call was offered");
        assert_eq!(entry.1, from, "{call} has more than one outcome");
        entry.1 = CallPhase::Ended;
    }

    fn pick(&self, pick: usize, phase: CallPhase) -> Option<CallId> {
        let calls: Vec<CallId> = self.list(phase).collect();
        (!calls.is_empty()).then(|| calls[pick % calls.len()])
    }

    fn list(&self, phase: CallPhase) -> impl Iterator<Item = CallId> + '_ {
        let calls = self.calls.iter().filter(move |(_, entry)| entry.1 == phase);
        calls.map(|(&call, _)| call)
    }

    fn count(&self, phase: CallPhase) -> usize {
        self.list(phase).count()
    }

    fn check(&self) {
        let depths = queue_depths(&self.state);
        let waiting: usize = depths.iter().map(|depth| depth.waiting).sum();
        assert_eq!(waiting, self.count(CallPhase::Waiting));
        assert_eq!(
            count_running(&self.state, &service()),
            self.count(CallPhase::Running)
        );
        for depth in &depths {
            assert!(depth.waiting <= queue_bound(&self.state, &depth.workspace));
        }
        assert_eq!(next_deadline(&self.state).is_some(), waiting > 0);
        let is_full = self.count(CallPhase::Running) >= self.slots;
        assert!(
            waiting == 0 || is_full,
            "a call waits although a slot is free"
        );
    }
}

fn runner(cases: u32) -> TestRunner {
    println!("seed {SEED}");
    TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })
}

#[test]
fn every_call_has_one_outcome_within_all_limits() {
    let settings = LimitSettings {
        queue_limit: 16,
        reserve_share: 0.0,
        initial_call_duration: Duration::from_millis(50),
        ..LimitSettings::default()
    };
    let result = runner(300).run(&steps(), |steps| {
        let mut harness = Harness::new(settings.clone());
        for step in &steps {
            harness.run(step);
        }
        Ok(())
    });
    result.expect("an interleaving violated an invariant");
}

/// Start-time fair queueing bounds the lead of one backlogged workspace over
/// another by the largest cost of each over its share.
#[test]
fn backlogged_workspaces_get_their_shares() {
    let costs = prop::collection::vec(1..20_u32, 240);
    let settings = LimitSettings {
        reserve_share: 0.0,
        initial_call_duration: Duration::from_millis(1),
        ..LimitSettings::default()
    };
    let result = runner(100).run(&(costs, 1..6_usize), |(costs, slots)| {
        let mut state = state(slots, &WORKSPACES, settings.clone());
        let mut running = Vec::new();
        for (call, &cost) in costs.iter().enumerate() {
            let request = AdmissionRequest {
                cost,
                ..request(call as u64, WORKSPACES[call % 3].0, 1_000_000)
            };
            if offer(&mut state, request, at(0)) == AdmissionOutcome::Admitted {
                running.push(CallId(call as u64));
            }
        }
        let mut served: HashMap<usize, f64> = HashMap::new();
        while !running.is_empty() {
            let ended = running.remove(0);
            let backlogged = WORKSPACES.iter().all(|(name, _)| {
                let depths = queue_depths(&state);
                let mut depths = depths
                    .iter()
                    .filter(|depth| depth.workspace == workspace(name));
                depths.any(|depth| depth.waiting > 0)
            });
            if !backlogged {
                break;
            }
            for call in release(&mut state, ended, at(1)).admitted {
                let index = call.0 as usize;
                *served.entry(index % 3).or_default() += f64::from(costs[index]);
                running.push(call);
            }
        }
        for (left, (_, left_share)) in WORKSPACES.iter().enumerate() {
            for (right, (_, right_share)) in WORKSPACES.iter().enumerate() {
                let left_share = f64::from(*left_share);
                let right_share = f64::from(*right_share);
                let lead = served.get(&left).unwrap_or(&0.0) / left_share
                    - served.get(&right).unwrap_or(&0.0) / right_share;
                let bound = 19.0 / left_share + 19.0 / right_share;
                prop_assert!(lead <= bound, "lead {lead} above {bound}");
            }
        }
        Ok(())
    });
    result.expect("a workspace got more than its share");
}
