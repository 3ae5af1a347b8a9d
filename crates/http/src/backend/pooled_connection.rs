//! One connection to a backend server, as its pool and the exchanges on it see it.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;

use crate::backend::connect::Sender;
use crate::backend::exchange_key::ExchangeKey;
use crate::backend::exchange_key::RecentExchanges;
use crate::backend::read_allowance::ReadAllowance;

/// A connection taken from a pool; returned by [`put_back`](crate::ConnectionPool::put_back), closed when dropped.
pub struct PooledConnection {
    pub(crate) tx: Sender,
    /// The bytes that may be read from it.
    pub(crate) allowance: ReadAllowance,
    /// Its number among the connections of its pool.
    number: u64,
    /// How often it was taken from the pool.
    uses: u64,
    /// Whether this process still holds the connection; distinguishes a close by the server from one by this process.
    held: Arc<AtomicBool>,
    /// When the connection was last returned to the pool.
    idle_since: Instant,
    /// How long the connection may be idle and still be reused; `None` for no bound.
    idle_max: Option<Duration>,
    /// The requests that it has carried last.
    carried: RecentExchanges,
}

impl PooledConnection {
    /// Creates a connection that has carried nothing; `held` is cleared when it is dropped.
    pub(crate) fn new(
        tx: Sender,
        number: u64,
        held: Arc<AtomicBool>,
        allowance: ReadAllowance,
    ) -> Self {
        Self {
            tx,
            allowance,
            number,
            uses: 0,
            held,
            idle_since: Instant::now(),
            idle_max: None,
            carried: RecentExchanges::default(),
        }
    }

    /// Returns its number among the connections of its pool, in the order in which they were opened.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns how often it was taken from the pool.
    #[must_use]
    pub fn uses(&self) -> u64 {
        self.uses
    }

    /// Sets how long the connection may be idle and still be reused.
    pub fn set_idle_max(&mut self, idle_max: Duration) {
        self.idle_max = Some(idle_max);
    }

    /// Records that it is taken from the pool, for the request if that is known.
    pub(crate) fn on_taken(&mut self, exchange: Option<ExchangeKey>) {
        self.uses += 1;
        if let Some(key) = exchange {
            self.carried.push(key);
        }
    }

    /// Records that it is returned to the pool.
    pub(crate) fn on_returned(&mut self) {
        self.idle_since = Instant::now();
    }

    /// Returns whether the connection is open and has been idle for less than both bounds.
    pub(crate) fn is_usable(&self, idle_max: Option<Duration>) -> bool {
        let idle = self.idle_since.elapsed();
        let fits = |max: Option<Duration>| max.is_none_or(|max| idle < max);
        !self.tx.is_closed() && fits(self.idle_max) && fits(idle_max)
    }

    /// Returns whether the connection has carried the request.
    pub(crate) fn has_carried(&self, exchange: Option<ExchangeKey>) -> bool {
        exchange.is_some_and(|key| self.carried.contains(key))
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.held.store(false, Ordering::Relaxed);
    }
}
