//! What must hold after every step.

use std::collections::BTreeMap;

use groups::{GroupHealth, GroupSettings, HostAssignment, MemberPhase, MemberRecord};

use super::World;

impl World {
    pub fn note_history(&mut self) {
        let now = self.now;
        let validity = GroupSettings::default().report_validity;
        let engines = self.engines.values().filter(|engine| engine.up);
        let truth = engines.map(|engine| engine.report(now)).collect();
        self.history.push_back((now, truth));
        self.history.retain(|(at, _)| now < *at + validity);
    }

    /// Panics unless every promise holds.
    pub fn check(&mut self) {
        self.check_record();
        self.check_holders();
        self.check_serving();
    }

    fn check_record(&mut self) {
        let Some((record, _)) = self.stored() else {
            return;
        };
        assert!(record.token >= self.newest_token, "a token went back");
        self.newest_token = record.token;
        let members = record.groups.iter().flat_map(|group| &group.members);
        let standbys = record.standbys.iter().map(|standby| &standby.member);
        let mut hosts: Vec<_> = members.chain(standbys).map(|m| &m.host).collect();
        let count = hosts.len();
        hosts.sort();
        hosts.dedup();
        assert_eq!(hosts.len(), count, "a host is recorded twice: {record:#?}");
    }

    fn check_holders(&self) {
        let holders = self.nodes.iter();
        let holders = holders.filter(|node| node.state.holds_lease(self.now));
        assert!(holders.count() <= 1, "two nodes may give orders");
    }

    fn check_serving(&self) {
        let mut places = BTreeMap::new();
        for index in 0..self.nodes.len() {
            for health in self.serving(index) {
                for (rank, member) in health.group.members.iter().enumerate() {
                    let name = health.group.group.clone();
                    let other = places.insert(member.host.clone(), name.clone());
                    let same = other.is_none_or(|other| other == name);
                    assert!(same, "{} serves in two groups", member.host);
                    assert!(
                        self.was_member(&health, rank, member),
                        "{} of {} was missing; node {index}",
                        member.host,
                        name
                    );
                }
            }
        }
    }

    /// Whether the engine truly held its place within a report's validity.
    fn was_member(&self, health: &GroupHealth, rank: usize, member: &MemberRecord) -> bool {
        let assignment = HostAssignment {
            group: health.group.group.clone(),
            epoch: health.group.epoch,
            rank,
        };
        self.history.iter().any(|(_, truth)| {
            truth.iter().any(|report| {
                report.host == member.host
                    && report.incarnation == member.incarnation
                    && report.assignment.as_ref() == Some(&assignment)
                    && report.phase == MemberPhase::Ready
            })
        })
    }
}
