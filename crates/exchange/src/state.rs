//! States of an exchange until its answer.

use crate::{ExchangeTag, NotRunProof};

/// Request of which no byte was handed to a connection.
#[derive(Debug)]
pub struct UnsentExchange {
    pub(crate) tag: Option<ExchangeTag>,
}

impl UnsentExchange {
    /// Exchange of a request with this tag, if it has one.
    pub fn new(tag: Option<ExchangeTag>) -> Self {
        Self { tag }
    }

    /// Gives the request up, which shows that it was not run.
    pub fn give_up(self) -> NotRunProof {
        NotRunProof::new()
    }
}

/// Request that was handed to a connection.
#[derive(Debug)]
pub struct SentExchange {
    pub(crate) tag: Option<ExchangeTag>,
    pub(crate) number: u32,
}

impl SentExchange {
    /// Tag of the request.
    pub fn tag(&self) -> Option<&ExchangeTag> {
        self.tag.as_ref()
    }

    /// Number of the exchange on its connection, from one.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// Exchange whose connection has handed the whole request back.
    pub fn take_back(self) -> UnsentExchange {
        UnsentExchange { tag: self.tag }
    }
}
