//! Conditional writes that are resolved by reading the object back when their answer is lost.

use std::time::Duration;

use bytes::Bytes;
use gs_types::prelude::*;

use crate::backoff::Backoff;
use crate::object::Version;
use crate::platform::Platform;

/// Upper bound of the first delay between tries.
const BACKOFF_BASE: Duration = Duration::from_millis(20);
/// Maximum delay between tries.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Writes an object, and reads it back if the answer to the write is lost.
///
/// A write whose answer is lost may have taken effect; it fails with [`ErrorKind::Unknown`]. Reading the object back
/// resolves it, without guessing:
///
/// - `is_ours` finds the write in the content: it took effect.
/// - The object has another version and `is_ours` does not find the write: it never will take effect, as its condition
///   no longer holds.
/// - The object still has the version of the condition: the write may still take effect, and is sent again under the
///   same condition.
///
/// `is_ours` must look for something that distinguishes this write from every other, such as a nonce. Every later
/// writer of the object must keep it in the content; otherwise a later write would hide that this one took effect.
///
/// # Errors
///
/// [`ErrorKind::Conflict`] if it did not and will not take effect. [`ErrorKind::Unknown`] if the result could not be
/// determined within `tries_max` tries; call again with the same arguments to resolve it. [`ErrorKind::Unavailable`] or
/// [`ErrorKind::TooMuch`] if no try took effect or still can.
pub async fn write_with_read_back(
    platform: &dyn Platform,
    path: &str,
    if_version: Version,
    content: Bytes,
    tries_max: u32,
    is_ours: &(dyn Fn(&[u8]) -> bool + Send + Sync),
) -> Result<Version> {
    let seed = Fingerprint::of(&[path, &String::from_utf8_lossy(&content)]);
    let mut backoff = Backoff::new(BACKOFF_BASE, BACKOFF_MAX, seed.0);
    let mut unknown_error: Option<Error> = None;
    let mut tries_left = tries_max.max(1);
    loop {
        tries_left -= 1;
        let e = match platform.write(path, if_version, content.clone()).await {
            Ok(v) => return Ok(v),
            Err(e) => e,
        };
        let found = match e.kind() {
            ErrorKind::Conflict | ErrorKind::Unknown => {
                Some(read_back(platform, path, if_version, is_ours).await)
            }
            ErrorKind::Unavailable | ErrorKind::TooMuch => None,
            _ => return Err(e),
        };
        match found {
            Some(Ok(Found::Ours(v))) => return Ok(v),
            Some(Ok(Found::Other)) => {
                return Err(Error::new(ErrorKind::Conflict, e.to_string()).at("write"));
            }
            // The write has not taken effect yet, or the object cannot be read now: it still may.
            Some(Ok(Found::Unchanged) | Err(_)) => unknown_error = Some(unknown_result(&e)),
            None => {}
        }
        if tries_left == 0 {
            return Err(unknown_error.unwrap_or(e));
        }
        tokio::time::sleep(backoff.next_delay()).await;
    }
}

/// State of the object found by reading it back.
enum Found {
    /// It contains our write and has this version.
    Ours(Version),
    /// Another write changed or removed it, so that our condition no longer holds.
    Other,
    /// Our condition still holds.
    Unchanged,
}

async fn read_back(
    platform: &dyn Platform,
    path: &str,
    if_version: Version,
    is_ours: &(dyn Fn(&[u8]) -> bool + Send + Sync),
) -> Result<Found> {
    Ok(match platform.read(path).await? {
        Some(o) if is_ours(&o.content) => Found::Ours(o.version),
        Some(o) if o.version == if_version => Found::Unchanged,
        Some(_) => Found::Other,
        None if if_version == Version::ABSENT => Found::Unchanged,
        None => Found::Other,
    })
}

/// Returns the error of a write whose result is not known.
fn unknown_result(e: &Error) -> Error {
    let mut unknown = Error::new(ErrorKind::Unknown, e.to_string()).at("write");
    if let Some(peer) = e.peer() {
        unknown = unknown.from_peer(peer);
    }
    unknown.with_hint("write again under the same condition to learn the result")
}
