//! Links whose bandwidth large messages share, for event loops without a network.
//!
//! Every message has the size of its encoded form. Transfers of large ones that use a link at the
//! same time get equal parts of what small ones leave of it. Small messages wait for a large one on
//! the same connection; configurations have connections of their own.

use std::collections::{BTreeMap, VecDeque};

use edge::border::encode_message;
use edge::{EdgeEvent, PeerMessage, transfer_timeout};

use crate::network::{TICK_MS, node_address};
use crate::support::at;

/// Messages below this size go first.
const MIN_BULK_BYTES: u64 = 8_000;
/// Messages that wait on a connection; more are dropped.
const QUEUE_LENGTH: usize = 8;
/// Time after which a message is given up, but for a configuration.
const SEND_TIMEOUT_MS: u64 = 600;

/// Transfer of bytes between two links.
#[derive(Clone, Debug)]
pub struct BulkTransfer {
    pub from: usize,
    pub to: usize,
    pub left: f64,
}

/// Bytes a millisecond that a link carries each way.
#[derive(Clone, Copy, Debug)]
pub struct LinkRate {
    pub sent: f64,
    pub received: f64,
}

/// Moves transfers on by a tick; links are named by their index.
pub fn share_links(transfers: &mut [&mut BulkTransfer], rates: &[LinkRate]) {
    let mut users = vec![0.0; rates.len()];
    let mut arriving = vec![0.0; rates.len()];
    for transfer in transfers.iter() {
        users[transfer.from] += 1.0;
        arriving[transfer.to] += 1.0;
    }
    for transfer in transfers {
        let sent = rates[transfer.from].sent / users[transfer.from];
        let received = rates[transfer.to].received / arriving[transfer.to];
        transfer.left -= sent.min(received) * TICK_MS as f64;
    }
}

