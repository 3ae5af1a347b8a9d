//! The HTTP interface for callers: one lookup per request, with JSON bodies.

mod handler;
mod request;
mod response;

pub use handler::CallerHandler;
pub use handler::LookupService;
pub use response::LookupReply;
pub use response::status_of;
