//! Shared objects: the nodes' entries and the record of groups.

use std::net::SocketAddr;

use base::prelude::*;
use replicas::commands::{WriteOutcome, record_missing, record_write_outcome, update_record};
use replicas::{GroupRecord, RecordWire};
use serde::{Deserialize, Serialize};
use store::{ObjectChange, ObjectKey, StoredObject, UpdateOutcome};

use super::digests::update_watch_mode;
use super::{refresh_targets, send_record};
use crate::border::ports::StoreCollection;
use crate::state::{PeerState, budget_of};
use crate::{EdgeEffect, EdgeState};

/// Name of the object with the record of groups.
const RECORD_NAME: &str = "groups";
/// Prefix of the names of the nodes' entries.
const NODE_PREFIX: &str = "node.";
/// Delay before an entry that could not be written is written again.
const REGISTRATION_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Stored form of a node's entry.
#[derive(Debug, Serialize, Deserialize)]
struct NodeWire {
    address: SocketAddr,
    /// Address for requests that the node passes on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    passing: Option<SocketAddr>,
    /// Thousandths of a core that the node may use.
    #[serde(default)]
    rank: u32,
    /// Failure domain of the node.
    #[serde(default)]
    domain: String,
}

/// Applies shared objects; `is_complete` if they are the whole list.
pub(crate) fn apply_shared_objects(
    state: &mut EdgeState,
    objects: Vec<StoredObject>,
    is_complete: bool,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    if is_complete {
        let shared = state
            .collections
            .entry(StoreCollection::Shared)
            .or_default();
        if !std::mem::replace(&mut shared.is_listed, true) {
            // The other nodes and the watches of this one wait for its first digest.
            state.digest_due = now;
        }
    }
    let mut has_record = false;
    if is_complete {
        // Set again below if this node's entry is listed; a restored store may have lost it.
        state.is_registered = false;
        state.entry_version = ObjectVersion::default();
    }
    for object in objects {
        if object.key.as_str() == RECORD_NAME {
            has_record = true;
            apply_record(state, &object, now);
        } else if let Some(node) = object.key.as_str().strip_prefix(NODE_PREFIX) {
            apply_node_entry(state, node, &object);
        }
    }
    if is_complete && !has_record {
        let revision = state
            .collection(StoreCollection::Shared)
            .map(|entry| entry.revision);
        record_missing(&mut state.planner, revision.unwrap_or_default());
    }
    update_retry_budget(state);
    register_node(state, now)
}

/// Updates this node's share of the retries from the settings and the number of nodes.
pub(crate) fn update_retry_budget(state: &mut EdgeState) {
    let node_count = state.peers.len() + 1;
    let budget = budget_of(&state.settings.bounds, node_count);
    state.relay.set_budget(budget);
}

fn apply_record(state: &mut EdgeState, object: &StoredObject, now: ClockTime) {
    let wire = serde_json::from_str::<RecordWire>(&object.value).map_err(|error| error.to_string());
    match wire.and_then(|wire| GroupRecord::try_from(wire).map_err(|error| error.to_string())) {
        Ok(record) => {
            adopt_record(state, Arc::new(record), object.version, now);
        }
        Err(error) => {
            log::warn!(version:% = object.version; "group record can't be decoded: {error}");
        }
    }
}

/// Replaces the record of groups if the given one is newer; returns whether it is.
pub(crate) fn adopt_record(
    state: &mut EdgeState,
    record: Arc<GroupRecord>,
    version: ObjectVersion,
    now: ClockTime,
) -> bool {
    let local = Some(&state.settings.node);
    let was_owner = state.planner.record().owner.as_ref() == local;
    let is_owner = record.owner.as_ref() == local;
    let is_new = update_record(&mut state.planner, record, version, now);
    if is_new && was_owner && !is_owner {
        log::info!(version:% = version; "group ownership taken over by another node");
        state.yielded_at = Some(now);
    }
    is_new
}

fn apply_node_entry(state: &mut EdgeState, node: &str, object: &StoredObject) {
    let Ok(node) = NodeName::external(node) else {
        return;
    };
    let wire: NodeWire = match serde_json::from_str(&object.value) {
        Ok(wire) => wire,
        Err(error) => {
            log::warn!(node:% = node; "node entry can't be decoded: {error}");
            return;
        }
    };
    if node == state.settings.node {
        state.entry_version = object.version;
        state.is_registered = wire.address == state.settings.peers
            && wire.passing == Some(state.settings.passing)
            && wire.domain == state.settings.domain.as_str();
        return;
    }
    let address = wire.address;
    let domain = DomainName::external(&wire.domain).ok();
    let peer = state.peers.entry(node.clone()).or_insert_with(|| {
        log::debug!(node:% = node, address:% = address; "node discovered");
        PeerState::new(address, wire.rank, domain.clone())
    });
    peer.address = address;
    peer.passing = wire.passing;
    peer.domain = domain;
    peer.capacity = wire.rank;
}

/// Writes this node's entry unless it is up to date.
pub(crate) fn register_node(state: &mut EdgeState, now: ClockTime) -> Vec<EdgeEffect> {
    let is_listed = state
        .collection(StoreCollection::Shared)
        .is_some_and(|entry| entry.is_listed);
    if !is_listed || state.is_registered || state.is_registering || now < state.registration_due {
        return Vec::new();
    }
    let wire = NodeWire {
        address: state.settings.peers,
        passing: Some(state.settings.passing),
        rank: state.settings.capacity,
        domain: state.settings.domain.as_str().to_owned(),
    };
    let Ok(value) = serde_json::to_string(&wire) else {
        return Vec::new();
    };
    state.is_registering = true;
    vec![EdgeEffect::Update(ObjectChange {
        key: ObjectKey::new(&format!("{NODE_PREFIX}{}", state.settings.node)),
        expected: state.entry_version,
        value: value.into(),
    })]
}

/// Makes the update that writes a record.
pub(crate) fn record_change(record: &GroupRecord, expected: ObjectVersion) -> Option<ObjectChange> {
    let value = serde_json::to_string(&RecordWire::from(record)).ok()?;
    Some(ObjectChange {
        key: ObjectKey::new(RECORD_NAME),
        expected,
        value: value.into(),
    })
}

/// Handles the outcome of a write.
pub(crate) fn handle_write_outcome(
    state: &mut EdgeState,
    change: &ObjectChange,
    outcome: UpdateOutcome,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    if change.key.as_str() != RECORD_NAME {
        state.is_registering = false;
        state.registration_due = now + REGISTRATION_RETRY_DELAY;
        if let UpdateOutcome::Applied(version) = outcome {
            state.entry_version = version;
            state.is_registered = true;
        } else {
            log::warn!(outcome:? = outcome; "node entry not written; retrying");
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
        state.last_write_failure_at = Some(now);
    }
    if !matches!(outcome, WriteOutcome::Written(_)) {
        log::warn!(outcome:? = outcome; "group record not written");
    }
    let is_new = record_write_outcome(&mut state.planner, outcome, now);
    state.needs_plan = true;
    if !is_new {
        return Vec::new();
    }
    refresh_targets(state);
    let mut effects = send_record(state, now);
    // A new owner waits for the list.
    effects.extend(update_watch_mode(state, now));
    effects
}
