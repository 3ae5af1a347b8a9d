//! Which servers a part may have reached from another VM.

use gs_types::prelude::*;
use smallvec::SmallVec;

/// The servers that may have run a part for another VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum PossibleServers {
    /// None did.
    #[default]
    None,
    /// No others than these did.
    Servers(SmallVec<[ServerName; 2]>),
    /// Any may have: the VM that asked for the part has not told.
    Unknown,
}

impl PossibleServers {
    /// Adds a server; `None` is one that is not known any more.
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

    /// The servers named.
    #[must_use]
    pub fn servers(&self) -> &[ServerName] {
        match self {
            Self::Servers(names) => names,
            Self::None | Self::Unknown => &[],
        }
    }
}
