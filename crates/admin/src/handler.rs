//! Authenticates, executes and answers operators' calls.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use gs_conf::DecidedPatch;
use gs_conf::Patch;
use gs_conf::PatchOutcome;
use gs_types::prelude::*;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;
use serde::Serialize;

use crate::auth;
use crate::call::Call;
use crate::call::CallError;
use crate::call::parse_call;
use crate::operator_api::HistoryEntry;
use crate::operator_api::OperatorApi;
use crate::reply;
use crate::reply::Reply;
use crate::view;

/// Limits on the body of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// Maximum size, in bytes.
    pub(crate) max_bytes: usize,
    /// Time within which the body must arrive.
    pub(crate) timeout: Duration,
}

/// Response to `GET /admin/v1/history`: the versions kept and the patches decided.
#[derive(Serialize)]
struct History {
    versions: Vec<HistoryEntry>,
    settled: Vec<DecidedPatch>,
}

/// Response to `GET /admin/v1/patches/{id}`: the state of a patch.
#[derive(Serialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
enum PatchView {
    Pending { id: PatchId },
    Settled(DecidedPatch),
}

/// Handles a request and returns the reply.
pub(crate) async fn handle(
    api: &dyn OperatorApi,
    body_limits: BodyLimits,
    peer: SocketAddr,
    req: Request<Incoming>,
) -> Reply {
    let uri = req.uri();
    let call = match parse_call(req.method(), uri.path(), uri.query()) {
        Ok(call) => call,
        Err(e) => return call_error_reply(&e),
    };
    if let Some(reply) = unauthenticated_reply(api, &call) {
        return reply;
    }
    let cfg = api.config();
    let team = match auth::authenticated_team(cfg.as_deref(), req.headers()) {
        Ok(team) => team,
        Err(e) => return auth_error_reply(&e, peer, req.headers()),
    };
    let result = match call {
        Call::Propose { dry_run } => propose(api, body_limits, peer, &team, dry_run, req).await,
        call => read(api, &team, call).await,
    };
    result.unwrap_or_else(|e| reply::error(&e))
}

/// Returns the reply to a request that makes no call.
fn call_error_reply(e: &CallError) -> Reply {
    match e {
        CallError::UnknownPath(e) | CallError::BadInput(e) => reply::error(e),
        CallError::WrongMethod(allowed) => {
            let e = Error::new(ErrorKind::BadInput, "the path does not accept this method")
                .at("read request")
                .with_hint(format!("use {allowed}"));
            let mut reply = reply::error_with_status(StatusCode::METHOD_NOT_ALLOWED, &e);
            let allow = header::HeaderValue::from_static(allowed);
            reply.headers_mut().insert(header::ALLOW, allow);
            reply
        }
    }
}

/// Returns the reply to a call that needs no key; `None` for the other calls.
///
/// These are the calls of the balancer and the scraper, and the status of a VM that has no configuration yet and so
/// cannot check keys. None of them shows a secret.
fn unauthenticated_reply(api: &dyn OperatorApi, call: &Call) -> Option<Reply> {
    Some(match call {
        Call::Health => reply::text(StatusCode::OK, "ok\n"),
        Call::Ready if api.is_ready() => reply::text(StatusCode::OK, "ready\n"),
        Call::Ready => reply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        Call::Metrics => reply::text(StatusCode::OK, api.metrics()),
        Call::Status if api.config().is_none() => reply::json(StatusCode::OK, &api.status()),
        _ => return None,
    })
}

/// Returns the reply to a request that cannot be authenticated, and logs a wrong key.
fn auth_error_reply(e: &Error, peer: SocketAddr, headers: &HeaderMap) -> Reply {
    if e.kind() != ErrorKind::Forbidden {
        return reply::error(e);
    }
    let team = auth::claimed_team(headers).map_or_else(|| "?".to_owned(), |t| t.to_string());
    log::warn!("event=admin-denied peer={peer} team={team}");
    let mut reply = reply::error_with_status(StatusCode::UNAUTHORIZED, e);
    let scheme = header::HeaderValue::from_static("Bearer");
    reply.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
    reply
}

