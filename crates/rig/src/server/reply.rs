//! Builds the replies of a server, with injected faults.

use std::time::Duration;

use gs_types::prelude::*;
use hyper::Response;
use hyper::StatusCode;
use xxhash_rust::xxh3::xxh3_64;

use super::state::Server;
use super::state::lock;
use crate::body::Body;
use crate::body::complete;
use crate::body::cut_short;
use crate::control::ReplyFault;

/// The retry delay in the reply of a server that sheds.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Returns a reply with a status and headers and without a body.
pub(super) fn empty(status: u16, headers: &[(&'static str, &str)]) -> Response<Body> {
    with_body(status, headers, Vec::new())
}

/// Returns a reply with a status, headers and a body.
pub(super) fn with_body(
    status: u16,
    headers: &[(&'static str, &str)],
    body: Vec<u8>,
) -> Response<Body> {
    let mut resp = Response::new(complete(body));
    *resp.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
    for (name, value) in headers {
        if let Ok(value) = value.parse() {
            resp.headers_mut().insert(*name, value);
        }
    }
    resp
}

/// Returns the refusal of an attempt because of load.
pub(super) fn shed(attempt: &str) -> Response<Body> {
    let wait = SHED_RETRY_AFTER.as_millis().to_string();
    let headers = [
        ("x-attempt", attempt),
        ("x-not-run", "1"),
        ("x-reason", "shed"),
        ("x-retry-after-ms", &wait),
    ];
    empty(503, &headers)
}

/// Returns the refusal of an attempt because the server drains.
pub(super) fn draining(attempt: &str) -> Response<Body> {
    let headers = [
        ("x-attempt", attempt),
        ("x-not-run", "1"),
        ("x-reason", "draining"),
        ("x-draining", "1"),
    ];
    empty(503, &headers)
}

/// Returns the refusal of an attempt because the server does not hold the snapshot or shard.
pub(super) fn no_snapshot(attempt: &str, holds: &[SnapshotId]) -> Response<Body> {
    let holds: Vec<String> = holds.iter().map(SnapshotId::to_string).collect();
    let holds = holds.join(",");
    let headers = [
        ("x-attempt", attempt),
        ("x-not-run", "1"),
        ("x-reason", "no-snapshot"),
        ("x-holds", &holds),
    ];
    empty(503, &headers)
}

/// Returns the reply with a part, with the injected fault if one is drawn.
pub(super) fn part(
    server: &Server,
    attempt: &str,
    snapshot: SnapshotId,
    part: &Part,
) -> Response<Body> {
    let (how, draining) = {
        let mut f = server.faults();
        (f.draw_reply_fault(), f.draining.is_some())
    };
    let mut body = serde_json::to_vec(part).unwrap_or_default();
    let mut attempt = attempt.to_owned();
    let digest = format!("{:016x}", xxh3_64(&body));
    let mut digest = digest.as_str();
    let crossed;
    match how {
        ReplyFault::Crossed => {
            (attempt, body) = swap_with_last(server, attempt, body);
            crossed = format!("{:016x}", xxh3_64(&body));
            digest = &crossed;
        }
        ReplyFault::Garbled => corrupt_digits(&mut body),
        ReplyFault::None | ReplyFault::Truncated => {}
    }
    let (load, snapshot) = (server.reported_load().to_string(), snapshot.to_string());
    let mut headers = vec![
        ("x-attempt", attempt.as_str()),
        ("x-snapshot", &snapshot),
        ("x-load", &load),
        ("x-digest", digest),
    ];
    if draining {
        headers.push(("x-draining", "1"));
    }
    let length = body.len();
    let mut resp = with_body(200, &headers, body);
    if how == ReplyFault::Truncated {
        cut_short(&mut resp, length, vec![b'['; length / 2].into());
    }
    resp
}

/// Returns the previous reply in place of this one, and stores this one for the next.
fn swap_with_last(server: &Server, attempt: String, body: Vec<u8>) -> (String, Vec<u8>) {
    let mut last = lock(&server.last_reply);
    match last.replace((attempt.clone(), body.clone())) {
        Some(before) if before.0 != attempt => before,
        _ => (format!("{attempt}9"), body),
    }
}

/// Changes digits only, so that the body still parses and only its digest shows the change.
fn corrupt_digits(body: &mut [u8]) {
    for b in body.iter_mut().filter(|b| (b'1'..=b'8').contains(*b)) {
        *b += 1;
    }
}
