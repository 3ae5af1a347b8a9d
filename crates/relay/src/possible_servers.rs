//! The servers that may have executed a part on behalf of another VM.

use gs_types::prelude::*;
use smallvec::SmallVec;

/// The servers that may have executed a part for a peer VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum PossibleServers {
    /// None has.
    #[default]
    None,
    /// No others than these have.
    Servers(SmallVec<[ServerName; 2]>),
    /// Any may have, as the peer that requested the part has not reported them.
    Unknown,
}

impl PossibleServers {
    /// Adds a server; `None` stands for one that is no longer known.
    pub(crate) fn add(&mut self, server: Option<ServerName>) {
        match (&mut *self, server) {
            (Self::Unknown, _) => {}
            (_, None) => *self = Self::Unknown,
            (Self::None, Some(name)) => *self = Self::Servers([name].into_iter().collect()),
            (Self::Servers(names), Some(name)) => {
                if !names.contains(&name) {
                    names.push(name);
                }
            }
        }
    }

    /// Returns the named servers; empty if none has executed the part or they are unknown.
    #[must_use]
    pub fn servers(&self) -> &[ServerName] {
        match self {
            Self::Servers(names) => names,
            Self::None | Self::Unknown => &[],
        }
    }
}
