//! Parameters and settings of one simulation.

use base::prelude::*;
use limits::{BackoffSettings, BudgetSettings, LimitSettings};
use routing::RouteSettings;

/// Mean number of tokens that a call generates.
pub const MEAN_TOKENS: f64 = 118.0;
/// Time between tokens.
pub const TOKEN_INTERVAL: Duration = Duration::from_millis(34);
/// Blocks of a prompt that all calls of its kind share.
pub const SHARED_BLOCKS: usize = 32;
/// Blocks of a prompt that are unique to the call.
pub const UNIQUE_BLOCKS: usize = 12;
/// Time to prefill one block of a prompt.
pub const BLOCK_TIME: Duration = Duration::from_millis(8);
/// Number of prompt kinds.
pub const PROMPT_KINDS: u64 = 48;
/// Number of prompt kinds whose shared blocks one endpoint keeps cached.
pub const CACHED_KINDS: usize = 24;
/// Longest time to the first token of a call that counts as good.
pub const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(960);
/// Time after which a caller without a first token closes its connection.
pub const CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// Latest start after arrival that still gives a good call; the deadline of calls.
pub const START_TIMEOUT: Duration = Duration::from_millis(600);
/// Attempts of a caller for one call.
pub const CALLER_ATTEMPTS: u32 = 3;
/// Interval between load reports.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Delay of load reports and cache events on their way to the nodes.
pub const REPORT_DELAY: Duration = Duration::from_millis(300);
/// Fraction of cache events that are lost.
pub const CACHE_EVENT_LOSS: f64 = 0.02;
/// Time until nodes detect that an endpoint went down or recovered.
pub const DETECTION_DELAY: Duration = Duration::from_secs(1);
/// Time until a call to an endpoint that is down fails.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Policy of the nodes in a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// Bronzerun's decision code.
    Managed,
    /// Baseline: round robin, FIFO queue, fixed retry delays.
    Plain,
}

/// One workspace's arrivals.
#[derive(Clone, Debug)]
pub struct Arrivals {
    /// Name of the workspace.
    pub workspace: &'static str,
    /// Share of the workspace, as a weight.
    pub share: u32,
    /// Rate of new calls, as a fraction of the capacity of all endpoints.
    pub load: f64,
}

/// Parameters of one simulation.
#[derive(Clone, Debug)]
pub struct Setup {
    pub policy: PolicyKind,
    pub seed: u64,
    pub nodes: usize,
    pub endpoints: usize,
    pub slots: usize,
    pub arrivals: Vec<Arrivals>,
    /// When half of the endpoints go down and when they recover.
    pub outage: Option<(ClockTime, ClockTime)>,
    pub warm_up_end: ClockTime,
    pub end: ClockTime,
    pub limits: LimitSettings,
    pub routes: RouteSettings,
    pub budget: BudgetSettings,
    pub backoff: BackoffSettings,
    /// Whether callers honor the retry time of a refusal.
    pub honors_retry_hint: bool,
}

impl Setup {
    /// Simulation of 6 nodes, 12 endpoints and workspaces of equal shares and loads.
    pub fn new(policy: PolicyKind, seed: u64, load: f64) -> Self {
        let names = ["quotes", "chat", "reports", "clinics"];
        let arrivals = names.map(|workspace| Arrivals {
            workspace,
            share: 1,
            load: load / names.len() as f64,
        });
        Self {
            policy,
            seed,
            nodes: 6,
            endpoints: 12,
            slots: 32,
            arrivals: arrivals.into(),
            outage: None,
            warm_up_end: ClockTime::from_millis(20_000),
            end: ClockTime::from_millis(120_000),
            limits: LimitSettings::default(),
            routes: RouteSettings {
                block_cost: BLOCK_TIME,
                ..RouteSettings::default()
            },
            budget: BudgetSettings::default(),
            backoff: BackoffSettings::default(),
            honors_retry_hint: true,
        }
    }

    /// Calls per second that all slots can serve if every shared block is cached.
    pub fn capacity(&self) -> f64 {
        let prompt = BLOCK_TIME.as_secs_f64() * UNIQUE_BLOCKS as f64;
        let slot_time = prompt + TOKEN_INTERVAL.as_secs_f64() * MEAN_TOKENS;
        (self.endpoints * self.slots) as f64 / slot_time
    }
}
