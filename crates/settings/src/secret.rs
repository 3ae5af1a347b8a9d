//! A secret that log lines, dumps and reports cannot show.

use std::fmt;
use std::sync::Arc;

use serde::Serialize;
use serde::Serializer;

/// The text shown in place of a secret.
const PLACEHOLDER: &str = "(hidden)";

/// The content of a secret file; `Debug`, `Display` and `Serialize` hide it.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Arc<[u8]>);

impl Secret {
    /// Creates a secret from its content.
    #[must_use]
    pub fn new(content: &[u8]) -> Self {
        Self(content.into())
    }

    /// Returns the content of the secret, for the authentication of peers only.
    #[must_use]
    pub fn expose(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(PLACEHOLDER)
    }
}

impl fmt::Display for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(PLACEHOLDER)
    }
}

impl Serialize for Secret {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(PLACEHOLDER)
    }
}
