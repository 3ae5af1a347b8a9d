//! The callers' interface: one lookup a request, JSON both ways.

mod handler;
mod reply;
mod request;

pub use handler::CallerHandler;
pub use handler::LookupService;
pub use reply::LookupReply;
pub use reply::status_of;
