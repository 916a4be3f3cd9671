//! Two gateways that pass on what the store said, without sockets.

use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use base::prelude::*;
use document::{Document, Section};
use gateway::{
    GatewayAnswer, GatewayEffect, GatewayEvent, GatewayLoop, GatewayQuestion, GatewayState,
    GatewayStatus, GatewayTimes, PeerEvent,
};
use groups::FabricRecord;
use members::{
    FrameRefusal, Item, ItemKey, NodeIncarnation, NodePhase, NodeRecord, PeerEffect, PeerFrame,
    PeerMessage, PeerSettings, PeerState,
};
use watch::{WatchEffect, WatchEvent, WatchTimes};

const HERE: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const ELSEWHERE: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 9));
const TIMES: GatewayTimes = GatewayTimes {
    watch: WatchTimes {
        poll_interval: Duration::from_millis(500),
        read_interval: Duration::from_secs(1),
        watch_timeout: Duration::from_secs(20),
    },
    report_validity: Duration::from_secs(2),
    balancer_notice: Duration::from_secs(5),
    drain_limit: Duration::from_secs(60),
};

fn address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 7_000 + u16::try_from(index).unwrap()))
}

fn start_loop(index: usize) -> GatewayLoop {
    let node = NodeName::new(&format!("entry-{index}")).unwrap();
    let domain = DomainName::new("kozep-a").unwrap();
    let own = NodeRecord {
        node: node.clone(),
        region: RegionName::new("kozep").unwrap(),
        domain: domain.clone(),
        address: address(index),
        incarnation: NodeIncarnation(1),
        refutations: 0,
        phase: NodePhase::Alive,
    };
    let peers = PeerState::new(PeerSettings::default(), own, 17);
    let state = GatewayState::new(node, domain, TIMES, 1, 17);
    GatewayLoop(state.with_peers(peers, vec![address(1 - index)]))
}

fn document_with(text: &str) -> Arc<Document> {
    let section = Section {
        owner: TeamName::new("desk").unwrap(),
        revision: SectionRevision(1),
        text: Arc::from(text),
        edits: Default::default(),
    };
    let mut document = Document::default();
    let name = SectionName::new("front").unwrap();
    document.sections.insert(name, section);
    Arc::new(document)
}

/// Two gateways, each with the version that its store has; none while it is down.
struct Pair {
    loops: [GatewayLoop; 2],
    stores: [Option<u64>; 2],
    now: ClockTime,
    frames: Vec<PeerFrame>,
    refusals: Vec<FrameRefusal>,
}

impl Pair {
    fn new(stores: [Option<u64>; 2]) -> Self {
        Self {
            loops: [start_loop(0), start_loop(1)],
            stores,
            now: ClockTime::from_millis(50_000),
            frames: Vec::new(),
            refusals: Vec::new(),
        }
    }

