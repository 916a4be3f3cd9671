//! Items that every node must hold in the same version.

use std::fmt;

use base::prelude::*;
use sha2::{Digest, Sha256};

/// What an item is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ItemKey {
    /// Section of the configuration document.
    Section(SectionName),
    /// Record of a fabric domain.
    Fabric(FabricName),
}

/// First half of the SHA-256 of an item's body; zero for a removed item.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ItemDigest(pub [u8; 16]);

impl ItemDigest {
    /// Digest of a removed item.
    pub const REMOVED: Self = Self([0; 16]);

    /// Digest of a body.
    pub fn of_body(body: Option<&str>) -> Self {
        let Some(body) = body else {
            return Self::REMOVED;
        };
        let mut half = [0; 16];
        half.copy_from_slice(&Sha256::digest(body.as_bytes())[..16]);
        Self(half)
    }
}

impl fmt::Debug for ItemDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ItemDigest({:016x})", self.head())
    }
}

impl ItemDigest {
    /// First eight bytes as a number.
    pub(crate) fn head(&self) -> u64 {
        let mut head = [0; 8];
        head.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(head)
    }
}

/// Version and digest of an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemEntry {
    /// What it is about.
    pub key: ItemKey,
    /// Version that the store gave it; grows with every change of the item.
    pub version: ObjectVersion,
    /// Digest of its body.
    pub digest: ItemDigest,
}

/// One version of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// What it is about.
    pub key: ItemKey,
    /// Version that the store gave it.
    pub version: ObjectVersion,
    /// Its text; none once it has been removed.
    pub body: Option<Arc<str>>,
}

impl Item {
    /// Version and digest of this item.
    pub fn entry(&self) -> ItemEntry {
        ItemEntry {
            key: self.key.clone(),
            version: self.version,
            digest: ItemDigest::of_body(self.body.as_deref()),
        }
    }
}

/// Everything that the store held at one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreListing {
    /// Version of the listing itself.
    pub version: ObjectVersion,
    /// Every item, removed ones included.
    pub entries: Vec<ItemEntry>,
}
