//! Observations of replica groups.

use std::collections::BTreeMap;

use base::prelude::*;

/// Load of a group when it was observed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GroupLoad {
    /// Number of running streams.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
}

/// Whether a group was complete when it was observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupCompleteness {
    /// Every member responded as expected.
    Complete,
    /// A member is missing or not the expected one.
    Incomplete,
}

/// Observation made by this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupObservation {
    /// Observed group.
    pub group: GroupName,
    /// Observed epoch of the group's membership.
    pub epoch: GroupEpoch,
    /// Whether the group was complete.
    pub completeness: GroupCompleteness,
    /// Observed load.
    pub load: GroupLoad,
    /// Instant before the first request to a member was sent.
    pub polled_at: ClockTime,
}

/// Latest observations of a group in one epoch.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupView {
    pub epoch: GroupEpoch,
    pub complete_at: Option<ClockTime>,
    pub incomplete_at: Option<ClockTime>,
    pub load: GroupLoad,
}

impl GroupView {
    /// Whether the group was last observed complete; of two observations at the
    /// same instant, the incomplete one counts.
    pub fn is_complete(&self) -> bool {
        self.complete_at > self.incomplete_at
    }

    /// Latest result and the instant of its observation; `None` before the first one.
    pub fn completeness(&self) -> Option<(GroupCompleteness, ClockTime)> {
        if self.is_complete() {
            return Some((GroupCompleteness::Complete, self.complete_at?));
        }
        Some((GroupCompleteness::Incomplete, self.incomplete_at?))
    }
}

#[derive(Clone, Debug, Default)]
pub struct ObservationTable {
    views: BTreeMap<GroupName, GroupView>,
}

impl ObservationTable {
    pub fn get(&self, group: &GroupName) -> Option<&GroupView> {
        self.views.get(group)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&GroupName, &GroupView)> {
        self.views.iter()
    }

    /// Merges an observation; returns whether it made the group incomplete.
    pub fn merge(&mut self, observation: GroupObservation) -> bool {
        let view = self.views.entry(observation.group).or_default();
        if observation.epoch < view.epoch {
            return false;
        }
        if observation.epoch > view.epoch {
            *view = GroupView {
                epoch: observation.epoch,
                ..GroupView::default()
            };
        }
        let was_incomplete = view.incomplete_at.is_some() && !view.is_complete();
        let at = Some(observation.polled_at);
        match observation.completeness {
            GroupCompleteness::Complete if at > view.complete_at => {
                view.complete_at = at;
                view.load = observation.load;
            }
            GroupCompleteness::Complete => {}
            GroupCompleteness::Incomplete => view.incomplete_at = view.incomplete_at.max(at),
        }
        !was_incomplete && view.incomplete_at.is_some() && !view.is_complete()
    }

    /// Drops groups that were not observed since an instant.
    pub fn prune(&mut self, since: ClockTime) {
        self.views
            .retain(|_, view| view.complete_at.max(view.incomplete_at) >= Some(since));
    }
}
