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
    /// Version of an object in the platform's store; zero if the object does not exist.
    ObjectVersion;
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
