//! The operators' interface over loopback.

mod common;
mod hostile;
mod interface;
