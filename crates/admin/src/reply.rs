//! Answers as JSON, and errors with their status.

use bytes::Bytes;
use gs_conf::PatchOutcome;
use gs_types::prelude::*;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use serde::Serialize;

/// What is sent back.
pub(crate) type Reply = Response<Full<Bytes>>;

/// When an undecided patch is worth sending again, in seconds.
const RETRY_AFTER: u64 = 2;

/// An error as programs read it.
#[derive(Serialize)]
struct ErrorBody<'a> {
    kind: ErrorKind,
    error: String,
    step: Option<&'a str>,
    peer: Option<&'a str>,
    hint: Option<&'a str>,
}

impl<'a> ErrorBody<'a> {
    fn new(e: &'a Error) -> Self {
        Self {
            kind: e.kind(),
            error: e.to_string(),
            step: e.step(),
            peer: e.peer(),
            hint: e.hint(),
        }
    }
}

/// A JSON answer.
pub(crate) fn json<T: Serialize>(status: StatusCode, body: &T) -> Reply {
    match serde_json::to_vec(body) {
        Ok(body) => with_type(status, "application/json", body),
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// A plain text answer.
pub(crate) fn text(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    with_type(status, "text/plain; version=0.0.4; charset=utf-8", body)
}

fn with_type(status: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    let kind = header::HeaderValue::from_static(kind);
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    reply
}

/// An error answer.
pub(crate) fn error(e: &Error) -> Reply {
    json(status_of(e.kind()), &ErrorBody::new(e))
}

/// An error answer with another status than its kind's.
pub(crate) fn error_as(status: StatusCode, e: &Error) -> Reply {
    json(status, &ErrorBody::new(e))
}

/// The word on a patch, as a verdict with any status.
///
/// A refusal is final and never 5xx, so that no client sends it again in vain. An undecided patch is
/// 503 where sending it again with the same id helps.
pub(crate) fn verdict(v: &PatchOutcome) -> Reply {
    let status = match v {
        PatchOutcome::Accepted { .. } | PatchOutcome::Checked { .. } => StatusCode::OK,
        PatchOutcome::Refused { error, .. } => match status_of(error.kind()) {
            s if s.is_server_error() => StatusCode::CONFLICT,
            s => s,
        },
        PatchOutcome::Undecided { error } => status_of(error.kind()),
    };
    let mut reply = json(status, v);
    if status.is_server_error() {
        let after = RETRY_AFTER.into();
        reply.headers_mut().insert(header::RETRY_AFTER, after);
    }
    reply
}

fn status_of(kind: ErrorKind) -> StatusCode {
    match kind {
        ErrorKind::BadInput => StatusCode::BAD_REQUEST,
        ErrorKind::NotFound => StatusCode::NOT_FOUND,
        ErrorKind::Conflict => StatusCode::CONFLICT,
        ErrorKind::Forbidden => StatusCode::FORBIDDEN,
        ErrorKind::TooMuch => StatusCode::TOO_MANY_REQUESTS,
        ErrorKind::Unavailable | ErrorKind::Unknown => StatusCode::SERVICE_UNAVAILABLE,
        ErrorKind::Version | ErrorKind::Io => StatusCode::INTERNAL_SERVER_ERROR,
    }
}
