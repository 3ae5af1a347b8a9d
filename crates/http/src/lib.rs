//! HTTP by hyper on both sides: the callers' interface and the connections to backend servers.
//!
//! I/O only. What to ask, when to hedge and what to answer is decided in `gs_query`; this crate
//! hands lookups in through [`Desk`] and attempts' ends in through [`Sink`].

mod backend;
mod body;
mod callers;
mod listen;
mod phase;
mod server;

pub use backend::ConnectionSink;
pub use backend::ExchangeError;
pub use backend::Lane;
pub use backend::LaneOptions;
pub use backend::Lent;
pub use backend::Pool;
pub use backend::PoolOptions;
pub use backend::PoolState;
pub use backend::Sink;
pub use backend::Whole;
pub use backend::exchange;
pub use body::read_body;
pub use callers::Callers;
pub use callers::Desk;
pub use callers::LookupReply;
pub use callers::status_of;
pub use listen::listen;
pub use server::Handler;
pub use server::Limits;
pub use server::LiveLimits;
pub use server::Server;
pub use server::ServerState;
