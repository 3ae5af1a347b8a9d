//! What a request needs of the connection that carries it.

use std::time::Duration;

use crate::backend::exchange_key::ExchangeKey;

/// What a request needs of the connection that carries it.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionNeeds {
    /// How long to wait for a connection.
    pub timeout: Duration,
    /// The connection must have been idle for less than this; `None` for no bound.
    ///
    /// A server may close an idle connection at the moment when a request is written on it. Whether the request was
    /// executed is unknown then, and a request that may run only once cannot be retried.
    pub idle_max: Option<Duration>,
    /// The request, which the connection must not have carried before; `None` if its id is never used again.
    ///
    /// A server may send an answer once more, late, in place of the next one. The id in it tells the answers to two
    /// requests apart, but not those to two attempts of one request: a copy of a refusal would be taken for the answer
    /// to an attempt that the server executes.
    pub exchange: Option<ExchangeKey>,
}

impl ConnectionNeeds {
    /// Returns needs that every open connection meets.
    #[must_use]
    pub fn any(timeout: Duration) -> Self {
        Self {
            timeout,
            idle_max: None,
            exchange: None,
        }
    }
}
