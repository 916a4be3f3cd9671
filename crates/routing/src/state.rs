//! What one node knows of a service's targets.

use std::collections::{BTreeMap, HashMap};

use base::prelude::*;
use rand::RngExt;
use rand::rngs::StdRng;
use twox_hash::XxHash64;

use crate::cache::CacheView;
use crate::{LoadSample, RouteSettings, TargetId, TargetSpec};

/// Targets of one service as one node sees them.
#[derive(Debug)]
pub struct RoutingState {
    pub(crate) settings: RouteSettings,
    pub(crate) salt: u64,
    pub(crate) nodes: usize,
    pub(crate) targets: BTreeMap<TargetId, TargetState>,
    pub(crate) leaving: BTreeMap<TargetId, LeavingMark>,
    pub(crate) calls: HashMap<CallId, TargetId>,
}

#[derive(Debug)]
pub(crate) struct TargetState {
    pub(crate) spec: TargetSpec,
    pub(crate) local_calls: usize,
    pub(crate) load: Option<LoadView>,
    pub(crate) cache: CacheView,
}

/// Load that a target reported, less this node's own part.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadView {
    pub(crate) others: f64,
    pub(crate) sample: LoadSample,
    pub(crate) taken: ClockTime,
}

/// Run of a target that takes no new calls.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeavingMark {
    pub(crate) incarnation: u64,
    pub(crate) expires: ClockTime,
}

impl RoutingState {
    /// State without targets.
    pub fn new(settings: RouteSettings, mut rng: StdRng) -> Self {
        Self {
            settings,
            salt: rng.random(),
            nodes: 1,
            targets: BTreeMap::new(),
            leaving: BTreeMap::new(),
            calls: HashMap::new(),
        }
    }

    /// Slots of a target over the nodes that share it.
    pub(crate) fn even_part(&self, spec: &TargetSpec) -> f64 {
        spec.slots as f64 / self.nodes.max(1) as f64
    }

    /// Calls that this node may have at a target before others come first.
    ///
    /// The fraction is rounded up on as many nodes as it says.
    pub(crate) fn part(&self, spec: &TargetSpec) -> usize {
        let draw = XxHash64::oneshot(self.salt, spec.target.as_str().as_bytes());
        let rounding = draw as f64 / 2.0_f64.powi(64);
        ((self.even_part(spec) + rounding) as usize).max(1)
    }

    /// Whether a target takes no new calls.
    pub(crate) fn is_leaving(&self, spec: &TargetSpec) -> bool {
        let mark = self.leaving.get(&spec.target);
        mark.is_some_and(|mark| mark.incarnation == spec.incarnation)
    }
}

impl TargetState {
    /// Target of which nothing is known yet.
    pub(crate) fn new(spec: TargetSpec, local_calls: usize) -> Self {
        Self {
            spec,
            local_calls,
            load: None,
            cache: CacheView::default(),
        }
    }
}
