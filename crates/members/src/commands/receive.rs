//! Frames from peers.

use base::prelude::*;

use crate::state::PeerLink;
use crate::{FrameRefusal, NodePhase, PeerEffect, PeerFrame, PeerMessage, PeerState, PeerSummary};

impl PeerState {
    /// Takes in one frame.
    pub fn receive(&mut self, frame: PeerFrame, now: ClockTime) -> Vec<PeerEffect> {
        let from = frame.from.clone();
        if let Some(reason) = self.refuse_frame(&frame) {
            return vec![PeerEffect::Refused { from, reason }];
        }
        self.hear_from(&from, now);
        let mut effects = Vec::new();
        if !matches!(frame.message, PeerMessage::Nodes(_)) {
            effects.extend(self.warn_sender(&from));
        }
        effects.extend(self.take_message(&from, frame.message, now));
        effects
    }

    fn refuse_frame(&self, frame: &PeerFrame) -> Option<FrameRefusal> {
        if frame.cluster != self.cluster {
            return Some(FrameRefusal::OtherCluster);
        }
        if frame.from == self.own.node {
            return Some(FrameRefusal::OwnName);
        }
        let introduces = match &frame.message {
            PeerMessage::Join(record) => record.node == frame.from,
            PeerMessage::Nodes(_) => true,
            _ => false,
        };
        match self.directory.get(&frame.from) {
            _ if introduces => None,
            None => Some(FrameRefusal::UnknownSender),
            Some(record) if frame.incarnation < record.incarnation => {
                Some(FrameRefusal::EarlierRun)
            }
            Some(_) => None,
        }
    }

    /// Notes that a peer's connection carries bytes.
    fn hear_from(&mut self, from: &NodeName, now: ClockTime) {
        if let Some(link) = self.links.get_mut(from) {
            link.silent_at = now + self.settings.silence_limit;
            link.is_silent = false;
        }
    }

    fn take_message(
        &mut self,
        from: &NodeName,
        message: PeerMessage,
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        match message {
            PeerMessage::Join(record) => self.take_join(record, now),
            PeerMessage::Nodes(records) => self.take_nodes(from, records, now),
            PeerMessage::Heartbeat(summary) => self.take_heartbeat(from, summary, now),
            PeerMessage::Buckets(report) => self.take_buckets(from, &report),
            PeerMessage::Announce(entries) => self.take_announcement(from, entries, now),
            PeerMessage::Confirm(keys) => self.answer_confirm(from, &keys),
            PeerMessage::Fetch(keys) => self.answer_fetch(from, &keys),
            PeerMessage::Items(items) => self.take_items(from, items, now),
            PeerMessage::Ask(question) => self.answer_question(from, question, now),
            PeerMessage::Answer { question, reports } => {
                self.take_answer(from, question, reports, now)
            }
            PeerMessage::Alert(reports) => self.take_alert(from, reports, now),
        }
    }

    fn take_heartbeat(
        &mut self,
        from: &NodeName,
        summary: PeerSummary,
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        if summary.is_link {
            self.admit_link(from, now);
        }
        let mut effects = Vec::new();
        let same_items = summary.items == self.catalog.summary().total();
        if same_items && summary.is_ready {
            if !self.synced.contains(from) {
                self.synced.push(from.clone());
            }
            effects.extend(self.check_readiness(now));
        }
        effects.extend(self.compare_summaries(from, summary, now));
        effects
    }

    /// Answers heartbeats of a peer that derived a link this node did not.
    fn admit_link(&mut self, from: &NodeName, now: ClockTime) {
        let Some(record) = self.directory.get(from) else {
            return;
        };
        if record.phase == NodePhase::Dead || self.links.contains_key(from) {
            return;
        }
        let link = PeerLink {
            address: record.address,
            is_derived: false,
            silent_at: now + self.settings.silence_limit,
            is_silent: false,
        };
        self.links.insert(from.clone(), link);
    }
}
