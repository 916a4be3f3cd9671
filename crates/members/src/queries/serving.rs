//! Queries on observations of replica groups and on routing subsets.

use base::prelude::*;

use crate::commands::subsets_of;
use crate::overlay::{RankPurpose, hash_text, mix_hashes, rank_hash, subset_of};
use crate::{GroupLoad, PeerState};

impl PeerState {
    /// Age of the latest observation of a group as complete in this epoch.
    ///
    /// `None` if there is none, if it has expired, or if the group was observed
    /// incomplete at the same time or later.
    pub fn complete_age(
        &self,
        group: &GroupName,
        epoch: GroupEpoch,
        now: ClockTime,
    ) -> Option<Duration> {
        let view = self.observations.get(group)?;
        if view.epoch != epoch || !view.is_complete() {
            return None;
        }
        let age = now.since(view.complete_at?);
        (age < self.settings.observation_max_age).then_some(age)
    }

    /// Load of a group when it was last observed complete.
    pub fn group_load(&self, group: &GroupName) -> Option<GroupLoad> {
        self.observations.get(group).map(|view| view.load)
    }

    /// Whether a group belongs to one of this node's routing subsets.
    pub fn routes_to(&self, group: &GroupName) -> bool {
        let count = self.settings.subset_count;
        let subset = subset_of(hash_text(group.as_str()), count);
        subsets_of(&self.local.node, count).contains(&subset)
    }

    /// Nodes of this region that observe a group.
    ///
    /// They are chosen by rendezvous hashing among the nodes that route to the
    /// group, from different failure domains as long as there are enough.
    pub fn observers(&self, group: &GroupName, count: usize) -> Vec<NodeName> {
        let subset_count = self.settings.subset_count;
        let group_hash = hash_text(group.as_str());
        let subset = subset_of(group_hash, subset_count);
        let mut ranked: Vec<_> = self
            .directory
            .live()
            .filter(|entry| entry.record.region == self.local.region)
            .filter(|entry| subsets_of(&entry.record.node, subset_count).contains(&subset))
            .map(|entry| {
                let rank = rank_hash(mix_hashes(entry.hash, group_hash), RankPurpose::Observer);
                (rank, &entry.record)
            })
            .collect();
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        let mut chosen: Vec<&crate::NodeRecord> = Vec::new();
        for (_, record) in &ranked {
            if chosen.iter().all(|other| other.domain != record.domain) {
                chosen.push(record);
            }
        }
        for (_, record) in &ranked {
            if !chosen.contains(record) {
                chosen.push(record);
            }
        }
        chosen
            .into_iter()
            .take(count)
            .map(|record| record.node.clone())
            .collect()
    }
}
