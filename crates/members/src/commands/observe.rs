//! Observations of replica groups and their exchange between nodes.

use base::prelude::*;
use rand::seq::IndexedRandom;

use crate::overlay::{hash_text, subset_of};
use crate::state::OpenQuestion;
use crate::{
    FrameRefusal, GroupCompleteness, GroupObservation, ObservationReport, PeerEffect, PeerMessage,
    PeerState,
};

/// Number of peers asked in each interval.
const ASKED_PEERS: usize = 4;

impl PeerState {
    /// Merges an observation that this node made.
    pub fn record_observation(
        &mut self,
        observation: GroupObservation,
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        let group = observation.group.clone();
        if self.observations.merge(observation) {
            return self.alert_peers(&group, None, now);
        }
        Vec::new()
    }

    /// Asks randomly chosen peers of this node's subsets for observations.
    pub(crate) fn ask_due(&mut self, now: ClockTime) -> Vec<PeerEffect> {
        self.questions
            .retain(|_, question| question.expires_at > now);
        if self.timers.ask_at > now {
            return Vec::new();
        }
        self.timers.ask_at = now + self.settings.ask_interval;
        self.prune_observations(now);
        let peers: Vec<_> = self
            .subset_peers
            .sample(&mut self.random, ASKED_PEERS)
            .cloned()
            .collect();
        let questions = peers
            .into_iter()
            .filter_map(|peer| self.ask_peer(peer, now));
        questions.collect()
    }

    fn prune_observations(&mut self, now: ClockTime) {
        let retention = self.settings.observation_max_age * 10;
        let micros = u64::try_from(retention.as_micros()).unwrap_or(u64::MAX);
        if let Some(since) = now.0.checked_sub(micros) {
            self.observations.prune(ClockTime(since));
        }
    }

    fn ask_peer(&mut self, peer: NodeName, now: ClockTime) -> Option<PeerEffect> {
        self.next_question = self.next_question.wrapping_add(1);
        let number = self.next_question;
        let effect = self.send_to(&peer, PeerMessage::Ask(number));
        let question = OpenQuestion {
            peer,
            asked_at: now,
            expires_at: now + self.settings.observation_max_age,
        };
        self.questions.insert(number, question);
        effect
    }

    /// Answers with the observations of groups in the asking node's subsets.
    pub(crate) fn answer_question(
        &self,
        from: &NodeName,
        question: u64,
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        let count = self.settings.subset_count;
        let subsets = subsets_of(from, count);
        let limit = self.settings.observation_max_age;
        let views = self.observations.iter();
        let reports = views
            .filter(|(group, _)| subsets.contains(&subset_of(hash_text(group.as_str()), count)))
            .filter_map(|(group, _)| self.report_group(group, now))
            .filter(|report| report.age < limit)
            .collect();
        let answer = PeerMessage::Answer { question, reports };
        self.send_to(from, answer).into_iter().collect()
    }

    fn report_group(&self, group: &GroupName, now: ClockTime) -> Option<ObservationReport> {
        let view = self.observations.get(group)?;
        let (completeness, at) = view.completeness()?;
        Some(ObservationReport {
            group: group.clone(),
            epoch: view.epoch,
            completeness,
            load: view.load,
            age: now.since(at),
        })
    }

    /// Merges observations from an answer.
    ///
    /// The ages of complete groups are measured from when the question was sent,
    /// those of incomplete groups from now.
    pub(crate) fn handle_answer(
        &mut self,
        from: &NodeName,
        question: u64,
        reports: Vec<ObservationReport>,
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        let open = self.questions.get(&question);
        let Some(asked_at) = open
            .filter(|open| open.peer == *from)
            .map(|open| open.asked_at)
        else {
            return vec![PeerEffect::Refused {
                from: from.clone(),
                reason: FrameRefusal::UnknownQuestion,
            }];
        };
        self.questions.remove(&question);
        let mut effects = Vec::new();
        for report in reports {
            let measured_from = match report.completeness {
                GroupCompleteness::Complete => asked_at,
                GroupCompleteness::Incomplete => now,
            };
            effects.extend(self.merge_report(from, report, measured_from, now));
        }
        effects
    }

    /// Merges pushed observations of incomplete groups, with their ages measured
    /// from now; others are ignored.
    pub(crate) fn handle_alert(
        &mut self,
        from: &NodeName,
        reports: Vec<ObservationReport>,
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        let mut effects = Vec::new();
        for report in reports {
            if report.completeness == GroupCompleteness::Incomplete {
                effects.extend(self.merge_report(from, report, now, now));
            }
        }
        effects
    }

    fn merge_report(
        &mut self,
        from: &NodeName,
        report: ObservationReport,
        measured_from: ClockTime,
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        let micros = u64::try_from(report.age.as_micros()).unwrap_or(u64::MAX);
        let Some(at) = measured_from.0.checked_sub(micros) else {
            return Vec::new();
        };
        let group = report.group.clone();
        let observation = GroupObservation {
            group: report.group,
            epoch: report.epoch,
            completeness: report.completeness,
            load: report.load,
            polled_at: ClockTime(at),
        };
        if self.observations.merge(observation) {
            return self.alert_peers(&group, Some(from), now);
        }
        Vec::new()
    }

    /// Pushes the observation of an incomplete group to the subset peers.
    fn alert_peers(
        &self,
        group: &GroupName,
        source: Option<&NodeName>,
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        let reports: Vec<_> = self.report_group(group, now).into_iter().collect();
        let peers = self
            .subset_peers
            .iter()
            .filter(|peer| Some(*peer) != source);
        peers
            .filter_map(|peer| self.send_to(peer, PeerMessage::Alert(reports.clone())))
            .collect()
    }
}

/// The two routing subsets that a node belongs to.
pub(crate) fn subsets_of(node: &NodeName, subset_count: u32) -> [u32; 2] {
    let first = subset_of(hash_text(node.as_str()), subset_count);
    [first, (first + 1) % subset_count.max(1)]
}
