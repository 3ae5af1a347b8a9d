//! Parses a caller's request: `POST /v1/fronts/{front}/lookups/{lookup}` with a JSON body.

use std::sync::Arc;
use std::time::Duration;

use gs_types::prelude::*;
use hyper::Method;
use hyper::http::request::Parts;
use serde::Deserialize;

/// The header with the idempotency key of an at-most-once lookup.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The longest query text or shard key, in bytes.
const TEXT_BYTES_MAX: usize = 4096;

/// The longest deadline that a caller may set.
const DEADLINE_MAX: Duration = Duration::from_secs(600);

/// The JSON body of a lookup.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    query: Arc<str>,
    #[serde(default)]
    key: Option<Arc<str>>,
    #[serde(default)]
    deadline: Option<String>,
    #[serde(default)]
    floor: Option<SnapshotId>,
}

/// Parses the front and the lookup from the path.
pub(crate) fn parse_target(head: &Parts) -> Result<(FrontName, LookupName)> {
    let path = head.uri.path();
    let mut it = path.trim_start_matches('/').split('/');
    let parts = (
        it.next(),
        it.next(),
        it.next(),
        it.next(),
        it.next(),
        it.next(),
    );
    let (Some("v1"), Some("fronts"), Some(front), Some("lookups"), Some(lookup), None) = parts
    else {
        return Err(
            Error::new(ErrorKind::NotFound, format!("no such path `{path:.80}`"))
                .with_hint("POST /v1/fronts/{front}/lookups/{lookup}"),
        );
    };
    if head.method != Method::POST {
        return Err(Error::new(
            ErrorKind::BadInput,
            format!("method {} is not allowed", head.method),
        )
        .with_hint("use POST"));
    }
    Ok((front.parse()?, lookup.parse()?))
}

/// Parses the headers and the body into a lookup.
pub(crate) fn parse_lookup(
    head: &Parts,
    target: (FrontName, LookupName),
    body: &[u8],
) -> Result<LookupRequest> {
    let b: Body = serde_json::from_slice(body).map_err(|e| {
        Error::new(ErrorKind::BadInput, e.to_string())
            .at("read body")
            .with_hint(r#"send {"query": "text", "key": "optional", "deadline": "80ms"}"#)
    })?;
    check_text("query", &b.query)?;
    if let Some(k) = &b.key {
        check_text("key", k)?;
    }
    Ok(LookupRequest {
        front: target.0,
        lookup: target.1,
        query: b.query,
        key: b.key,
        idempotency_key: parse_idempotency_key(head)?,
        deadline: b.deadline.as_deref().map(parse_deadline).transpose()?,
        floor: b.floor,
    })
}

fn parse_idempotency_key(head: &Parts) -> Result<Option<IdempotencyKey>> {
    let Some(v) = head.headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let v = v
        .to_str()
        .map_err(|_| Error::new(ErrorKind::BadInput, "idempotency-key is not plain text"))?;
    v.parse().map(Some)
}

fn parse_deadline(text: &str) -> Result<Duration> {
    let d = humantime_serde::re::humantime::parse_duration(text).map_err(|e| {
        Error::new(ErrorKind::BadInput, format!("deadline `{text:.40}`: {e}"))
            .with_hint("write it as `80ms`")
    })?;
    if d.is_zero() || d > DEADLINE_MAX {
        return Err(Error::new(
            ErrorKind::BadInput,
            format!("deadline `{text:.40}` is out of range"),
        )
        .with_hint("give more than 0 and at most 10m"));
    }
    Ok(d)
}

/// Checks that a text is not empty, not too long and has no control characters.
fn check_text(what: &str, s: &str) -> Result<()> {
    let ok = !s.is_empty() && s.len() <= TEXT_BYTES_MAX && !s.chars().any(char::is_control);
    if ok {
        return Ok(());
    }
    Err(Error::new(
        ErrorKind::BadInput,
        format!("`{what}` is empty, too long or not plain text"),
    )
    .with_hint(format!(
        "use 1 to {TEXT_BYTES_MAX} bytes without control characters"
    )))
}
