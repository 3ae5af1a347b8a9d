//! Validates and parses the reply to an attempt.
//!
//! A part is accepted only if the reply echoes the attempt's id, names a snapshot and has the right digest; hyper
//! checks the length.

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
use crate::backend::pooled_connection::PooledConnection;

/// When to retry at a server that sheds load without naming a time.
const DEFAULT_SHED_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The largest number of snapshots read from `x-holds`.
const HELD_SNAPSHOTS_MAX: usize = 16;

/// Sends a request; returns the parsed reply, and whether the connection can be reused.
pub(crate) async fn exchange_part(
    conn: &mut PooledConnection,
    req: Request<Full<Bytes>>,
    d: &Dispatch,
    body_bytes_max: usize,
) -> (PartReply, bool) {
    match exchange(conn, req, body_bytes_max).await {
        Ok(reply) => parse_reply(&reply, d),
        Err(ExchangeError::TooLarge | ExchangeError::NotFinal(_)) => (PartReply::Garbled, false),
        // `Event::Sent` was reported for this attempt already, so it counts as one that may have been executed. This
        // includes a connection that the server closed while it was idle.
        Err(ExchangeError::NotSent | ExchangeError::Broken(_)) => (PartReply::Broken, false),
    }
}

/// Parses a reply; also returns whether the connection can be reused.
///
/// Rejects the reply to another request: an intermediary or a server that mixes up connections would otherwise return
/// the results of one caller to another. Only the server that executed this attempt echoes its id.
fn parse_reply(r: &CompleteReply, d: &Dispatch) -> (PartReply, bool) {
    if header_text(&r.headers, "x-attempt") != Some(d.attempt.to_string().as_str()) {
        return (PartReply::Garbled, false);
    }
    if r.status == StatusCode::OK {
        return match parse_part(r) {
            Some(reply) => (reply, true),
            None => (PartReply::Garbled, false),
        };
    }
    (parse_refusal(&r.headers), true)
}

/// Parses a successful reply; `None` if its digest, snapshot or body is malformed.
fn parse_part(r: &CompleteReply) -> Option<PartReply> {
    let digest = u64::from_str_radix(header_text(&r.headers, "x-digest")?, 16).ok()?;
    if digest != xxhash_rust::xxh3::xxh3_64(&r.body) {
        return None;
    }
    Some(PartReply::Whole {
        snapshot: header_number(&r.headers, "x-snapshot")?,
        part: Arc::new(serde_json::from_slice(&r.body).ok()?),
        load: header_number(&r.headers, "x-load").unwrap_or(0),
        draining: header_text(&r.headers, "x-draining") == Some("1"),
    })
}

/// Parses a reply whose status is not 200.
///
/// Returns `Failed` without `x-not-run: 1`, and `NotSent` with it if `x-reason` is missing or not known.
fn parse_refusal(h: &HeaderMap) -> PartReply {
    if header_text(h, "x-not-run") != Some("1") {
        return PartReply::Failed;
    }
    match header_text(h, "x-reason") {
        Some("shed") => PartReply::Shed {
            retry_after: header_number(h, "x-retry-after-ms")
                .map_or(DEFAULT_SHED_RETRY_AFTER, Duration::from_millis),
        },
        Some("draining") => PartReply::Draining,
        Some("no-snapshot") => PartReply::NoSnapshot {
            holds: parse_held_snapshots(h),
        },
        _ => PartReply::NotSent,
    }
}

/// Parses the snapshots that the server holds.
fn parse_held_snapshots(h: &HeaderMap) -> SmallVec<[SnapshotId; 4]> {
    let list = header_text(h, "x-holds").unwrap_or("");
    list.split(',')
        .filter_map(|s| s.trim().parse().ok())
        .take(HELD_SNAPSHOTS_MAX)
        .collect()
}

fn header_text<'a>(h: &'a HeaderMap, name: &str) -> Option<&'a str> {
    h.get(name)?.to_str().ok()
}

fn header_number<T: FromStr>(h: &HeaderMap, name: &str) -> Option<T> {
    header_text(h, name)?.parse().ok()
}
