//! The secret shared by all VMs, which authenticates frames.

use std::fmt;
use std::sync::Arc;

use gs_types::prelude::*;
use sha2::Digest;
use sha2::Sha256;

/// The shortest secret accepted, in bytes.
const SECRET_BYTES_MIN: usize = 16;

/// The block size of SHA-256, in bytes.
const BLOCK_BYTES: usize = 64;

/// The secret shared by all VMs; not shown by `Debug`.
#[derive(Clone)]
pub struct Secret(Arc<[u8]>);

impl Secret {
    /// Creates a secret from its bytes, such as the content of a key file without the line end.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if it is shorter than 16 bytes.
    pub fn new(bytes: &[u8]) -> Result<Self> {
        if bytes.len() < SECRET_BYTES_MIN {
            return Err(
                Error::new(ErrorKind::BadInput, "the mesh secret is too short")
                    .with_hint(format!("use {SECRET_BYTES_MIN} bytes or more")),
            );
        }
        Ok(Self(bytes.into()))
    }

    /// Returns the HMAC key: the SHA-256 digest of the secret, padded with zeros to a block as in RFC 2104.
    pub(crate) fn key(&self) -> [u8; BLOCK_BYTES] {
        let mut key = [0; BLOCK_BYTES];
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