/// Handles the calls that change nothing.
async fn read(api: &dyn OperatorApi, team: &Team, call: Call) -> Result<Reply> {
    let cfg = api
        .config()
        .ok_or_else(|| Error::new(ErrorKind::Unavailable, "this VM holds no configuration yet"))?;
    let ok = StatusCode::OK;
    Ok(match call {
        Call::Status => reply::json(ok, &api.status()),
        Call::Dump | Call::FleetDump if !team.admin => {
            let text = format!("team `{}` may not see the complete state", team.name);
            let e = Error::new(ErrorKind::Forbidden, text).at("dump");
            return Err(e.with_hint("ask an admin team; every team may read `status`"));
        }
        Call::Dump => reply::json(ok, &api.dump()),
        Call::FleetDump => reply::json(ok, &api.fleet_dump().await),
        Call::Config => reply::json(ok, &view::config(&cfg, team)),
        Call::Version(v) => {
            let text = || format!("version {v} is not kept");
            let found = api.version(v).await?;
            let found = found.ok_or_else(|| view::not_found(text()))?;
            reply::json(ok, &view::config(&found, team))
        }
        Call::History => {
            let history = History {
                versions: api.history().await?,
                settled: view::decided_patches(api.decided_patches(), team),
            };
            reply::json(ok, &history)
        }
        Call::Fronts => reply::json(ok, &view::config(&cfg, team).fronts),
        Call::Front(f) => reply::json(ok, view::front(&cfg, team, &f)?),
        Call::Lookup(f, l) => reply::json(ok, view::lookup(view::front(&cfg, team, &f)?, &l)?),
        Call::Patch(id) => reply::json(ok, &patch_view(api, team, id)?),
        Call::Fleet => reply::json(ok, &api.fleet()),
        Call::Health | Call::Ready | Call::Metrics | Call::Propose { .. } => {
            let e = Error::new(ErrorKind::NotFound, "this call is not a read");
            reply::error(&e)
        }
    })
}

/// Returns the state of a patch that the team may see.
fn patch_view(api: &dyn OperatorApi, team: &Team, id: PatchId) -> Result<PatchView> {
    let decided = view::decided_patches(api.decided_patches(), team);
    if let Some(p) = decided.into_iter().rev().find(|p| p.id == id) {
        return Ok(PatchView::Settled(p));
    }
    if api.pending_patch().as_ref() == Some(&id) {
        return Ok(PatchView::Pending { id });
    }
    let e = Error::new(
        ErrorKind::NotFound,
        format!("patch `{id}` is not known on this VM"),
    );
    Err(e.at("find patch").with_hint(
        "it was never prepared, belongs to another team, or is no longer kept; \
         sending it again with the same id is safe",
    ))
}

/// Handles the proposal of a patch, and logs its outcome.
async fn propose(
    api: &dyn OperatorApi,
    body_limits: BodyLimits,
    peer: SocketAddr,
    team: &Team,
    dry_run: bool,
    req: Request<Incoming>,
) -> Result<Reply> {
    if !is_json(req.headers()) {
        let e = Error::new(ErrorKind::BadInput, "the body is not declared as JSON")
            .at("read patch")
            .with_hint("send `content-type: application/json`");
        return Ok(reply::error_with_status(
            StatusCode::UNSUPPORTED_MEDIA_TYPE,
            &e,
        ));
    }
    let body = match read_body(body_limits, req).await {
        Ok(body) => body,
        Err(e) if e.kind() == ErrorKind::TooMuch => {
            return Ok(reply::error_with_status(StatusCode::PAYLOAD_TOO_LARGE, &e));
        }
        Err(e) => return Ok(reply::error_with_status(StatusCode::REQUEST_TIMEOUT, &e)),
    };
    let patch: Patch = serde_json::from_slice(&body).map_err(|e| {
        Error::new(
            ErrorKind::BadInput,
            format!("the patch does not parse: {e}"),
        )
        .at("read patch")
        .with_hint("see docs/OPERATIONS.md for the form of a patch")
    })?;
    let (name, id, against) = (team.name.clone(), patch.id.clone(), patch.against);
    let outcome = api.propose(name.clone(), patch, dry_run).await;
    log::info!(
        "event=patch team={name} id={id} against={against} dry_run={dry_run} verdict={} peer={peer}",
        outcome_text(&outcome)
    );
    Ok(reply::patch_outcome(&outcome))
}

/// Returns the outcome of a patch as it appears in the audit log.
fn outcome_text(outcome: &PatchOutcome) -> String {
    match outcome {
        PatchOutcome::Accepted { version, .. } => format!("accepted version={version}"),
        PatchOutcome::Checked { .. } => "checked".to_owned(),
        PatchOutcome::Refused { error, .. } => format!("refused kind={}", error.kind()),
        PatchOutcome::Undecided { error } => format!("undecided kind={}", error.kind()),
    }
}

/// Returns whether the body is declared as JSON.
fn is_json(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE);
    let content_type = content_type
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default();
    let media_type = content_type.split(';').next().unwrap_or_default().trim();
    media_type.eq_ignore_ascii_case("application/json")
}

/// Reads a body within its limits of size and time.
async fn read_body(limits: BodyLimits, req: Request<Incoming>) -> Result<Bytes> {
    let limited = Limited::new(req.into_body(), limits.max_bytes);
    let Ok(read) = tokio::time::timeout(limits.timeout, limited.collect()).await else {
        let e = Error::new(ErrorKind::Unavailable, "the body did not arrive in time");
        return Err(e
            .at("read body")
            .with_hint("send the complete body without pauses"));
    };
    match read {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => {
            let text = format!("the body is over {} bytes", limits.max_bytes);
            let e = Error::new(ErrorKind::TooMuch, text).at("read body");
            Err(e.with_hint("split the patch"))
        }
        Err(e) => Err(Error::new(ErrorKind::Unavailable, e.to_string()).at("read body")),
    }
}
