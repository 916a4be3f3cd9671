//! Sizes, times and settings of one run.

use base::prelude::*;
use limits::{BackoffSettings, BudgetSettings, LimitSettings};
use routing::RouteSettings;

/// Tokens that a call generates on average.
pub const MEAN_TOKENS: f64 = 118.0;
/// Time between tokens.
pub const TOKEN_GAP: Duration = Duration::from_millis(34);
/// Blocks of a prompt that calls of one kind share.
pub const SHARED_BLOCKS: usize = 32;
/// Blocks of a prompt that no other call has.
pub const SINGLE_BLOCKS: usize = 12;
/// Time to compute one block of a prompt.
pub const BLOCK_TIME: Duration = Duration::from_millis(8);
/// Kinds of prompts.
pub const PROMPT_KINDS: u64 = 48;
/// Kinds whose shared blocks one endpoint keeps cached.
pub const CACHED_KINDS: usize = 24;
/// First token by which a call still counts as good.
pub const GOOD_LIMIT: Duration = Duration::from_millis(960);
/// Wait for a first token after which a caller hangs up.
pub const PATIENCE: Duration = Duration::from_secs(2);
/// Last start after arrival that still makes a good call.
pub const START_LIMIT: Duration = Duration::from_millis(600);
/// Times that a caller asks.
pub const CALLER_TRIES: u32 = 3;
/// Time between load reports.
pub const REPORT_SPAN: Duration = Duration::from_secs(1);
/// Age of a load report or cache event when it arrives.
pub const REPORT_LAG: Duration = Duration::from_millis(300);
/// Share of cache events that are lost.
pub const EVENT_LOSS: f64 = 0.02;
/// Time until a dark or recovered endpoint is noticed.
pub const NOTICE_TIME: Duration = Duration::from_secs(1);
/// Time until a call to a dark endpoint fails.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Which decisions a run drives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// The system's own.
    Managed,
    /// Plain choices.
    Plain,
}

/// One workspace's arrivals.
#[derive(Clone, Debug)]
pub struct Arrivals {
    /// Name of the workspace.
    pub workspace: &'static str,
    /// Its weight.
    pub share: u32,
    /// New calls against the capacity of all endpoints.
    pub load: f64,
}

/// One run.
#[derive(Clone, Debug)]
pub struct Setup {
    pub policy: PolicyKind,
    pub seed: u64,
    pub nodes: usize,
    pub endpoints: usize,
    pub slots: usize,
    pub arrivals: Vec<Arrivals>,
    /// When half of the endpoints go dark and come back.
    pub outage: Option<(ClockTime, ClockTime)>,
    pub warm: ClockTime,
    pub end: ClockTime,
    pub limits: LimitSettings,
    pub routes: RouteSettings,
    pub budget: BudgetSettings,
    pub backoff: BackoffSettings,
    /// Whether callers wait as long as a refusal asks.
    pub heeds_hint: bool,
}

impl Setup {
    /// Run of 12 endpoints before 6 nodes with even workspaces.
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
            warm: ClockTime::from_millis(20_000),
            end: ClockTime::from_millis(120_000),
            limits: LimitSettings::default(),
            routes: RouteSettings {
                block_cost: BLOCK_TIME,
                ..RouteSettings::default()
            },
            budget: BudgetSettings::default(),
            backoff: BackoffSettings::default(),
            heeds_hint: true,
        }
    }

    /// Calls a second that all slots carry with every shared block cached.
    pub fn capacity(&self) -> f64 {
        let prompt = BLOCK_TIME.as_secs_f64() * SINGLE_BLOCKS as f64;
        let hold = prompt + TOKEN_GAP.as_secs_f64() * MEAN_TOKENS;
        (self.endpoints * self.slots) as f64 / hold
    }
}
