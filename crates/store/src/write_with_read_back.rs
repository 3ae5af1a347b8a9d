//! Writes whose outcome is decided by what they wrote.

use std::time::Duration;

use bytes::Bytes;
use gs_types::prelude::*;

use crate::backoff::Backoff;
use crate::object::Version;
use crate::platform::Platform;

/// The first wait between tries.
const BACKOFF: Duration = Duration::from_millis(20);
/// The longest wait between tries.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Writes an object, and decides a lost answer by reading back.
///
/// A write may take effect while its answer is lost, and then shows as [`ErrorKind::Unknown`].
/// Reading back tells which it was: `is_ours` finds the write, so it took effect; or the object has
/// another version without it, so it never will, as its condition no longer holds; or the version
/// is still the one of the condition, so it may yet land, and is sent again under the same
/// condition. It is never guessed.
///
/// `is_ours` must find what tells this write from every other, such as a nonce, and whoever writes
/// the object later must carry that on: otherwise a later write would hide that this one was made.
///
/// # Errors
///
/// [`ErrorKind::Conflict`] if it did not and will not take effect. [`ErrorKind::Unknown`] if the
/// platform could not be asked within `tries`; call again with the same arguments to decide it.
/// [`ErrorKind::Unavailable`] or [`ErrorKind::TooMuch`] if no try took effect or can.
pub async fn write_with_read_back(
    platform: &dyn Platform,
    path: &str,
    if_version: Version,
    content: Bytes,
    tries: u32,
    is_ours: &(dyn Fn(&[u8]) -> bool + Send + Sync),
) -> Result<Version> {
    let seed = Fingerprint::of(&[path, &String::from_utf8_lossy(&content)]);
    let mut backoff = Backoff::new(BACKOFF, BACKOFF_MAX, seed.0);
    let mut doubt: Option<Error> = None;
    let mut tries = tries.max(1);
    loop {
        tries -= 1;
        let e = match platform.write(path, if_version, content.clone()).await {
            Ok(v) => return Ok(v),
            Err(e) => e,
        };
        let asked = match e.kind() {
            ErrorKind::Conflict | ErrorKind::Unknown => {
                Some(read_back(platform, path, if_version, is_ours).await)
            }
            ErrorKind::Unavailable | ErrorKind::TooMuch => None,
            _ => return Err(e),
        };
        match asked {
            Some(Ok(Found::Ours(v))) => return Ok(v),
            Some(Ok(Found::Other)) => {
                return Err(Error::new(ErrorKind::Conflict, e.to_string()).at("write"));
            }
            // Not landed yet, or not to be asked now: it may still.
            Some(Ok(Found::Unchanged) | Err(_)) => doubt = Some(unknown(&e)),
            None => {}
        }
        if tries == 0 {
            return Err(doubt.unwrap_or(e));
        }
        tokio::time::sleep(backoff.next_delay()).await;
    }
}

/// What reading back found.
enum Found {
    Ours(Version),
    Other,
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

fn unknown(e: &Error) -> Error {
    let mut unknown = Error::new(ErrorKind::Unknown, e.to_string()).at("write");
    if let Some(peer) = e.peer() {
        unknown = unknown.from_peer(peer);
    }
    unknown.with_hint("write again under the same condition to decide it")
}