    /// Lets model time pass.
    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let deadlines = self.loops.each_ref().map(EventHandler::next_deadline);
            let next = deadlines.into_iter().flatten().min().unwrap();
            if next > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(next);
            for index in 0..2 {
                let effects = self.loops[index].wake(self.now);
                self.settle(index, effects);
            }
        }
    }

    fn handle(&mut self, index: usize, event: GatewayEvent) {
        let effects = self.loops[index].handle(event, self.now);
        self.settle(index, effects);
    }

    /// Carries effects out until none are left.
    fn settle(&mut self, index: usize, effects: Vec<GatewayEffect>) {
        let mut queue = VecDeque::from([(index, effects)]);
        while let Some((index, effects)) = queue.pop_front() {
            for effect in effects {
                if let Some((target, event)) = self.answer(index, effect) {
                    let effects = self.loops[target].handle(event, self.now);
                    queue.push_back((target, effects));
                }
            }
        }
    }

    fn answer(&mut self, index: usize, effect: GatewayEffect) -> Option<(usize, GatewayEvent)> {
        let store = self.stores[index];
        let event = match effect {
            GatewayEffect::Watch(WatchEffect::ReadDocument { after, .. }) => match store {
                // The watch goes on: it holds nothing newer.
                Some(version) if ObjectVersion(version) <= after => return None,
                _ => WatchEvent::DocumentRead(store.map(read_version)),
            },
            GatewayEffect::Watch(WatchEffect::ReadFabrics) => {
                let fabric = FabricRecord::new(FabricName::new("kozep-a-1").unwrap());
                WatchEvent::FabricsRead(store.map(|_| vec![(fabric, ObjectVersion(1))]))
            }
            GatewayEffect::Peer(PeerEffect::Send { to, frame }) => {
                self.frames.push(frame.clone());
                let event = PeerEvent::Frame {
                    source: HERE,
                    frame,
                };
                let target = (0..2).find(|&index| address(index) == to).unwrap();
                return Some((target, GatewayEvent::Peer(event)));
            }
            GatewayEffect::Peer(PeerEffect::Refused { reason, .. }) => {
                self.refusals.push(reason);
                return None;
            }
            _ => return None,
        };
        Some((index, GatewayEvent::Watch(event)))
    }

    /// Store that has a newer document, whose watch answers.
    fn write(&mut self, index: usize, version: u64) {
        self.stores[index] = Some(version);
        let read = WatchEvent::DocumentRead(Some(read_version(version)));
        self.handle(index, GatewayEvent::Watch(read));
    }

    fn status(&mut self, index: usize) -> Box<GatewayStatus> {
        let question = GatewayQuestion::Status;
        let asked = GatewayEvent::Asked { ask: 1, question };
        let effects = self.loops[index].handle(asked, self.now);
        let answers = effects.into_iter().filter_map(|effect| match effect {
            GatewayEffect::Tell {
                answer: GatewayAnswer::Status(status),
                ..
            } => Some(status),
            _ => None,
        });
        answers.last().unwrap()
    }

    fn version(&mut self, index: usize) -> u64 {
        self.status(index).config.in_force.version.0
    }

    /// Frame of the first gateway with another message.
    fn forge(&self, message: PeerMessage) -> PeerFrame {
        let is_first = |frame: &&PeerFrame| frame.from.as_str() == "entry-0";
        let frame = self.frames.iter().rfind(is_first).unwrap().clone();
        PeerFrame { message, ..frame }
    }
}

fn read_version(version: u64) -> (ObjectVersion, Arc<Document>) {
    let text = format!("workspaces:\n  team-{version}: {{services: []}}\n");
    (ObjectVersion(version), document_with(&text))
}

fn document_item(version: u64) -> Item {
    Item {
        key: ItemKey::Section(SectionName::new("document").unwrap()),
        version: ObjectVersion(version),
        body: Some(read_version(version).1.encode()),
    }
}

#[test]
fn a_gateway_without_the_store_is_ready_with_what_a_ready_peer_holds() {
    let mut pair = Pair::new([Some(9), None]);
    pair.run(Duration::from_millis(4_500));
    assert_eq!(pair.version(1), 9);
    assert!(!pair.status(1).ready, "the store was given no time");
    pair.run(Duration::from_secs(9));
    assert!(pair.status(1).ready);

    pair.write(0, 10);
    pair.run(Duration::from_secs(1));
    assert_eq!(pair.version(1), 10);
}

#[test]
fn gateways_without_the_store_do_not_make_each_other_ready() {
    let mut pair = Pair::new([None, None]);
    pair.run(Duration::from_secs(30));
    assert!(!pair.status(0).ready && !pair.status(1).ready);
}

#[test]
fn an_older_document_of_a_peer_is_refused() {
    let mut pair = Pair::new([Some(9), None]);
    pair.run(Duration::from_secs(12));
    pair.refusals.clear();
    for message in [
        PeerMessage::Announce(vec![document_item(4).entry()]),
        PeerMessage::Items(vec![document_item(4)]),
    ] {
        let frame = pair.forge(message);
        let event = PeerEvent::Frame {
            source: HERE,
            frame,
        };
        pair.handle(1, GatewayEvent::Peer(event));
        pair.run(Duration::from_secs(2));
        assert_eq!(pair.version(1), 9);
    }
    let old = FrameRefusal::OldVersion;
    assert_eq!(
        pair.refusals
            .iter()
            .filter(|&&reason| reason == old)
            .count(),
        2
    );
}

#[test]
fn a_name_from_another_address_is_not_believed() {
    for (source, expected) in [(HERE, 12), (ELSEWHERE, 9)] {
        let mut pair = Pair::new([Some(9), None]);
        pair.run(Duration::from_secs(12));
        let item = document_item(12);
        for message in [
            PeerMessage::Announce(vec![item.entry()]),
            PeerMessage::Items(vec![item]),
        ] {
            let frame = pair.forge(message);
            let event = PeerEvent::Frame { source, frame };
            pair.handle(1, GatewayEvent::Peer(event));
        }
        assert_eq!(pair.version(1), expected, "from {source}");
    }
}
