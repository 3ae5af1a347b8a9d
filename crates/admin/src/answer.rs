//! Answering calls.

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
use crate::operator_api::HistoryEntry;
use crate::operator_api::OperatorApi;
use crate::reply;
use crate::reply::Reply;
use crate::route;
use crate::route::Call;
use crate::route::NoCall;
use crate::view;

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// The largest body, in bytes.
    pub(crate) body: usize,
    /// How long a body may take to arrive.
    pub(crate) body_time: Duration,
}

/// The versions kept and the patches settled, as `GET /admin/v1/history` shows them.
#[derive(Serialize)]
struct History {
    versions: Vec<HistoryEntry>,
    settled: Vec<DecidedPatch>,
}

/// Where a patch stands, as `GET /admin/v1/patches/{id}` shows it.
#[derive(Serialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
enum PatchView {
    Pending { id: PatchId },
    Settled(DecidedPatch),
}

/// Answers a request.
pub(crate) async fn answer(
    api: &dyn OperatorApi,
    bounds: Bounds,
    peer: SocketAddr,
    req: Request<Incoming>,
) -> Reply {
    let uri = req.uri();
    let call = match route::call(req.method(), uri.path(), uri.query()) {
        Ok(call) => call,
        Err(e) => return no_call(&e),
    };
    if let Some(reply) = open_answer(api, &call) {
        return reply;
    }
    let cfg = api.config();
    let team = match auth::team(cfg.as_deref(), req.headers()) {
        Ok(team) => team,
        Err(e) => return turn_away(&e, peer, req.headers()),
    };
    let result = match call {
        Call::Propose { dry_run } => propose(api, bounds, peer, &team, dry_run, req).await,
        call => read(api, &team, call).await,
    };
    result.unwrap_or_else(|e| reply::error(&e))
}

fn no_call(e: &NoCall) -> Reply {
    match e {
        NoCall::Path(e) | NoCall::Bad(e) => reply::error(e),
        NoCall::Method(allowed) => {
            let e = Error::new(ErrorKind::BadInput, "the path takes another method")
                .at("read request")
                .with_hint(format!("use {allowed}"));
            let mut reply = reply::error_as(StatusCode::METHOD_NOT_ALLOWED, &e);
            let allow = header::HeaderValue::from_static(allowed);
            reply.headers_mut().insert(header::ALLOW, allow);
            reply
        }
    }
}

/// Calls that need no key: what the balancer and the scraper ask, and the status of a VM that holds
/// no configuration yet, by which no key could be checked. None of them shows a secret.
fn open_answer(api: &dyn OperatorApi, call: &Call) -> Option<Reply> {
    Some(match call {
        Call::Health => reply::text(StatusCode::OK, "ok\n"),
        Call::Ready if api.is_ready() => reply::text(StatusCode::OK, "ready\n"),
        Call::Ready => reply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        Call::Metrics => reply::text(StatusCode::OK, api.metrics()),
        Call::Status if api.config().is_none() => reply::json(StatusCode::OK, &api.status()),
        _ => return None,
    })
}

fn turn_away(e: &Error, peer: SocketAddr, headers: &HeaderMap) -> Reply {
    if e.kind() != ErrorKind::Forbidden {
        return reply::error(e);
    }
    let team = auth::claimed(headers).map_or_else(|| "?".to_owned(), |t| t.to_string());
    log::warn!("event=admin-denied peer={peer} team={team}");
    let mut reply = reply::error_as(StatusCode::UNAUTHORIZED, e);
    let scheme = header::HeaderValue::from_static("Bearer");
    reply.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
    reply
}

