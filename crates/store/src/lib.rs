//! The client of the platform's object service.
//!
//! [`Platform`] is what the rest of the process sees; [`HttpPlatform`] speaks the protocol of
//! `docs/PROTOCOLS.md` by hyper, with timeouts, jittered back-off and a counted call budget.
//! [`Watcher`] keeps a prefix mirrored through outages, and [`write_with_read_back`] decides a write
//! whose answer was lost by reading back.

mod backoff;
mod budget;
mod http_platform;
mod object;
mod platform;
mod watcher;
mod write_with_read_back;

pub use backoff::Backoff;
pub use budget::CallCounts;
pub use http_platform::HttpPlatform;
pub use http_platform::HttpPlatformOptions;
pub use object::ChangedObject;
pub use object::Entry;
pub use object::Listing;
pub use object::OBJECT_MAX_BYTES;
pub use object::Object;
pub use object::Version;
pub use object::WatchReply;
pub use platform::Platform;
pub use watcher::HeldPredicate;
pub use watcher::Update;
pub use watcher::WatchOptions;
pub use watcher::Watcher;
pub use write_with_read_back::write_with_read_back;
