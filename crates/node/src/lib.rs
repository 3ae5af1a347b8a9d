//! One process of gentiansill: the decisions as actors, joined to sockets, the mesh and the platform.
//!
//! Each decision crate runs in one `xtra` actor ([`gs_query::Engine`], [`gs_conf::ConfigManager`],
//! [`gs_member::Membership`], [`gs_once::Once`]). This crate carries their actions out and feeds
//! what comes of them back as events; it holds no policy of its own.
//!
//! [`serve()`] runs a process from its settings to its graceful end.

mod board;
mod book_shell;
mod calls;
mod desk;
mod dumps;
mod engine_shell;
mod feeds;
mod first_groups;
mod inbox;
mod member_shell;
mod message;
mod metrics;
mod once_shell;
mod operators;
mod options;
mod poll;
mod process;
mod recording;
mod serve;
mod shutdown;
mod spread;
mod watch;

pub use message::Message;
pub use serve::serve;
