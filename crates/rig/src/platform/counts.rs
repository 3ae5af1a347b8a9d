//! Counts calls by kind, as the platform does for billing.

use std::collections::BTreeMap;
use std::net::IpAddr;

use serde::Deserialize;
use serde::Serialize;

/// The number of calls so far, by kind; a waiting watch is one call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Objects read.
    pub reads: u64,
    /// Objects written, conflicts included.
    pub writes: u64,
    /// Objects deleted.
    pub deletes: u64,
    /// Prefixes listed.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Watches that are waiting now.
    pub waiting: u64,
    /// Reads of the VM list.
    pub vms: u64,
    /// Writes answered 409.
    pub conflicts: u64,
    /// Calls answered 429.
    pub limited: u64,
    /// Calls answered 503 or held without an answer.
    pub refused: u64,
    /// Writes whose answer was lost.
    pub lost: u64,
    /// Writes by the first part of the path, such as `claims`.
    pub writes_by_prefix: BTreeMap<String, u64>,
    /// Calls by source address.
    pub by_source: BTreeMap<IpAddr, u64>,
}

/// The kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    Read,
    Write,
    Delete,
    List,
    Watch,
    Vms,
}

impl CallKind {
    /// Whether the call counts against the limit of writes.
    pub(super) fn is_write(self) -> bool {
        matches!(self, Self::Write | Self::Delete)
    }
}

impl Counts {
    /// Counts a call from a source address.
    pub(super) fn add(&mut self, kind: CallKind, path: &str, source: IpAddr) {
        *self.by_source.entry(source).or_default() += 1;
        let count = match kind {
            CallKind::Read => &mut self.reads,
            CallKind::Write => &mut self.writes,
            CallKind::Delete => &mut self.deletes,
            CallKind::List => &mut self.lists,
            CallKind::Watch => &mut self.watches,
            CallKind::Vms => &mut self.vms,
        };
        *count += 1;
        if kind == CallKind::Write {
            let prefix = path.split('/').next().unwrap_or_default().to_owned();
            *self.writes_by_prefix.entry(prefix).or_default() += 1;
        }
    }
}
