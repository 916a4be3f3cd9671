//! State of one node's reach.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;

use crate::ReachSettings;

/// Change of a node's reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// The node reaches no server.
    CutOff,
    /// A suspicion was wrong: servers are in trouble, and the node is sound.
    Dismissed,
    /// The node reaches servers again.
    Restored,
}

/// Other node that could pass requests on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PassCandidate {
    /// The node.
    pub node: NodeName,
    /// Whether it is in this node's failure domain.
    pub is_near: bool,
}

/// Whether servers are reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReachPhase {
    /// Servers are reached.
    Sound,
    /// Several servers are in trouble, and a trial decides.
    Doubtful,
    /// No server is reached.
    CutOff {
        /// Successful trials since the last one that failed.
        good_trials: u32,
    },
}

/// Trial in progress.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReachTrial {
    pub pending: BTreeSet<HostName>,
    pub reached: usize,
    pub size: usize,
}

/// State of one node's reach.
#[derive(Clone, Debug)]
pub struct ReachState {
    pub(crate) settings: ReachSettings,
    pub(crate) phase: ReachPhase,
    /// Servers in trouble, and until when they count.
    pub(crate) troubled: BTreeMap<HostName, ClockTime>,
    /// Instant until which trouble raises no suspicion.
    pub(crate) trusted_until: ClockTime,
    /// Instant of the next trial; `None` if none is due.
    pub(crate) trial_due: Option<ClockTime>,
    pub(crate) trial: Option<ReachTrial>,
    /// Nodes that could not pass a request on, and until when they are not asked.
    pub(crate) excluded: BTreeMap<NodeName, ClockTime>,
}

impl ReachState {
    /// State of a node that reaches servers.
    pub fn new(settings: ReachSettings) -> Self {
        Self {
            settings,
            phase: ReachPhase::Sound,
            troubled: BTreeMap::new(),
            trusted_until: ClockTime::default(),
            trial_due: None,
            trial: None,
            excluded: BTreeMap::new(),
        }
    }
}
