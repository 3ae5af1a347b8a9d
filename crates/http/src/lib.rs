//! HTTP server and client over hyper: the interface for callers and the connections to backend servers.
//!
//! The crate does I/O only. `gs_query` decides which servers to query, when to hedge and what to answer: it receives
//! lookups through [`LookupService`], and the results of attempts through [`EventSink`].
//!
//! `gs_edge`, whose decisions are made in `gs_relay`, uses only what does not depend on lookups: [`Server`],
//! [`listen()`], [`read_body`], [`BodyBudget`], [`exchange()`] and [`ConnectionPool`].

mod backend;
mod body;
mod body_budget;
mod callers;
mod ending;
mod listen;
mod phase;
mod server;
mod unused;

pub use backend::CompleteReply;
pub use backend::ConnectOptions;
pub use backend::ConnectionNeeds;
pub use backend::ConnectionPool;
pub use backend::ConnectionPools;
pub use backend::ConnectionPoolsOptions;
pub use backend::ConnectionPoolsState;
pub use backend::ConnectionSink;
pub use backend::EventSink;
pub use backend::ExchangeError;
pub use backend::ExchangeKey;
pub use backend::PooledConnection;
pub use backend::exchange;
pub use body::read_body;
pub use body_budget::BodyBudget;
pub use body_budget::BodyCharge;
pub use callers::CallerHandler;
pub use callers::LookupReply;
pub use callers::LookupService;
pub use callers::status_of;
pub use listen::listen;
pub use server::Handler;
pub use server::Limits;
pub use server::LiveLimits;
pub use server::Server;
pub use server::ServerState;
pub use unused::wait_until_unused;
