//! Connections to backend servers: one pool a process, one lane a server, one task an attempt.

mod attempt;
mod check;
mod connect;
mod exchange;
mod lane;
mod pool;
mod status;

pub use exchange::CompleteReply;
pub use exchange::ExchangeError;
pub use exchange::exchange;
pub use lane::ConnectOptions;
pub use lane::ConnectionPool;
pub use lane::ConnectionSink;
pub use lane::PooledConnection;
pub use pool::ConnectionPools;
pub use pool::ConnectionPoolsOptions;
pub use pool::ConnectionPoolsState;
pub use pool::EventSink;
