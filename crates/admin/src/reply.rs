//! Builds replies: JSON, plain text, errors and outcomes of patches, with their statuses.

use bytes::Bytes;
use gs_conf::PatchOutcome;
use gs_types::prelude::*;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use serde::Serialize;

/// Reply to a request.
pub(crate) type Reply = Response<Full<Bytes>>;

/// Time after which to send an undecided patch again.
const RETRY_AFTER_SECONDS: u64 = 2;

/// Serialised form of an error.
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

/// Returns a reply with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, body: &T) -> Reply {
    match serde_json::to_vec(body) {
        Ok(body) => with_content_type(status, "application/json", body),
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// Returns a reply with a plain text body.
pub(crate) fn text(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    with_content_type(status, "text/plain; version=0.0.4; charset=utf-8", body)
}

fn with_content_type(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    let content_type = header::HeaderValue::from_static(content_type);
    reply
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    reply
}

/// Returns an error reply with the status of its kind.
pub(crate) fn error(e: &Error) -> Reply {
    json(status_of(e.kind()), &ErrorBody::new(e))
}

/// Returns an error reply with the given status instead of that of its kind.
pub(crate) fn error_with_status(status: StatusCode, e: &Error) -> Reply {
    json(status, &ErrorBody::new(e))
}

/// Returns the reply that carries the outcome of a patch.
///
/// A refusal is final and never has a 5xx status, so that no client retries it without success. An undecided patch has
/// status 503 if sending it again with the same id helps.
pub(crate) fn patch_outcome(outcome: &PatchOutcome) -> Reply {
    let status = match outcome {
        PatchOutcome::Accepted { .. } | PatchOutcome::Checked { .. } => StatusCode::OK,
        PatchOutcome::Refused { error, .. } => match status_of(error.kind()) {
            s if s.is_server_error() => StatusCode::CONFLICT,
            s => s,
        },
        PatchOutcome::Undecided { error } => status_of(error.kind()),
    };
    let mut reply = json(status, outcome);
    if status.is_server_error() {
        let retry_after = RETRY_AFTER_SECONDS.into();
        reply.headers_mut().insert(header::RETRY_AFTER, retry_after);
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
