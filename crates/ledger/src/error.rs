//! Errors in stored shards.

/// Error in the stored form of a shard or the epoch.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LedgerError {
    /// The value is not the expected JSON.
    #[error("ledger object can't be parsed ({message}): restore the object or remove it")]
    Syntax {
        /// Message of the parser.
        message: String,
    },
    /// A digest or a body is not hexadecimal.
    #[error("invalid hexadecimal '{text}' in a ledger shard: restore the object or remove it")]
    Hexadecimal {
        /// Invalid text.
        text: String,
    },
}
