//! A secret that no log line, dump or report can show.

use std::fmt;
use std::sync::Arc;

use serde::Serialize;
use serde::Serializer;

/// What stands in place of a secret wherever one would be shown.
const HIDDEN: &str = "(hidden)";

/// The content of a secret file; `Debug`, `Display` and `Serialize` hide it.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Arc<[u8]>);

impl Secret {
    /// Wraps a secret.
    #[must_use]
    pub fn new(content: &[u8]) -> Self {
        Self(content.into())
    }

    /// The secret itself, for handing to the peer check and nothing else.
    #[must_use]
    pub fn expose(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(HIDDEN)
    }
}

impl fmt::Display for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(HIDDEN)
    }
}

impl Serialize for Secret {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(HIDDEN)
    }
}
