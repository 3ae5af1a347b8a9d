//! Tests of the operators' interface over loopback connections.

mod common;
mod hostile;
mod interface;
