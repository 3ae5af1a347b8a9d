//! The replies of a server, whole and spoilt.

use std::time::Duration;

use gs_types::prelude::*;
use hyper::Response;
use hyper::StatusCode;
use xxhash_rust::xxh3::xxh3_64;

use super::state::Server;
use super::state::lock;
use crate::body::Body;
use crate::body::cut_short;
use crate::body::whole;
use crate::control::ReplyFault;

/// When a server that sheds wants to be asked again.
const SHED_RETRY: Duration = Duration::from_millis(50);

/// A status and headers without a body.
pub(super) fn empty(status: u16, headers: &[(&'static str, &str)]) -> Response<Body> {
    with_body(status, headers, Vec::new())
}

/// A status, headers and a body.
pub(super) fn with_body(
    status: u16,
    headers: &[(&'static str, &str)],
    body: Vec<u8>,
) -> Response<Body> {
    let mut resp = Response::new(whole(body));
    *resp.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
    for (name, value) in headers {
        if let Ok(value) = value.parse() {
            resp.headers_mut().insert(*name, value);
        }
    }
    resp
}

/// Refused for load.
pub(super) fn shed(attempt: &str) -> Response<Body> {
    let wait = SHED_RETRY.as_millis().to_string();
    let headers = [
        ("x-attempt", attempt),
        ("x-not-run", "1"),
        ("x-reason", "shed"),
        ("x-retry-after-ms", &wait),
    ];
    empty(503, &headers)
}

/// Refused as draining.
pub(super) fn draining(attempt: &str) -> Response<Body> {
    let headers = [
        ("x-attempt", attempt),
        ("x-not-run", "1"),
        ("x-reason", "draining"),
        ("x-draining", "1"),
    ];
    empty(503, &headers)
}

/// Refused for a snapshot that is not held.
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

/// A part, spoilt if the server was told to.
pub(super) fn part(
    server: &Server,
    attempt: &str,
    snapshot: SnapshotId,
    part: &Part,
) -> Response<Body> {
    let (how, draining) = {
        let mut f = server.faults();
        (f.spoil(), f.draining.is_some())
    };
    let mut body = serde_json::to_vec(part).unwrap_or_default();
    let mut attempt = attempt.to_owned();
    let digest = format!("{:016x}", xxh3_64(&body));
    let mut digest = digest.as_str();
    let crossed;
    match how {
        ReplyFault::Crossed => {
            (attempt, body) = cross(server, attempt, body);
            crossed = format!("{:016x}", xxh3_64(&body));
            digest = &crossed;
        }
        ReplyFault::Garbled => garble(&mut body),
        ReplyFault::None | ReplyFault::Truncated => {}
    }
    let (load, snapshot) = (server.told_load().to_string(), snapshot.to_string());
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

/// Answers with the reply before this one, and keeps this one for the next.
fn cross(server: &Server, attempt: String, body: Vec<u8>) -> (String, Vec<u8>) {
    let mut last = lock(&server.last);
    match last.replace((attempt.clone(), body.clone())) {
        Some(before) if before.0 != attempt => before,
        _ => (format!("{attempt}9"), body),
    }
}

/// Changes digits only, so that the body still reads and nothing but its digest tells.
fn garble(body: &mut [u8]) {
    for b in body.iter_mut().filter(|b| (b'1'..=b'8').contains(*b)) {
        *b += 1;
    }
}
