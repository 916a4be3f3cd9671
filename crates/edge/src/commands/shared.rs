//! Objects that the nodes share: their addresses and the record of groups.

use std::net::SocketAddr;

use base::prelude::*;
use replicas::commands::{WriteOutcome, record_missing, record_write_outcome, update_record};
use replicas::{GroupRecord, RecordWire};
use serde::{Deserialize, Serialize};
use store::{ObjectChange, ObjectKey, StoredObject, UpdateOutcome};

use super::{push_record, refresh_places};
use crate::border::ports::Feed;
use crate::state::PeerState;
use crate::{EdgeEffect, EdgeState};

/// Name of the record of groups.
const RECORD_NAME: &str = "groups";
/// Prefix of the nodes' entries.
const NODE_PREFIX: &str = "node.";
/// Pause before an entry that could not be written is tried again.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(500);

/// Stored form of a node's entry.
#[derive(Debug, Serialize, Deserialize)]
struct NodeWire {
    address: SocketAddr,
    /// How much the node can do.
    #[serde(default)]
    rank: u32,
}

/// Takes in shared objects.
pub(crate) fn take_shared(
    state: &mut EdgeState,
    objects: Vec<StoredObject>,
    is_whole: bool,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    if is_whole {
        state.feeds.entry(Feed::Shared).or_default().is_listed = true;
    }
    let mut has_record = false;
    for object in objects {
        if object.key.as_str() == RECORD_NAME {
            has_record = true;
            take_record(state, &object, now);
        } else if let Some(node) = object.key.as_str().strip_prefix(NODE_PREFIX) {
            take_node(state, node, &object);
        }
    }
    if is_whole && !has_record {
        record_missing(&mut state.planner);
    }
    announce(state, now)
}

fn take_record(state: &mut EdgeState, object: &StoredObject, now: ClockTime) {
    let wire = serde_json::from_str::<RecordWire>(&object.value).map_err(|fault| fault.to_string());
    match wire.and_then(|wire| GroupRecord::try_from(wire).map_err(|fault| fault.to_string())) {
        Ok(record) => {
            adopt_record(state, Arc::new(record), object.version, now);
        }
        Err(fault) => {
            log::warn!(version = object.version.0; "the record of groups can't be read: {fault}");
        }
    }
}

/// Takes in a record; returns whether it is new.
pub(crate) fn adopt_record(
    state: &mut EdgeState,
    record: Arc<GroupRecord>,
    version: ObjectVersion,
    now: ClockTime,
) -> bool {
    let own = Some(&state.settings.node);
    let was_own = state.planner.record().owner.as_ref() == own;
    let is_own = record.owner.as_ref() == own;
    let is_new = update_record(&mut state.planner, record, version, now);
    if is_new && was_own && !is_own {
        log::info!(version = version.0; "another node has taken the groups over");
        state.yielded_at = Some(now);
    }
    is_new
}

fn take_node(state: &mut EdgeState, node: &str, object: &StoredObject) {
    let Ok(node) = NodeName::new(node) else {
        return;
    };
    let wire: NodeWire = match serde_json::from_str(&object.value) {
        Ok(wire) => wire,
        Err(fault) => {
            log::warn!(node:% = node; "a node's entry can't be read: {fault}");
            return;
        }
    };
    if node == state.settings.node {
        state.entry_version = object.version;
        state.is_announced = wire.address == state.settings.peers;
        return;
    }
    let address = wire.address;
    let peer = state.peers.entry(node.clone()).or_insert_with(|| {
        log::debug!(node:% = node, address:% = address; "another node is known");
        PeerState::new(address, wire.rank)
    });
    peer.address = address;
    peer.rank = wire.rank;
}

/// Writes this node's entry unless it stands.
pub(crate) fn announce(state: &mut EdgeState, now: ClockTime) -> Vec<EdgeEffect> {
    let is_listed = state
        .feed(Feed::Shared)
        .is_some_and(|known| known.is_listed);
    if !is_listed || state.is_announced || state.is_announcing || now < state.announce_due {
        return Vec::new();
    }
    let wire = NodeWire {
        address: state.settings.peers,
        rank: state.settings.rank,
    };
    let Ok(value) = serde_json::to_string(&wire) else {
        return Vec::new();
    };
    state.is_announcing = true;
    vec![EdgeEffect::Update(ObjectChange {
        key: ObjectKey::new(&format!("{NODE_PREFIX}{}", state.settings.node)),
        expected: state.entry_version,
        value: value.into(),
    })]
}

/// Change that writes a record.
pub(crate) fn record_change(record: &GroupRecord, expected: ObjectVersion) -> Option<ObjectChange> {
    let value = serde_json::to_string(&RecordWire::from(record)).ok()?;
    Some(ObjectChange {
        key: ObjectKey::new(RECORD_NAME),
        expected,
        value: value.into(),
    })
}

/// Takes in how a write ended.
pub(crate) fn take_update(
    state: &mut EdgeState,
    change: &ObjectChange,
    outcome: UpdateOutcome,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    if change.key.as_str() != RECORD_NAME {
        state.is_announcing = false;
        state.announce_due = now + ANNOUNCE_PAUSE;
        if let UpdateOutcome::Applied(version) = outcome {
            state.entry_version = version;
            state.is_announced = true;
        } else {
            log::warn!(outcome:? = outcome; "this node's entry was not written; trying again");
        }
        return Vec::new();
    }
    let outcome = match outcome {
        UpdateOutcome::Applied(version) => WriteOutcome::Written(version),
        UpdateOutcome::Conflict => WriteOutcome::Conflict,
        UpdateOutcome::Unknown => WriteOutcome::Unknown,
        UpdateOutcome::TooLarge | UpdateOutcome::Unavailable => WriteOutcome::Failed,
    };
    if matches!(outcome, WriteOutcome::Unknown | WriteOutcome::Failed) {
        state.write_fault_at = Some(now);
    }
    if !matches!(outcome, WriteOutcome::Written(_)) {
        log::warn!(outcome:? = outcome; "the record of groups was not written");
    }
    let is_new = record_write_outcome(&mut state.planner, outcome, now);
    state.has_news = true;
    if !is_new {
        return Vec::new();
    }
    refresh_places(state);
    push_record(state, now)
}
