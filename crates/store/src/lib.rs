//! The client of the platform's object service.
//!
//! [`Platform`] is what the rest of the process sees; [`HttpPlatform`] speaks the protocol of
//! `docs/PROTOCOLS.md` by hyper, with timeouts, jittered back-off and a counted call budget.
//! [`Watcher`] keeps a prefix mirrored through outages, and [`write_identified`] decides a write
//! whose answer was lost by reading back.

mod backoff;
mod budget;
mod http;
mod identified;
mod object;
mod platform;
mod watcher;

pub use backoff::Backoff;
pub use budget::Calls;
pub use http::HttpPlatform;
pub use http::HttpPlatformOptions;
pub use identified::write_identified;
pub use object::Changed;
pub use object::Entry;
pub use object::Listing;
pub use object::OBJECT_MAX;
pub use object::Object;
pub use object::Version;
pub use object::WatchReply;
pub use platform::Platform;
pub use watcher::Holds;
pub use watcher::Update;
pub use watcher::WatchOptions;
pub use watcher::Watcher;
