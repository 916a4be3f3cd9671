//! Event loops of several nodes and the messages between them, without a network.

use std::collections::{BTreeMap, BTreeSet};

use crate::support::{at, config_item, endpoint, list, node, settings};
use base::prelude::*;
use edge::PeerMessage;
use edge::border::ports::{CollectionItem, StoreCollection};
use edge::{
    EdgeEffect, EdgeEvent, EdgeQuestion, EdgeReply, EdgeSettings, EdgeState, EdgeTimes, WatchMode,
};
use store::{ObjectKey, StoredObject};

/// Time that a message takes.
pub const TICK_MS: u64 = 20;
/// Time after which a node takes a server on trial for one that does not respond.
const TRIAL_TIMEOUT_MS: u64 = 250;
const FIRST_PORT: u16 = 1_000;
/// Port of the first node for requests that it passes on.
pub const FIRST_PASSING_PORT: u16 = 2_000;

/// Nodes with one endpoint each, and the messages between them.
pub struct NodeNetwork {
    pub nodes: Vec<EdgeState>,
    /// Nodes that reach no other node, nor are reached.
    pub cut_off: BTreeSet<usize>,
    /// Nodes that reach no server.
    pub partitioned: BTreeSet<usize>,
    /// Servers that send a node nothing.
    pub silent_servers: BTreeSet<(usize, HostName)>,
    /// Latest change of each node's reach, as its metric says.
    pub reach_changes: Vec<Option<&'static str>>,
    pub now: u64,
    /// Number of times that a node has quarantined a part or a request.
    pub quarantined: usize,
    /// Number of connections between nodes that were replaced.
    pub reconnects: usize,
    /// How each node watches the store.
    pub watch_modes: Vec<WatchMode>,
    /// Connections by sender and receiver, and whether they lose all messages.
    links: BTreeMap<(usize, usize), bool>,
    in_flight: Vec<(usize, EdgeEvent)>,
    /// Trials of silent servers, and when they time out.
    trials: Vec<(u64, usize, HostName)>,
}

impl NodeNetwork {
    pub fn new(count: usize) -> Self {
        Self {
            nodes: (0..count).map(|index| start(index, count, 0)).collect(),
            cut_off: BTreeSet::new(),
            partitioned: BTreeSet::new(),
            silent_servers: BTreeSet::new(),
            reach_changes: vec![None; count],
            now: 0,
            quarantined: 0,
            reconnects: 0,
            watch_modes: vec![WatchMode::default(); count],
            links: BTreeMap::new(),
            in_flight: Vec::new(),
            trials: Vec::new(),
        }
    }

    /// Starts a node anew.
    pub fn restart(&mut self, index: usize) {
        self.nodes[index] = start(index, self.nodes.len(), self.now);
    }

