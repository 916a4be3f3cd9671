//! Invariants that are checked after every step.

use std::collections::BTreeMap;

use groups::{GroupHealth, GroupSettings, HostAssignment, MemberPhase, MemberRecord};

use super::World;

impl World {
    pub fn record_history(&mut self) {
        let now = self.now;
        let validity = GroupSettings::default().report_validity;
        let engines = self.engines.values().filter(|engine| engine.up);
        let actual = engines.map(|engine| engine.report(now)).collect();
        self.history.push_back((now, actual));
        self.history.retain(|(at, _)| now < *at + validity);
    }

    /// Panics if an invariant is violated.
    pub fn check(&mut self) {
        self.check_record();
        self.check_holders();
        self.check_serving();
    }

    fn check_record(&mut self) {
        let Some((record, _)) = self.stored() else {
            return;
        };
        assert!(
            record.token >= self.newest_token,
            "the fencing token decreased"
        );
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
        assert!(holders.count() <= 1, "two nodes hold a valid lease");
    }

    fn check_serving(&self) {
        let mut group_of_host = BTreeMap::new();
        for index in 0..self.nodes.len() {
            for health in self.serving(index) {
                for (rank, member) in health.group.members.iter().enumerate() {
                    let name = health.group.group.clone();
                    let other = group_of_host.insert(member.host.clone(), name.clone());
                    let same = other.is_none_or(|other| other == name);
                    assert!(same, "{} serves in two groups", member.host);
                    assert!(
                        self.was_member(&health, rank, member),
                        "{} was not a ready member of {} within the validity; seen by node {index}",
                        member.host,
                        name
                    );
                }
            }
        }
    }

    /// Whether the engine was a ready member at some step within a report's validity.
    fn was_member(&self, health: &GroupHealth, rank: usize, member: &MemberRecord) -> bool {
        let assignment = HostAssignment {
            group: health.group.group.clone(),
            epoch: health.group.epoch,
            rank,
        };
        self.history.iter().any(|(_, actual)| {
            actual.iter().any(|report| {
                report.host == member.host
                    && report.incarnation == member.incarnation
                    && report.assignment.as_ref() == Some(&assignment)
                    && report.phase == MemberPhase::Ready
            })
        })
    }
}
