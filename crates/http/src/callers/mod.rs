//! The callers' interface: one lookup a request, JSON both ways.

mod handler;
mod reply;
mod request;

pub use handler::Callers;
pub use handler::Desk;
pub use reply::LookupReply;
pub use reply::status_of;
