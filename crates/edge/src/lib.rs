//! The process that relays callers' requests by routes: connects the relay's state machine to sockets.
//!
//! Three interfaces define the protocols: [`CallerCodec`] to callers, [`ServerCodec`] to backend servers and
//! [`Directory`] to the platform where routes are declared and servers registered. Decisions are made in `gs_relay`;
//! the wire formats to callers, servers and the platform are left to implementations of these interfaces, which the
//! crate `gs_platform` contains.
//!
//! [`serve()`] runs a process from its settings to its graceful shutdown.

mod announcer;
mod body;
mod callers;
mod connection_pools;
mod crash_news;
mod crash_news_handler;
mod directory;
mod directory_reachability;
mod directory_watcher;
mod metrics;
mod peers;
mod process;
mod register;
mod relay_client;
mod reload;
mod request_log;
mod seed;
mod serve;
mod servers;
mod settings;
mod shared_state;
mod shell;
mod shutdown;
mod shutdown_settings;
mod status;
mod unreadable_objects;
mod verdict_spread;

pub use callers::CallerCodec;
pub use directory::Changes;
pub use directory::Directory;
pub use directory::DirectoryKind;
pub use directory::Item;
pub use directory::ItemContent;
pub use directory::Listing;
pub use directory::Origin;
pub use directory::Renewal;
pub use directory::VmAnnouncement;
pub use directory::VmListing;
pub use serve::Protocols;
pub use serve::serve;
pub use servers::ParsedReply;
pub use servers::ServerCodec;
pub use servers::opaque_request;
pub use settings::Budget;
pub use settings::EdgeSettings;
pub use settings::Listen;
pub use settings::Log;
pub use settings::Platform;
pub use settings::Servers;
pub use settings::Vm;
pub use shutdown_settings::Shutdown;
pub use unreadable_objects::UnreadableObjects;
