//! One process that relays callers' requests on routes: the relay's decisions joined to sockets.
//!
//! Three borders say what is spoken: [`CallerCodec`] towards callers, [`ServerCodec`] towards backend
//! servers and [`Directory`] towards whoever declares routes and registers servers. This crate holds
//! no policy and knows no wire format.
//!
//! [`serve()`] runs a process from its settings to its graceful end.

mod body;
mod callers;
mod contact;
mod desk;
mod directory;
mod ends;
mod follow;
mod lanes;
mod metrics;
mod peers;
mod process;
mod readiness;
mod register;
mod reload;
mod roster;
mod seed;
mod serve;
mod servers;
mod settings;
mod shell;
mod shutdown;
mod state;

pub use callers::CallerCodec;
pub use directory::Changes;
pub use directory::Directory;
pub use directory::DirectoryKind;
pub use directory::Item;
pub use directory::ItemContent;
pub use directory::Listing;
pub use directory::Origin;
pub use directory::Renewal;
pub use directory::Revision;
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
pub use settings::Shutdown;
pub use settings::Vm;
