//! Stand-in backend servers: they index, rank and queue, fail on command, and count what ran.

mod answer;
mod counts;
mod faults;
mod listen;
mod reply;
mod servers;
mod spec;
mod state;

pub use counts::Counts;
pub use counts::ServerCounts;
pub use counts::Summary;
pub use servers::Servers;
pub use spec::ServerSpec;
