//! Counting calls, as the platform does.

use serde::Deserialize;
use serde::Serialize;

/// Calls made to the platform by this process, by kind. A waiting watch is one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Objects read.
    pub reads: u64,
    /// Objects written.
    pub writes: u64,
    /// Objects deleted.
    pub deletes: u64,
    /// Prefixes listed.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Reads of the VM list.
    pub vms: u64,
    /// Calls of any kind that were not made as the budget was used up.
    pub over_budget: u64,
    /// Calls of any kind that the platform refused for its rate.
    pub limited: u64,
    /// Calls of any kind that failed otherwise.
    pub failed: u64,
}

impl Calls {
    /// All calls that reached out.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.reads + self.writes + self.deletes + self.lists + self.watches + self.vms
    }
}
