//! Builds the responses for outcomes and errors.

use std::time::Duration;

use bytes::Bytes;
use gs_types::prelude::*;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use serde::Serialize;

/// When to retry a request whose body did not fit into the memory for bodies, in seconds.
const BODY_RETRY_AFTER_S: u64 = 1;

/// The outcome of a lookup, with the request's id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupReply {
    /// The id that this VM assigned to the request.
    pub request: RequestId,
    /// The outcome of the lookup.
    pub outcome: Outcome,
}

/// The JSON body of a reply.
#[derive(Serialize)]
struct Body<'a> {
    request_id: String,
    front: &'a FrontName,
    lookup: &'a LookupName,
    #[serde(flatten)]
    outcome: &'a Outcome,
}

/// The JSON body of an error; no lookup was executed for this request.
#[derive(Serialize)]
struct ErrorBody<'a> {
    outcome: &'static str,
    kind: ErrorKind,
    error: String,
    hint: Option<&'a str>,
}

/// Builds the response to a lookup.
pub(crate) fn lookup_response(
    r: &LookupReply,
    front: &FrontName,
    lookup: &LookupName,
) -> Response<Full<Bytes>> {
    let body = Body {
        request_id: r.request.to_string(),
        front,
        lookup,
        outcome: &r.outcome,
    };
    let mut res = json_response(status_of(&r.outcome), &body);
    let retry_after = match &r.outcome {
        Outcome::Answered(_) => None,
        Outcome::NotRun(r) | Outcome::Unknown(r) => r.retry_after,
    };
    if let Some(d) = retry_after {
        res.headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(round_up_to_seconds(d)));
    }
    res
}

/// Builds the response to a request that could not be parsed into a lookup.
///
/// With an idempotency key the outcome is `unknown` and not `not-run`: an earlier submission with the key may have run.
pub(crate) fn error_response(e: &Error, has_key: bool) -> Response<Full<Bytes>> {
    let status = match e.kind() {
        ErrorKind::NotFound => StatusCode::NOT_FOUND,
        ErrorKind::TooMuch => StatusCode::PAYLOAD_TOO_LARGE,
        ErrorKind::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::BAD_REQUEST,
    };
    let mut res = json_response(
        status,
        &ErrorBody {
            outcome: if has_key { "unknown" } else { "not-run" },
            kind: e.kind(),
            error: e.to_string(),
            hint: e.hint(),
        },
    );
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let headers = res.headers_mut();
        headers.insert(RETRY_AFTER, HeaderValue::from(BODY_RETRY_AFTER_S));
        // The rest of the body was not read.
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    res
}

/// Returns the status code of an outcome, as listed in docs/INTERFACE.md.
#[must_use]
pub fn status_of(outcome: &Outcome) -> StatusCode {
    let reason = match outcome {
        Outcome::Answered(_) => return StatusCode::OK,
        Outcome::NotRun(r) | Outcome::Unknown(r) => r.reason,
    };
    match reason {
        RefusalReason::NoSuchLookup => StatusCode::NOT_FOUND,
        RefusalReason::BadRequest => StatusCode::BAD_REQUEST,
        RefusalReason::AlreadyClaimed => StatusCode::CONFLICT,
        RefusalReason::KeyExpired => StatusCode::GONE,
        RefusalReason::Quarantined => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::Failed => StatusCode::BAD_GATEWAY,
        RefusalReason::TooLate => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::Overload
        | RefusalReason::NoSnapshot
        | RefusalReason::Incomplete
        | RefusalReason::ClaimsAway
        | RefusalReason::Leaving
        | RefusalReason::NotReady
        | RefusalReason::ConfigInDoubt => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Rounds up to seconds: the `retry-after` header has no fractions, and must not name too early a time.
fn round_up_to_seconds(d: Duration) -> u64 {
    d.as_secs() + u64::from(d.subsec_nanos() > 0)
}

/// Builds a JSON response.
fn json_response(status: StatusCode, body: &impl Serialize) -> Response<Full<Bytes>> {
    let (status, text) = match serde_json::to_vec(body) {
        Ok(text) => (status, text),
        Err(e) => (
            StatusCode::INTERNAL_SERVER_ERROR,
            e.to_string().into_bytes(),
        ),
    };
    let mut res = Response::new(Full::new(Bytes::from(text)));
    *res.status_mut() = status;
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res
}
