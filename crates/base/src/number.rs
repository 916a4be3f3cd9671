//! One type for each kind of number, so that they cannot be confused.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

numbers! {
    /// Fencing token of a fabric domain's owner lease.
    FencingToken;
    /// Generation of a replica group's membership.
    GroupEpoch;
    /// Incarnation of a host's engine; it changes with each restart.
    HostIncarnation;
    /// Identifies a call within one process.
    CallId;
    /// Number of edits made to a section; zero if the section does not exist.
    SectionRevision;
    /// Random value stored with a conditional update, by which its writer recognizes
    /// the update when reading it back.
    WriteNonce;
}

/// Bits of a version below those of the era.
const REVISION_BITS: u32 = 40;
/// Largest era; later ones count as this one.
const MAX_ERA: u64 = (1 << (u64::BITS - REVISION_BITS)) - 1;

/// Version of an object in the platform's store; zero if the object does not exist.
///
/// A store that was restored from a copy gives its revisions out again. It counts its restores:
/// the era goes before the revision, so versions of the present era are newer than all before.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ObjectVersion(pub u64);

impl ObjectVersion {
    /// Version that the store gave in an era; revision zero if the object does not exist in it.
    pub const fn in_era(era: u64, revision: u64) -> Self {
        let era = if era < MAX_ERA { era } else { MAX_ERA };
        Self((era << REVISION_BITS) | revision)
    }

    /// Number of restores of the store before it gave this version.
    pub const fn era(self) -> u64 {
        self.0 >> REVISION_BITS
    }

    /// Revision by which the store names this version.
    pub const fn revision(self) -> u64 {
        self.0 & ((1 << REVISION_BITS) - 1)
    }

    /// Whether the object exists.
    pub const fn exists(self) -> bool {
        self.revision() > 0
    }

    /// Returns the next version of the same era.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for ObjectVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era() == 0 {
            return self.revision().fmt(f);
        }
        write!(f, "{}:{}", self.era(), self.revision())
    }
}