async fn read(api: &dyn OperatorApi, team: &Team, call: Call) -> Result<Reply> {
    let cfg = api
        .config()
        .ok_or_else(|| Error::new(ErrorKind::Unavailable, "no configuration is held"))?;
    let ok = StatusCode::OK;
    Ok(match call {
        Call::Status => reply::json(ok, &api.status()),
        Call::Dump | Call::FleetDump if !team.admin => {
            let text = format!("team `{}` may not see the whole state", team.name);
            let e = Error::new(ErrorKind::Forbidden, text).at("dump");
            return Err(e.with_hint("ask an admin team; `status` is for every team"));
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
                settled: view::settled(api.decided_patches(), team),
            };
            reply::json(ok, &history)
        }
        Call::Fronts => reply::json(ok, &view::config(&cfg, team).fronts),
        Call::Front(f) => reply::json(ok, view::front(&cfg, team, &f)?),
        Call::Lookup(f, l) => reply::json(ok, view::lookup(view::front(&cfg, team, &f)?, &l)?),
        Call::Patch(id) => reply::json(ok, &patch(api, team, id)?),
        Call::Fleet => reply::json(ok, &api.fleet()),
        Call::Health | Call::Ready | Call::Metrics | Call::Propose { .. } => {
            let e = Error::new(ErrorKind::NotFound, "answered elsewhere");
            reply::error(&e)
        }
    })
}

fn patch(api: &dyn OperatorApi, team: &Team, id: PatchId) -> Result<PatchView> {
    let settled = view::settled(api.decided_patches(), team);
    if let Some(s) = settled.into_iter().rev().find(|s| s.id == id) {
        return Ok(PatchView::Settled(s));
    }
    if api.pending_patch().as_ref() == Some(&id) {
        return Ok(PatchView::Pending { id });
    }
    let e = Error::new(ErrorKind::NotFound, format!("no word on patch `{id}` here"));
    Err(e.at("find patch").with_hint(
        "it was never prepared, is another team's, or is no longer remembered; \
         sending it again with the same id is safe",
    ))
}

async fn propose(
    api: &dyn OperatorApi,
    bounds: Bounds,
    peer: SocketAddr,
    team: &Team,
    dry_run: bool,
    req: Request<Incoming>,
) -> Result<Reply> {
    if !is_json(req.headers()) {
        let e = Error::new(ErrorKind::BadInput, "the body is not declared as JSON")
            .at("read patch")
            .with_hint("send `content-type: application/json`");
        return Ok(reply::error_as(StatusCode::UNSUPPORTED_MEDIA_TYPE, &e));
    }
    let body = match body(bounds, req).await {
        Ok(body) => body,
        Err(e) if e.kind() == ErrorKind::TooMuch => {
            return Ok(reply::error_as(StatusCode::PAYLOAD_TOO_LARGE, &e));
        }
        Err(e) => return Ok(reply::error_as(StatusCode::REQUEST_TIMEOUT, &e)),
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
    let verdict = api.propose(name.clone(), patch, dry_run).await;
    log::info!(
        "event=patch team={name} id={id} against={against} dry_run={dry_run} verdict={} peer={peer}",
        word(&verdict)
    );
    Ok(reply::verdict(&verdict))
}

/// The verdict in one word, for the audit log.
fn word(verdict: &PatchOutcome) -> String {
    match verdict {
        PatchOutcome::Accepted { version, .. } => format!("accepted version={version}"),
        PatchOutcome::Checked { .. } => "checked".to_owned(),
        PatchOutcome::Refused { error, .. } => format!("refused kind={}", error.kind()),
        PatchOutcome::Undecided { error } => format!("undecided kind={}", error.kind()),
    }
}

fn is_json(headers: &HeaderMap) -> bool {
    let kind = headers.get(header::CONTENT_TYPE);
    let kind = kind.and_then(|v| v.to_str().ok()).unwrap_or_default();
    let kind = kind.split(';').next().unwrap_or_default().trim();
    kind.eq_ignore_ascii_case("application/json")
}

/// Reads a body within its bounds of size and time.
async fn body(bounds: Bounds, req: Request<Incoming>) -> Result<Bytes> {
    let limited = Limited::new(req.into_body(), bounds.body);
    let Ok(read) = tokio::time::timeout(bounds.body_time, limited.collect()).await else {
        let e = Error::new(ErrorKind::Unavailable, "the body did not arrive in time");
        return Err(e.at("read body").with_hint("send it in one go"));
    };
    match read {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => {
            let text = format!("the body is over {} bytes", bounds.body);
            let e = Error::new(ErrorKind::TooMuch, text).at("read body");
            Err(e.with_hint("split the patch"))
        }
        Err(e) => Err(Error::new(ErrorKind::Unavailable, e.to_string()).at("read body")),
    }
}
