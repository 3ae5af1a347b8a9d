//! The secret that all VMs share.

use std::fmt;
use std::sync::Arc;

use gs_types::prelude::*;
use sha2::Digest;
use sha2::Sha256;

/// Shortest secret accepted, in bytes.
const SECRET_MIN: usize = 16;

/// The block size of SHA-256, in bytes.
const BLOCK: usize = 64;

/// The secret that all VMs share; never shown, not even by `Debug`.
#[derive(Clone)]
pub struct Secret(Arc<[u8]>);

impl Secret {
    /// Takes the secret's bytes, such as the content of a key file without its line end.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if it is shorter than 16 bytes.
    pub fn new(bytes: &[u8]) -> Result<Self> {
        if bytes.len() < SECRET_MIN {
            return Err(
                Error::new(ErrorKind::BadInput, "the mesh secret is too short")
                    .with_hint(format!("use {SECRET_MIN} bytes or more")),
            );
        }
        Ok(Self(bytes.into()))
    }

    /// The key made of the secret, filled up to a block as RFC 2104 says.
    pub(crate) fn key(&self) -> [u8; BLOCK] {
        let mut key = [0; BLOCK];
        let digest = Sha256::digest(&self.0);
        key[..digest.len()].copy_from_slice(&digest);
        key
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
