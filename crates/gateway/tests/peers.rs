//! Two gateways that exchange store contents, without sockets.

use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use base::prelude::*;
use document::{Document, KeyDigest, Section};
use gateway::{
    CallArrival, CallKind, CallRefusal, CallStep, GatewayEffect, GatewayEvent, GatewayLoop,
    GatewayQuery, GatewayReply, GatewayState, GatewayStatus, GatewayTimes, PeerEvent, RefusalCause,
};
use groups::FabricRecord;
use ledger::RequestDigest;
use limits::CallPriority;
use members::{
    FrameRefusal, Item, ItemKey, NodeIncarnation, NodePhase, NodeRecord, PeerEffect, PeerFrame,
    PeerMessage, PeerSettings, PeerState,
};
use watch::{WatchEffect, WatchEvent, WatchTimes};

/// Key that every document has; its workspace may use no service.
const KNOWN_KEY: &str = "known-key";
const PEER_IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const OTHER_IP: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 9));
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
    let record = NodeRecord {
        node: node.clone(),
        region: RegionName::new("kozep").unwrap(),
        domain: domain.clone(),
        address: address(index),
        incarnation: NodeIncarnation(1),
        refutations: 0,
        phase: NodePhase::Alive,
    };
    let peers = PeerState::new(PeerSettings::default(), record, 17);
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

/// Two gateways, each with the version that its store has; `None` while the store is
/// down.
struct GatewayPair {
    loops: [GatewayLoop; 2],
    stores: [Option<u64>; 2],
    now: ClockTime,
    frames: Vec<PeerFrame>,
    refusals: Vec<FrameRefusal>,
}

impl GatewayPair {
    fn new(stores: [Option<u64>; 2]) -> Self {
        Self {
            loops: [start_loop(0), start_loop(1)],
            stores,
            now: ClockTime::from_millis(50_000),
            frames: Vec::new(),
            refusals: Vec::new(),
        }
    }

