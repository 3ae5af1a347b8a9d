//! The process of a VM that serves lookups: connects the state machines to sockets, the mesh and the platform.
//!
//! Each state machine ([`gs_query::Engine`], [`gs_conf::ConfigManager`], [`gs_member::Membership`],
//! [`gs_once::IdempotencyClaims`]) runs in one `xtra` actor. This crate performs their actions and
//! returns the results to them as events; it contains no policy of its own.
//!
//! [`serve()`] runs a process from its settings to its graceful shutdown.

mod config_manager_shell;
mod dumps;
mod engine_client;
mod engine_shell;
mod feeds;
mod group_loading;
mod inbox;
mod membership_shell;
mod message;
mod metrics;
mod once_shell;
mod operator_api;
mod options;
mod peer_sender;
mod platform_calls;
mod platform_watcher;
mod process;
mod recording;
mod serve;
mod server_poll;
mod shared_state;
mod shutdown;
mod shutdown_times;

pub use message::Message;
pub use serve::serve;
pub use shutdown_times::ShutdownTimes;
