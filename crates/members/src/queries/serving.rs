//! What is known of replica groups.

use base::prelude::*;

use crate::commands::subsets_of;
use crate::overlay::{RankPurpose, hash_text, mix_hashes, rank_hash, subset_of};
use crate::{GroupLoad, PeerState};

impl PeerState {
    /// Age of the newest observation that found a generation complete.
    ///
    /// None if there is none, if it is too old, or if bad news is as new.
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
        (age < self.settings.observation_limit).then_some(age)
    }

    /// Load of a group when it was last found complete.
    pub fn group_load(&self, group: &GroupName) -> Option<GroupLoad> {
        self.observations.get(group).map(|view| view.load)
    }

    /// Whether this node routes to a group.
    pub fn routes_to(&self, group: &GroupName) -> bool {
        let count = self.settings.subset_count;
        let subset = subset_of(hash_text(group.as_str()), count);
        subsets_of(&self.own.node, count).contains(&subset)
    }

    /// Nodes of this region that observe a group: the first by rendezvous
    /// hashing among those that route to it, each in another failure domain
    /// where there are enough.
    pub fn observers(&self, group: &GroupName, count: usize) -> Vec<NodeName> {
        let subset_count = self.settings.subset_count;
        let group_hash = hash_text(group.as_str());
        let subset = subset_of(group_hash, subset_count);
        let mut ranked: Vec<_> = self
            .directory
            .live()
            .filter(|entry| entry.record.region == self.own.region)
            .filter(|entry| subsets_of(&entry.record.node, subset_count).contains(&subset))
            .map(|entry| {
                let rank = rank_hash(mix_hashes(entry.hash, group_hash), RankPurpose::Observer);
                (rank, &entry.record)
            })
            .collect();
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        let mut chosen: Vec<&crate::NodeRecord> = Vec::new();
        for (_, record) in &ranked {
            if chosen.iter().all(|known| known.domain != record.domain) {
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