    /// Advances the simulated time, waking the gateways at their deadlines.
    fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
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
                self.execute_all(index, effects);
            }
        }
    }

    fn handle(&mut self, index: usize, event: GatewayEvent) {
        let effects = self.loops[index].handle(event, self.now);
        self.execute_all(index, effects);
    }

    /// Executes effects until none are left.
    fn execute_all(&mut self, index: usize, effects: Vec<GatewayEffect>) {
        let mut queue = VecDeque::from([(index, effects)]);
        while let Some((index, effects)) = queue.pop_front() {
            for effect in effects {
                if let Some((target, event)) = self.execute(index, effect) {
                    let effects = self.loops[target].handle(event, self.now);
                    queue.push_back((target, effects));
                }
            }
        }
    }

    fn execute(&mut self, index: usize, effect: GatewayEffect) -> Option<(usize, GatewayEvent)> {
        let store = self.stores[index];
        let event = match effect {
            GatewayEffect::Watch(WatchEffect::ReadDocument { after, .. }) => match store {
                // The watch stays open: there is nothing newer.
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
                    source: PEER_IP,
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

    /// Writes a newer document to a store, which completes the watch.
    fn write(&mut self, index: usize, version: u64) {
        self.stores[index] = Some(version);
        let read = WatchEvent::DocumentRead(Some(read_version(version)));
        self.handle(index, GatewayEvent::Watch(read));
    }

    fn status(&mut self, index: usize) -> Box<GatewayStatus> {
        let query = GatewayQuery::Status;
        let event = GatewayEvent::QueryReceived { id: 1, query };
        let effects = self.loops[index].handle(event, self.now);
        let statuses = effects.into_iter().filter_map(|effect| match effect {
            GatewayEffect::Reply {
                reply: GatewayReply::Status(status),
                ..
            } => Some(status),
            _ => None,
        });
        statuses.last().unwrap()
    }

    fn version(&mut self, index: usize) -> u64 {
        self.status(index).config.in_force.version.0
    }

    /// Refusal of a call with a key.
    fn refuse_key(&mut self, index: usize, key: &str) -> CallRefusal {
        let arrival = CallArrival {
            call: CallId(1),
            digest: KeyDigest::of_key(key),
            service: ServiceName::new("foglalas").unwrap(),
            kind: CallKind::Plain {
                method: Arc::from("GET"),
                path: Arc::from("/"),
                digest: RequestDigest::of_call("GET", "/", b""),
            },
            key: None,
            priority: CallPriority::Normal,
            timeout: None,
        };
        let effects = self.loops[index].handle(GatewayEvent::CallArrived(arrival), self.now);
        let refusal = effects.iter().find_map(|effect| match effect {
            GatewayEffect::Step {
                step: CallStep::Refuse(refusal),
                ..
            } => Some(refusal.clone()),
            _ => None,
        });
        self.execute_all(index, effects);
        refusal.expect("the call is refused")
    }

    /// Frame of the first gateway with its message replaced.
    fn forge(&self, message: PeerMessage) -> PeerFrame {
        let is_first = |frame: &&PeerFrame| frame.from.as_str() == "entry-0";
        let frame = self.frames.iter().rfind(is_first).unwrap().clone();
        PeerFrame { message, ..frame }
    }
}

fn read_version(version: u64) -> (ObjectVersion, Arc<Document>) {
    let digest = KeyDigest::of_key(KNOWN_KEY).to_hex();
    let caller = format!("desk: {{key_sha256: {digest}}}");
    let text = format!("workspaces:\n  team-{version}: {{services: [], callers: {{{caller}}}}}\n");
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
fn a_gateway_without_the_store_becomes_ready_through_a_ready_peer() {
    let mut pair = GatewayPair::new([Some(9), None]);
    pair.advance(Duration::from_millis(4_500));
    assert_eq!(pair.version(1), 9);
    assert!(
        !pair.status(1).ready,
        "ready through a peer before the store was given time to answer"
    );
    pair.advance(Duration::from_secs(9));
    assert!(pair.status(1).ready);

    pair.write(0, 10);
    pair.advance(Duration::from_secs(1));
    assert_eq!(pair.version(1), 10);
}

#[test]
fn gateways_without_the_store_do_not_make_each_other_ready() {
    let mut pair = GatewayPair::new([None, None]);
    pair.advance(Duration::from_secs(30));
    assert!(!pair.status(0).ready && !pair.status(1).ready);
}

#[test]
fn an_older_document_from_a_peer_is_refused() {
    let mut pair = GatewayPair::new([Some(9), None]);
    pair.advance(Duration::from_secs(12));
    pair.refusals.clear();
    for message in [
        PeerMessage::Announce(vec![document_item(4).entry()]),
        PeerMessage::Items(vec![document_item(4)]),
    ] {
        let frame = pair.forge(message);
        let event = PeerEvent::Frame {
            source: PEER_IP,
            frame,
        };
        pair.handle(1, GatewayEvent::Peer(event));
        pair.advance(Duration::from_secs(2));
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
fn a_frame_from_an_address_other_than_its_senders_is_ignored() {
    for (source, expected) in [(PEER_IP, 12), (OTHER_IP, 9)] {
        let mut pair = GatewayPair::new([Some(9), None]);
        pair.advance(Duration::from_secs(12));
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

#[test]
fn a_gateway_that_knows_of_a_newer_document_does_not_call_a_key_unknown() {
    let calls = [
        ("new-key", RefusalCause::UnknownKey),
        (KNOWN_KEY, RefusalCause::UnknownService),
    ];
    for (case, store) in [("gets it from peers", None), ("reads the store", Some(9))] {
        let mut pair = GatewayPair::new([Some(9), store]);
        pair.advance(Duration::from_secs(12));
        for (key, cause) in calls {
            assert_eq!(pair.refuse_key(1, key).cause, cause, "{case}");
        }

        let frame = pair.forge(PeerMessage::Announce(vec![document_item(12).entry()]));
        let source = PEER_IP;
        pair.handle(1, GatewayEvent::Peer(PeerEvent::Frame { source, frame }));
        assert_eq!(pair.version(1), 9, "{case}");
        for (key, _) in calls {
            let refusal = pair.refuse_key(1, key);
            assert_eq!(refusal.cause, RefusalCause::DocumentBehind, "{case}");
            assert!(refusal.retry_at > Some(pair.now), "{case}: {refusal:?}");
        }

        pair.write(0, 12);
        if store.is_some() {
            pair.write(1, 12);
        }
        pair.advance(Duration::from_secs(1));
        assert_eq!(pair.version(1), 12, "{case}");
        for (key, cause) in calls {
            assert_eq!(pair.refuse_key(1, key).cause, cause, "{case}");
        }
    }
}

#[test]
fn an_announced_document_that_never_comes_leaves_refusals_open_for_a_minute_at_most() {
    for store in [None, Some(9)] {
        let mut pair = GatewayPair::new([Some(9), store]);
        pair.advance(Duration::from_secs(12));
        let frame = pair.forge(PeerMessage::Announce(vec![document_item(12).entry()]));
        let source = PEER_IP;
        pair.handle(1, GatewayEvent::Peer(PeerEvent::Frame { source, frame }));
        pair.advance(Duration::from_secs(61));
        let refusal = pair.refuse_key(1, "new-key");
        assert_eq!(refusal.cause, RefusalCause::UnknownKey);
    }
}
