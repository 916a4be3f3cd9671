//! Reads and decodes the objects that commands and queries use.

use base::prelude::*;
use document::{Document, GoodSections};
use groups::{FabricRecord, FabricWire};
use interface::keys::{FABRIC_PREFIX, NODE_PREFIX, document_key, drains_key};
use interface::{DrainList, HostEntry, HostsOutcome, NodeEntry, read_good_sections};
use store::{ListOutcome, ReadOutcome, StoredObject};

use crate::{CliError, Session};

/// Reads the document and its version; an empty document at version 0 if there is none.
pub async fn read_document(session: &Session) -> Result<(ObjectVersion, Document), CliError> {
    match session.store.read(&document_key()).await {
        ReadOutcome::Found(object) => Ok((object.version, Document::decode(&object.value)?)),
        ReadOutcome::Missing => Ok((ObjectVersion(0), Document::default())),
        ReadOutcome::Unavailable => Err(CliError::Unavailable),
    }
}

/// Reads the last good sections and the version of the object that holds them.
pub async fn read_last_good(session: &Session) -> Result<(ObjectVersion, GoodSections), CliError> {
    let read = read_good_sections(session.store.as_ref()).await;
    read.ok_or(CliError::Unavailable)
}

/// Reads the list of drained hosts and its version.
pub async fn read_drains(session: &Session) -> Result<(ObjectVersion, DrainList), CliError> {
    match session.store.read(&drains_key()).await {
        ReadOutcome::Found(object) => match DrainList::decode(&object.value) {
            Some(list) => Ok((object.version, list)),
            None => Err(decode_error(&object, "not a list of drained hosts")),
        },
        ReadOutcome::Missing => Ok((ObjectVersion(0), DrainList::default())),
        ReadOutcome::Unavailable => Err(CliError::Unavailable),
    }
}

/// Reads the record of every fabric domain.
pub async fn read_fabrics(session: &Session) -> Result<Vec<FabricRecord>, CliError> {
    let objects = list_objects(session, FABRIC_PREFIX).await?;
    let records = objects.iter().map(|object| {
        let wire = serde_json::from_str::<FabricWire>(&object.value);
        let wire = wire.map_err(|error| decode_error(object, &error.to_string()))?;
        Ok(FabricRecord::from(wire))
    });
    records.collect()
}

/// Reads the registration of every daemon.
pub async fn read_nodes(session: &Session) -> Result<Vec<NodeEntry>, CliError> {
    let objects = list_objects(session, NODE_PREFIX).await?;
    let entries = objects.iter().map(|object| {
        NodeEntry::decode(&object.value).ok_or_else(|| decode_error(object, "not a node entry"))
    });
    entries.collect()
}

/// Reads the platform's list of hosts, sorted by name.
pub async fn read_hosts(session: &Session) -> Result<Vec<HostEntry>, CliError> {
    match session.hosts.hosts().await {
        HostsOutcome::Listed(mut hosts) => {
            hosts.sort_by(|one, other| one.host.cmp(&other.host));
            Ok(hosts)
        }
        HostsOutcome::Unavailable => Err(CliError::Unavailable),
    }
}

async fn list_objects(session: &Session, prefix: &str) -> Result<Vec<StoredObject>, CliError> {
    match session.store.list(prefix).await {
        ListOutcome::Found(objects) => Ok(objects),
        ListOutcome::Unavailable => Err(CliError::Unavailable),
    }
}

fn decode_error(object: &StoredObject, reason: &str) -> CliError {
    CliError::Undecodable {
        key: object.key.to_string(),
        reason: reason.to_owned(),
    }
}