    /// Delivers the messages of the last tick.
    pub fn advance(&mut self) {
        self.now += TICK_MS;
        for (index, event) in std::mem::take(&mut self.in_flight) {
            self.handle(index, event);
        }
        let now = self.now;
        let due: Vec<_> = self.trials.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, index, server) in due {
            self.handle(index, EdgeEvent::Tried(server, false));
        }
    }

    /// Runs all nodes until an instant.
    pub fn run(&mut self, until: u64) {
        while self.now < until {
            self.advance();
            (0..self.nodes.len()).for_each(|index| self.wake(index));
        }
    }

    /// Wakes a node if it has something to do.
    pub fn wake(&mut self, index: usize) {
        let due = self.nodes[index].next_deadline();
        if due.is_some_and(|due| due <= at(self.now)) {
            let effects = self.nodes[index].wake(at(self.now));
            self.execute(index, effects);
        }
    }

    pub fn handle(&mut self, index: usize, event: EdgeEvent) {
        let effects = self.nodes[index].handle(event, at(self.now));
        self.execute(index, effects);
    }

    pub fn ask(&mut self, index: usize, question: EdgeQuestion) -> EdgeReply {
        let event = EdgeEvent::Asked(1, question);
        let (replies, others): (Vec<_>, Vec<_>) = self.nodes[index]
            .handle(event, at(self.now))
            .into_iter()
            .partition(|effect| matches!(effect, EdgeEffect::Reply(..)));
        self.execute(index, others);
        match replies.into_iter().next() {
            Some(EdgeEffect::Reply(_, reply)) => reply,
            _ => panic!("a question gets a reply at once"),
        }
    }

    /// Makes the open connections of these senders and receivers lose all messages from now on.
    pub fn silence_links(&mut self, is_silent: impl Fn(usize, usize) -> bool) {
        for ((sender, receiver), is_lost) in &mut self.links {
            *is_lost |= is_silent(*sender, *receiver);
        }
    }

    /// Whether a server sends a node anything.
    pub fn is_reached(&self, index: usize, server: &HostName) -> bool {
        let link = (index, server.clone());
        !self.partitioned.contains(&index) && !self.silent_servers.contains(&link)
    }

    fn send(&mut self, sender: usize, receiver: usize, message: PeerMessage) {
        let is_new = !self.links.contains_key(&(sender, receiver));
        if *self.links.entry((sender, receiver)).or_default() {
            return;
        }
        if is_new {
            let name = node(&node_name(sender));
            self.in_flight.push((receiver, EdgeEvent::Connected(name)));
        }
        self.in_flight.push((receiver, EdgeEvent::Peer(message)));
    }

    fn execute(&mut self, index: usize, effects: Vec<EdgeEffect>) {
        for effect in effects {
            match effect {
                EdgeEffect::Send { to, message } => {
                    let receiver = usize::from(to.port() - FIRST_PORT);
                    if !self.cut_off.contains(&index) && !self.cut_off.contains(&receiver) {
                        self.send(index, receiver, message);
                    }
                }
                EdgeEffect::Reconnect(to) => {
                    self.reconnects += 1;
                    let receiver = usize::from(to.port() - FIRST_PORT);
                    self.links.remove(&(index, receiver));
                }
                EdgeEffect::SetWatchMode(mode) => self.watch_modes[index] = mode,
                EdgeEffect::Try { server, .. } => {
                    let link = (index, server);
                    if self.silent_servers.contains(&link) {
                        self.trials
                            .push((self.now + TRIAL_TIMEOUT_MS, index, link.1));
                        continue;
                    }
                    let is_reached = !self.partitioned.contains(&index);
                    self.handle(index, EdgeEvent::Tried(link.1, is_reached));
                }
                EdgeEffect::CountReach(change) => self.reach_changes[index] = Some(change),
                EdgeEffect::CountQuarantinedParts(count)
                | EdgeEffect::CountQuarantinedRequests(count) => self.quarantined += count,
                _ => {}
            }
        }
    }
}

fn node_name(index: usize) -> String {
    format!("n{index:03}")
}

fn start(index: usize, count: usize, now: u64) -> EdgeState {
    let capacity = |index: usize| if index < 4 { 500 } else { 200 };
    let settings = EdgeSettings {
        capacity: capacity(index),
        ..settings(&node_name(index))
    };
    let mut state = EdgeState::new(settings, EdgeTimes::default(), index as u64, at(now));
    let config = vec![config_item(1, "/x/")];
    list(&mut state, StoreCollection::RoutingConfig, config, at(now));
    let endpoints = vec![CollectionItem::Endpoint(endpoint("p-1"))];
    list(&mut state, StoreCollection::Endpoints, endpoints, at(now));
    let entries = (0..count).map(|other| {
        let (port, rank) = (usize::from(FIRST_PORT) + other, capacity(other));
        let passing = usize::from(FIRST_PASSING_PORT) + other;
        CollectionItem::Shared(StoredObject {
            key: ObjectKey::new(&format!("node.n{other:03}")),
            version: ObjectVersion(1),
            value: format!(
                r#"{{"address":"127.0.0.1:{port}","passing":"127.0.0.1:{passing}","rank":{rank}}}"#
            )
            .into(),
        })
    });
    list(
        &mut state,
        StoreCollection::Shared,
        entries.collect(),
        at(now),
    );
    state
}
