//! Handling of frames from peers.

use base::prelude::*;

use crate::state::PeerLink;
use crate::{FrameRefusal, NodePhase, PeerEffect, PeerFrame, PeerMessage, PeerState, PeerSummary};

impl PeerState {
    /// Handles one frame from a peer.
    pub fn receive(&mut self, frame: PeerFrame, now: ClockTime) -> Vec<PeerEffect> {
        let from = frame.from.clone();
        if let Some(reason) = self.check_frame(&frame) {
            return vec![PeerEffect::Refused { from, reason }];
        }
        self.record_activity(&from, now);
        let mut effects = Vec::new();
        if !matches!(frame.message, PeerMessage::Nodes(_)) {
            effects.extend(self.notify_suspect(&from));
        }
        effects.extend(self.handle_message(&from, frame.message, now));
        effects
    }

    fn check_frame(&self, frame: &PeerFrame) -> Option<FrameRefusal> {
        if frame.cluster != self.cluster {
            return Some(FrameRefusal::OtherCluster);
        }
        if frame.from == self.local.node {
            return Some(FrameRefusal::OwnName);
        }
        let is_introduction = match &frame.message {
            PeerMessage::Join(record) => record.node == frame.from,
            PeerMessage::Nodes(_) => true,
            _ => false,
        };
        match self.directory.get(&frame.from) {
            _ if is_introduction => None,
            None => Some(FrameRefusal::UnknownSender),
            Some(record) if frame.incarnation < record.incarnation => {
                Some(FrameRefusal::EarlierRun)
            }
            Some(_) => None,
        }
    }

    /// Records that a frame was received on a link.
    fn record_activity(&mut self, from: &NodeName, now: ClockTime) {
        if let Some(link) = self.links.get_mut(from) {
            link.silent_at = now + self.settings.silence_timeout;
            link.is_silent = false;
        }
    }

    fn handle_message(
        &mut self,
        from: &NodeName,
        message: PeerMessage,
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        match message {
            PeerMessage::Join(record) => self.handle_join(record, now),
            PeerMessage::Nodes(records) => self.handle_nodes(from, records, now),
            PeerMessage::Heartbeat(summary) => self.handle_heartbeat(from, summary, now),
            PeerMessage::Notice { summary, known } => {
                let mut effects = self.handle_notice(from, &known, now);
                effects.extend(self.handle_heartbeat(from, summary, now));
                effects
            }
            PeerMessage::Buckets(report) => self.handle_buckets(from, &report),
            PeerMessage::Announce(entries) => self.handle_announcement(from, entries, now),
            PeerMessage::Confirm(keys) => self.answer_confirm(from, &keys),
            PeerMessage::Fetch(keys) => self.answer_fetch(from, &keys, now),
            PeerMessage::Items(items) => self.handle_items(from, items, now),
            PeerMessage::Ask(question) => self.answer_question(from, question, now),
            PeerMessage::Answer { question, reports } => {
                self.handle_answer(from, question, reports, now)
            }
            PeerMessage::Alert(reports) => self.handle_alert(from, reports, now),
        }
    }

    fn handle_heartbeat(
        &mut self,
        from: &NodeName,
        summary: PeerSummary,
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        if summary.is_link {
            self.accept_link(from, now);
        }
        let mut effects = Vec::new();
        let same_items = summary.items == self.catalog.summary().total();
        if same_items && summary.is_ready {
            if !self.synced_peers.contains(from) {
                self.synced_peers.push(from.clone());
            }
            effects.extend(self.check_readiness(now));
        }
        effects.extend(self.compare_summaries(from, summary, now));
        effects
    }

    /// Adds a link that the peer has derived and this node has not, so that the
    /// peer receives heartbeats on it.
    fn accept_link(&mut self, from: &NodeName, now: ClockTime) {
        let Some(record) = self.directory.get(from) else {
            return;
        };
        if record.phase == NodePhase::Dead || self.links.contains_key(from) {
            return;
        }
        let link = PeerLink {
            address: record.address,
            is_derived: false,
            silent_at: now + self.settings.silence_timeout,
            is_silent: false,
        };
        self.links.insert(from.clone(), link);
    }
}
