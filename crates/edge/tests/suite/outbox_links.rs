//! Links that each node's outbox feeds, for event loops without a network.
//!
//! Every message has the size of its encoded form. All transfers that use a link at the same time
//! get equal parts of it, digests too.

use std::collections::BTreeMap;

use edge::border::encode_message;
use edge::{EdgeEvent, PeerMessage, transfer_timeout};
use outbox::commands::{charge, queue, take_next};
use outbox::queries::{has_waiting, next_receivers, waiting};
use outbox::{MessageKind, OutboxSettings, OutboxState, SendStep};

use crate::bandwidth::{BulkTransfer, LinkRate, share_links};
use crate::network::{TICK_MS, node_address, node_index};
use crate::support::at;

/// Time after which a message is given up, but for a configuration.
const SEND_TIMEOUT_MS: u64 = 600;

/// Message on its way.
struct SentMessage {
    message: PeerMessage,
    transfer: BulkTransfer,
    ends_at: u64,
}

/// Connections of the nodes.
pub struct OutboxLinks {
    /// Bytes a millisecond, each way, of each link.
    rates: Vec<f64>,
    outboxes: Vec<OutboxState<PeerMessage>>,
    /// Messages that connections are sending, by sender and receiver.
    sending: BTreeMap<(usize, usize), SentMessage>,
    /// Configurations on connections of their own.
    configs: Vec<SentMessage>,
    /// Transfers from elsewhere that share the links and don't end.
    pub others: Vec<BulkTransfer>,
    /// Messages that were given up.
    pub lost: usize,
    /// Bytes of digests that each node has begun to send, by node and second.
    pub digest_bytes: BTreeMap<(usize, u64), usize>,
    /// Bytes of digests that others have begun to send to each node, by node and second.
    pub received_digest_bytes: BTreeMap<(usize, u64), usize>,
}

impl OutboxLinks {
    /// Links of nodes; links after those of the nodes are of other machines.
    pub fn new(rates: Vec<f64>) -> Self {
        let settings = |rate: &f64| OutboxSettings::for_link((rate * 1_000.0) as u64);
        Self {
            outboxes: rates.iter().map(settings).map(OutboxState::new).collect(),
            rates,
            sending: BTreeMap::new(),
            configs: Vec::new(),
            others: Vec::new(),
            lost: 0,
            digest_bytes: BTreeMap::new(),
            received_digest_bytes: BTreeMap::new(),
        }
    }

    /// Queues a message.
    pub fn queue(&mut self, from: usize, to: usize, mut message: PeerMessage, now: u64) {
        let kind = match &message {
            PeerMessage::RoutingConfig(..) => {
                let sent = start_transfer((from, to), message, now);
                self.configs.push(sent);
                return;
            }
            PeerMessage::Digest(_) => MessageKind::Digest,
            PeerMessage::Targets(..) => MessageKind::Targets,
            PeerMessage::Record(..) => MessageKind::Record,
            PeerMessage::Crashes(_) => MessageKind::Evidence,
        };
        let (outbox, to) = (&mut self.outboxes[from], node_address(to));
        if let PeerMessage::Digest(digest) = &mut message
            && let Some(PeerMessage::Digest(older)) = waiting(outbox, to, kind)
        {
            digest.add_reports(older);
        }
        let byte_count = match kind {
            MessageKind::Evidence => encode_message(&message, at(now)).len(),
            _ => 0,
        };
        queue(outbox, to, kind, message, byte_count, at(now));
    }

    /// Moves all transfers on by a tick; returns what has arrived.
    pub fn advance(&mut self, now: u64) -> Vec<(usize, EdgeEvent)> {
        for sender in 0..self.outboxes.len() {
            self.start_messages(sender, now);
        }
        let rates = self.rates.iter().map(|rate| LinkRate {
            sent: *rate,
            received: *rate,
        });
        let rates: Vec<_> = rates.collect();
        let sending = self.sending.values_mut();
        let transfers = sending
            .chain(&mut self.configs)
            .map(|sent| &mut sent.transfer);
        let mut transfers: Vec<_> = transfers.chain(&mut self.others).collect();
        share_links(&mut transfers, &rates);
        let mut arrived = Vec::new();
        let is_over = |sent: &SentMessage| sent.transfer.left <= 0.0 || now >= sent.ends_at;
        let sending = self.sending.extract_if(.., |_, sent| is_over(sent));
        let configs = self.configs.extract_if(.., |sent| is_over(sent));
        for sent in sending.map(|(_, sent)| sent).chain(configs) {
            let BulkTransfer { from, to, left } = sent.transfer;
            if matches!(sent.message, PeerMessage::RoutingConfig(..)) {
                arrived.push((from, EdgeEvent::Transferred(node_address(to))));
            }
            if left <= 0.0 {
                arrived.push((to, EdgeEvent::Peer(sent.message)));
            } else {
                self.lost += 1;
            }
        }
        arrived
    }

    /// Starts the next message of each connection of a node that sends nothing.
    fn start_messages(&mut self, sender: usize, now: u64) {
        let receivers = (0..self.outboxes.len()).filter(|receiver| {
            has_waiting(&self.outboxes[sender], node_address(*receiver))
                && !self.sending.contains_key(&(sender, *receiver))
        });
        let mut asking: Vec<_> = receivers.collect();
        while let Some(receiver) = asking.pop() {
            if self.sending.contains_key(&(sender, receiver)) {
                continue;
            }
            let outbox = &mut self.outboxes[sender];
            let SendStep::Send(next) = take_next(outbox, node_address(receiver), at(now)) else {
                continue;
            };
            let kind = next.kind;
            let sent = start_transfer((sender, receiver), next.message, now);
            let byte_count = sent.transfer.left as usize;
            charge(outbox, kind, byte_count, at(now));
            if kind == MessageKind::Digest {
                let second = (sender, now / 1_000);
                *self.digest_bytes.entry(second).or_default() += byte_count;
                let second = (receiver, now / 1_000);
                *self.received_digest_bytes.entry(second).or_default() += byte_count;
            }
            asking.extend(next_receivers(outbox).map(node_index));
            self.sending.insert((sender, receiver), sent);
        }
    }
}

fn start_transfer(ends: (usize, usize), message: PeerMessage, now: u64) -> SentMessage {
    let size = encode_message(&message, at(now)).len();
    let timeout_ms = match &message {
        PeerMessage::RoutingConfig(..) => transfer_timeout(size).as_millis() as u64,
        _ => SEND_TIMEOUT_MS,
    };
    let transfer = BulkTransfer {
        from: ends.0,
        to: ends.1,
        left: size as f64,
    };
    SentMessage {
        message,
        transfer,
        ends_at: now + timeout_ms.max(TICK_MS),
    }
}
