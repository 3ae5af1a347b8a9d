//! Client of the platform's object service.
//!
//! [`Platform`] is the interface that the rest of the process uses; [`HttpPlatform`] implements it over HTTP as
//! described in `docs/PROTOCOLS.md`, with timeouts, jittered backoff and a call budget. [`Watcher`] mirrors the objects
//! under a prefix through outages, and [`write_with_read_back`] resolves a write whose answer was lost by reading the
//! object back.

mod backoff;
mod budget;
mod http_platform;
mod json_array;
mod object;
mod platform;
mod read_back;
mod watcher;

pub use backoff::Backoff;
pub use budget::CallCounts;
pub use http_platform::HttpPlatform;
pub use http_platform::HttpPlatformOptions;
pub use json_array::split_array;
pub use object::ChangedObject;
pub use object::Entry;
pub use object::Listing;
pub use object::OBJECT_MAX_BYTES;
pub use object::Object;
pub use object::Version;
pub use object::WatchReply;
pub use platform::Platform;
pub use read_back::write_with_read_back;
pub use watcher::HeldPredicate;
pub use watcher::Update;
pub use watcher::WatchOptions;
pub use watcher::Watcher;