/// Bytes by node, kind and second.
type KindBytes = BTreeMap<(usize, &'static str, u64), u64>;

/// Largest share of a link in a second by kind, with the node and the second.
pub type BusiestSeconds = BTreeMap<&'static str, (f64, usize, u64)>;

/// Message on a connection.
struct QueuedMessage {
    message: PeerMessage,
    transfer: BulkTransfer,
    started_at: Option<u64>,
    timeout_ms: u64,
}

/// Connections of the nodes that carry large messages.
pub struct BulkLinks {
    /// Bytes a millisecond, each way, of each node.
    pub rates: Vec<f64>,
    queues: BTreeMap<(usize, usize, bool), VecDeque<QueuedMessage>>,
    /// Transfers from elsewhere that share the nodes' links.
    pub others: Vec<BulkTransfer>,
    /// Large messages that were given up or dropped.
    pub lost: usize,
    /// Bytes that each link has sent and received, by node, kind and second.
    sent_bytes: KindBytes,
    received_bytes: KindBytes,
    /// Bytes of small messages that each link has yet to send and to receive.
    small_bytes: Vec<(f64, f64)>,
}

impl BulkLinks {
    pub fn new(rates: Vec<f64>) -> Self {
        Self {
            small_bytes: vec![(0.0, 0.0); rates.len()],
            rates,
            queues: BTreeMap::new(),
            others: Vec::new(),
            lost: 0,
            sent_bytes: KindBytes::new(),
            received_bytes: KindBytes::new(),
        }
    }

    /// Queues a message, or returns it if it waits for no large one and is small.
    pub fn queue(
        &mut self,
        from: usize,
        to: usize,
        message: PeerMessage,
        now: u64,
    ) -> Option<PeerMessage> {
        let is_config = matches!(message, PeerMessage::RoutingConfig(..));
        let size = encode_message(&message, at(now)).len();
        let timeout_ms = if is_config {
            transfer_timeout(size).as_millis() as u64
        } else {
            SEND_TIMEOUT_MS
        };
        let size = size as u64;
        let queue = self.queues.get(&(from, to, is_config));
        if size < MIN_BULK_BYTES && queue.is_none_or(VecDeque::is_empty) {
            self.small_bytes[from].0 += size as f64;
            self.small_bytes[to].1 += size as f64;
            self.count((from, to), message.kind(), now, size);
            return Some(message);
        }
        let queue = self.queues.entry((from, to, is_config)).or_default();
        if queue.len() >= QUEUE_LENGTH {
            self.lost += 1;
            return None;
        }
        let started_at = queue.is_empty().then_some(now);
        let left = size as f64;
        queue.push_back(QueuedMessage {
            message,
            transfer: BulkTransfer { from, to, left },
            started_at,
            timeout_ms,
        });
        None
    }

    /// Moves all transfers on; returns the messages that have arrived.
    pub fn advance(&mut self, now: u64) -> Vec<(usize, EdgeEvent)> {
        let rates = self.take_small_bytes();
        let heads = self.queues.values().filter_map(VecDeque::front);
        let left_before: Vec<_> = heads.map(|head| head.transfer.left).collect();
        let heads = self.queues.values_mut().filter_map(VecDeque::front_mut);
        let heads = heads.map(|head| &mut head.transfer);
        let mut transfers: Vec<_> = heads.chain(self.others.iter_mut()).collect();
        share_links(&mut transfers, &rates);
        let heads = self.queues.values().filter_map(VecDeque::front);
        let moved = heads.zip(left_before).map(|(head, before)| {
            let bytes = before - head.transfer.left.max(0.0);
            let ends = (head.transfer.from, head.transfer.to);
            (ends, head.message.kind(), bytes as u64)
        });
        for (ends, kind, bytes) in moved.collect::<Vec<_>>() {
            self.count(ends, kind, now, bytes);
        }
        let mut arrived = Vec::new();
        for ((from, to, is_config), queue) in &mut self.queues {
            while let Some(head) = queue.front_mut() {
                let started_at = *head.started_at.get_or_insert(now);
                if head.transfer.left <= 0.0 {
                    let head = queue.pop_front().expect("the queue has a head");
                    arrived.push((*to, EdgeEvent::Peer(head.message)));
                } else if now >= started_at + head.timeout_ms {
                    self.lost += 1;
                    queue.pop_front();
                } else {
                    break;
                }
                if *is_config {
                    arrived.push((*from, EdgeEvent::Transferred(node_address(*to))));
                }
            }
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        arrived
    }

    /// Lets the small messages pass; returns what they leave of the links.
    fn take_small_bytes(&mut self) -> Vec<LinkRate> {
        let tick = TICK_MS as f64;
        let take = |bytes: &mut f64, rate: f64| {
            let taken = bytes.min(rate * tick);
            *bytes -= taken;
            rate - taken / tick
        };
        let links = self.rates.iter().zip(&mut self.small_bytes);
        let rates = links.map(|(rate, (sent, received))| LinkRate {
            sent: take(sent, *rate),
            received: take(received, *rate),
        });
        rates.collect()
    }

    fn count(&mut self, ends: (usize, usize), kind: &'static str, now: u64, bytes: u64) {
        let second = now / 1_000;
        *self.sent_bytes.entry((ends.0, kind, second)).or_default() += bytes;
        *self
            .received_bytes
            .entry((ends.1, kind, second))
            .or_default() += bytes;
    }

    /// Most bytes that a node has sent in a second as a share of its link, by kind, with the node
    /// and the second.
    pub fn busiest_senders(&self) -> BusiestSeconds {
        self.busiest_seconds(&self.sent_bytes)
    }

    /// The same of bytes that a node has received.
    pub fn busiest_receivers(&self) -> BusiestSeconds {
        self.busiest_seconds(&self.received_bytes)
    }

    fn busiest_seconds(&self, bytes: &KindBytes) -> BusiestSeconds {
        let mut busiest = BusiestSeconds::new();
        for ((node, kind, second), bytes) in bytes {
            let share = *bytes as f64 / (self.rates[*node] * 1_000.0);
            let most = busiest.entry(*kind).or_default();
            if share > most.0 {
                *most = (share, *node, *second);
            }
        }
        busiest
    }
}
