//! What this VM knows of backend servers, and which replica an attempt goes to.

mod dump;

pub use dump::ServerDump;
