//! Connections to backend servers: one pool a process, one lane a server, one task an attempt.

mod attempt;
mod check;
mod connect;
mod exchange;
mod lane;
mod pool;
mod status;

pub use exchange::ExchangeError;
pub use exchange::Whole;
pub use exchange::exchange;
pub use lane::ConnectionSink;
pub use lane::Lane;
pub use lane::LaneOptions;
pub use lane::Lent;
pub use pool::Pool;
pub use pool::PoolOptions;
pub use pool::PoolState;
pub use pool::Sink;
