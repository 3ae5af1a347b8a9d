//! Judges a reply: a part counts only if its id, snapshot, length and digest are right.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gs_query::Dispatch;
use gs_query::PartReply;
use gs_types::prelude::*;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use smallvec::SmallVec;

use crate::backend::exchange::CompleteReply;
use crate::backend::exchange::ExchangeError;
use crate::backend::exchange::exchange;
use crate::backend::lane::PooledConnection;

/// The time to come back that is assumed if a shedding server names none.
const SHED_DEFAULT: Duration = Duration::from_millis(50);

/// The most snapshots read from `x-holds`.
const HOLDS_MAX: usize = 16;

/// Exchanges and judges; the flag says whether the connection may be used again.
pub(crate) async fn reply(
    lent: &mut PooledConnection,
    req: Request<Full<Bytes>>,
    d: &Dispatch,
    max: usize,
) -> (PartReply, bool) {
    match exchange(lent, req, max).await {
        Ok(whole) => judge(&whole, d),
        Err(ExchangeError::TooLarge) => (PartReply::Garbled, false),
        // This attempt has passed the point of no return, so it counts as one that may have run.
        Err(ExchangeError::NotSent | ExchangeError::Broken(_)) => (PartReply::Broken, false),
    }
}

/// Guards against a crossed reply: an intermediary or a server that mixes up connections would hand
/// one caller another's lines. The id is echoed only by the server that ran this very attempt.
fn judge(r: &CompleteReply, d: &Dispatch) -> (PartReply, bool) {
    if text(&r.headers, "x-attempt") != Some(d.attempt.to_string().as_str()) {
        return (PartReply::Garbled, false);
    }
    if r.status == StatusCode::OK {
        return match part(r) {
            Some(reply) => (reply, true),
            None => (PartReply::Garbled, false),
        };
    }
    (refusal(&r.headers), true)
}

fn part(r: &CompleteReply) -> Option<PartReply> {
    let digest = u64::from_str_radix(text(&r.headers, "x-digest")?, 16).ok()?;
    if digest != xxhash_rust::xxh3::xxh3_64(&r.body) {
        return None;
    }
    Some(PartReply::Whole {
        snapshot: number(&r.headers, "x-snapshot")?,
        part: Arc::new(serde_json::from_slice(&r.body).ok()?),
        load: number(&r.headers, "x-load").unwrap_or(0),
        draining: text(&r.headers, "x-draining") == Some("1"),
    })
}

fn refusal(h: &HeaderMap) -> PartReply {
    if text(h, "x-not-run") != Some("1") {
        return PartReply::Failed;
    }
    match text(h, "x-reason") {
        Some("shed") => PartReply::Shed {
            retry_after: number(h, "x-retry-after-ms").map_or(SHED_DEFAULT, Duration::from_millis),
        },
        Some("draining") => PartReply::Draining,
        Some("no-snapshot") => PartReply::NoSnapshot { holds: holds(h) },
        _ => PartReply::NotSent,
    }
}

fn holds(h: &HeaderMap) -> SmallVec<[SnapshotId; 4]> {
    let list = text(h, "x-holds").unwrap_or("");
    list.split(',')
        .filter_map(|s| s.trim().parse().ok())
        .take(HOLDS_MAX)
        .collect()
}

fn text<'a>(h: &'a HeaderMap, name: &str) -> Option<&'a str> {
    h.get(name)?.to_str().ok()
}

fn number<T: FromStr>(h: &HeaderMap, name: &str) -> Option<T> {
    text(h, name)?.parse().ok()
}
