//! Routing state of one node for one service.

use std::collections::{BTreeMap, HashMap};

use base::prelude::*;
use rand::RngExt;
use rand::rngs::StdRng;
use twox_hash::XxHash64;

use crate::cache::CacheView;
use crate::{LoadSample, RouteSettings, TargetId, TargetSpec};

/// Targets of one service as known to one node.
#[derive(Debug)]
pub struct RoutingState {
    pub(crate) settings: RouteSettings,
    /// Random number that makes the choices of this node differ from those of others.
    pub(crate) salt: u64,
    /// Number of live nodes that share the targets, this one included.
    pub(crate) nodes: usize,
    pub(crate) targets: BTreeMap<TargetId, TargetState>,
    pub(crate) leaving: BTreeMap<TargetId, LeavingMark>,
    /// Targets of this node's running calls; several while a call has several attempts.
    pub(crate) calls: HashMap<CallId, Vec<TargetId>>,
}

#[derive(Debug)]
pub(crate) struct TargetState {
    pub(crate) spec: TargetSpec,
    pub(crate) local_calls: usize,
    pub(crate) load: Option<LoadView>,
    pub(crate) cache: CacheView,
}

/// Reported load of a target, with the calls that are not this node's.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadView {
    pub(crate) other_calls: f64,
    pub(crate) sample: LoadSample,
    pub(crate) requested_at: ClockTime,
}

/// Mark of a target's incarnation that takes no new calls.
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

    /// Number of a target's slots divided by the number of nodes.
    pub(crate) fn even_part(&self, spec: &TargetSpec) -> f64 {
        spec.slots as f64 / self.nodes.max(1) as f64
    }

    /// Number of calls up to which this node prefers a target.
    ///
    /// This is the even part, at least 1. A fraction is rounded up on a share of the
    /// nodes that equals the fraction, by a hash of the node's salt and the target.
    pub(crate) fn rounded_part(&self, spec: &TargetSpec) -> usize {
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
    /// Target without a load report or known cache contents.
    pub(crate) fn new(spec: TargetSpec, local_calls: usize) -> Self {
        Self {
            spec,
            local_calls,
            load: None,
            cache: CacheView::default(),
        }
    }
}
