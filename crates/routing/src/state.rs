//! What one node knows of a service's targets.

use std::collections::{BTreeMap, HashMap};

use base::prelude::*;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::cache::CacheView;
use crate::{LoadSample, RouteSettings, TargetId, TargetSpec};

/// Targets of one service as one node sees them.
#[derive(Debug)]
pub struct RoutingState {
    pub(crate) settings: RouteSettings,
    pub(crate) salt: u64,
    pub(crate) targets: BTreeMap<TargetId, TargetState>,
    pub(crate) leaving: BTreeMap<TargetId, LeavingMark>,
    pub(crate) calls: HashMap<CallId, TargetId>,
}

#[derive(Debug)]
pub(crate) struct TargetState {
    pub(crate) spec: TargetSpec,
    pub(crate) own: usize,
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
    pub(crate) run: u64,
    pub(crate) expires: ClockTime,
}

impl RoutingState {
    /// State without targets.
    pub fn new(settings: RouteSettings, mut rng: StdRng) -> Self {
        Self {
            settings,
            salt: rng.random(),
            targets: BTreeMap::new(),
            leaving: BTreeMap::new(),
            calls: HashMap::new(),
        }
    }

    /// Whether a target takes no new calls.
    pub(crate) fn is_leaving(&self, spec: &TargetSpec) -> bool {
        let mark = self.leaving.get(&spec.target);
        mark.is_some_and(|mark| mark.run == spec.run)
    }
}

impl TargetState {
    /// Target of which nothing is known yet.
    pub(crate) fn new(spec: TargetSpec, own: usize) -> Self {
        Self {
            spec,
            own,
            load: None,
            cache: CacheView::default(),
        }
    }
}
