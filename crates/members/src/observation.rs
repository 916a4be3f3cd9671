//! What was seen of replica groups, and when.

use std::collections::BTreeMap;

use base::prelude::*;

/// Load of a group when it was observed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GroupLoad {
    /// Streams running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
}

/// What an observer found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupVerdict {
    /// Every member answered as expected.
    Complete,
    /// A member is missing or another than expected.
    Incomplete,
}

/// Observation made by this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupObservation {
    /// Group observed.
    pub group: GroupName,
    /// Generation observed.
    pub epoch: GroupEpoch,
    /// What was found.
    pub verdict: GroupVerdict,
    /// Load found.
    pub load: GroupLoad,
    /// Instant before the first question to a member was sent.
    pub asked_at: ClockTime,
}

/// What is known of one generation of a group.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupView {
    pub epoch: GroupEpoch,
    pub complete_at: Option<ClockTime>,
    pub incomplete_at: Option<ClockTime>,
    pub load: GroupLoad,
}

impl GroupView {
    /// Whether no bad news is as new as the last good news.
    pub fn is_complete(&self) -> bool {
        self.complete_at > self.incomplete_at
    }

    /// Verdict that counts, and since when.
    pub fn verdict(&self) -> Option<(GroupVerdict, ClockTime)> {
        if self.is_complete() {
            return Some((GroupVerdict::Complete, self.complete_at?));
        }
        Some((GroupVerdict::Incomplete, self.incomplete_at?))
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

    /// Takes in an observation; true if it turned a group from good to bad.
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
        let at = Some(observation.asked_at);
        match observation.verdict {
            GroupVerdict::Complete if at > view.complete_at => {
                view.complete_at = at;
                view.load = observation.load;
            }
            GroupVerdict::Complete => {}
            GroupVerdict::Incomplete => view.incomplete_at = view.incomplete_at.max(at),
        }
        !was_incomplete && view.incomplete_at.is_some() && !view.is_complete()
    }

    /// Forgets groups of which nothing was heard since an instant.
    pub fn prune(&mut self, since: ClockTime) {
        self.views
            .retain(|_, view| view.complete_at.max(view.incomplete_at) >= Some(since));
    }
}
