//! Client for backend servers: a connection pool per server, and a task per attempt.

mod attempt;
mod body_collector;
mod connect;
mod connection_needs;
mod connection_pool;
mod connection_pools;
mod exchange;
mod exchange_key;
mod limited_stream;
mod part_reply;
mod pooled_connection;
mod read_allowance;
mod status;

pub use connection_needs::ConnectionNeeds;
pub use connection_pool::ConnectOptions;
pub use connection_pool::ConnectionPool;
pub use connection_pool::ConnectionSink;
pub use connection_pools::ConnectionPools;
pub use connection_pools::ConnectionPoolsOptions;
pub use connection_pools::ConnectionPoolsState;
pub use connection_pools::EventSink;
pub use exchange::CompleteReply;
pub use exchange::ExchangeError;
pub use exchange::exchange;
pub use exchange_key::ExchangeKey;
pub use pooled_connection::PooledConnection;
