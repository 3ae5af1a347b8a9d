//! Serves the platform's calls over HTTP.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde_json::json;
use tokio::time::Instant;

use super::counts::CallKind;
use super::server::SharedState;

/// The maximum size of an object, in bytes.
const OBJECT_MAX_BYTES: usize = 1_000_000;
/// The maximum duration of a watch.
const WATCH_WAIT_MAX: Duration = Duration::from_secs(60);

type Reply = Response<Full<Bytes>>;

/// The error that drops the connection instead of answering.
#[derive(Debug)]
pub(super) struct AnswerLost;

impl std::fmt::Display for AnswerLost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer is lost")
    }
}

impl std::error::Error for AnswerLost {}

/// Answers a call; the error makes the server drop the connection instead.
pub(super) async fn answer(
    shared: Arc<SharedState>,
    source: IpAddr,
    req: Request<Incoming>,
) -> Result<Reply, AnswerLost> {
    match req.uri().path() {
        "/control" => return Ok(control(&shared, req).await),
        "/counts" => return Ok(json_reply(&shared.lock().counts)),
        _ => {}
    }
    let Some((kind, path)) = kind_of(&req) else {
        return Ok(status(StatusCode::NOT_FOUND));
    };
    if let Some(refusal) = admit(&shared, source, kind, &path).await? {
        return Ok(refusal);
    }
    let reply = execute(&shared, source, kind, path, req).await?;
    let delay = shared.lock().delay;
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    // A cut or silence that started while the call ran also suppresses its answer.
    if shared.lock().is_held(source) {
        hold_call(&shared, source).await;
        return Err(AnswerLost);
    }
    Ok(reply)
}

fn kind_of(req: &Request<Incoming>) -> Option<(CallKind, String)> {
    let path = req.uri().path();
    if let Some(object) = path.strip_prefix("/v1/objects/") {
        let kind = match *req.method() {
            Method::GET => CallKind::Read,
            Method::PUT => CallKind::Write,
            Method::DELETE => CallKind::Delete,
            _ => return None,
        };
        return Some((kind, object.to_owned()));
    }
    let kind = match path {
        "/v1/list" => CallKind::List,
        "/v1/watch" => CallKind::Watch,
        "/v1/vms" => CallKind::Vms,
        _ => return None,
    };
    Some((kind, query(req, "prefix").unwrap_or_default()))
}

/// Counts the call, and holds or refuses it if a fault or limit requires it.
async fn admit(
    shared: &SharedState,
    source: IpAddr,
    kind: CallKind,
    path: &str,
) -> Result<Option<Reply>, AnswerLost> {
    let (held, is_lost) = {
        let mut s = shared.lock();
        s.counts.add(kind, path, source);
        let held = s.is_held(source);
        let is_lost = s.lose_watches && kind == CallKind::Watch;
        if s.down || held || is_lost {
            s.counts.refused += 1;
        }
        if s.down && !held {
            return Ok(Some(status(StatusCode::SERVICE_UNAVAILABLE)));
        }
        if !held && !s.count_against_limit(kind) {
            s.counts.limited += 1;
            return Ok(Some(status(StatusCode::TOO_MANY_REQUESTS)));
        }
        (held, is_lost)
    };
    if is_lost {
        std::future::pending::<()>().await;
    }
    if held {
        hold_call(shared, source).await;
        return Err(AnswerLost);
    }
    Ok(None)
}

/// Waits until calls from the source are answered again; the held call itself is never answered.
async fn hold_call(shared: &SharedState, source: IpAddr) {
    let mut changes = shared.subscribe();
    while shared.lock().is_held(source) {
        if changes.changed().await.is_err() {
            return;
        }
    }
}

async fn execute(
    shared: &SharedState,
    source: IpAddr,
    kind: CallKind,
    path: String,
    req: Request<Incoming>,
) -> Result<Reply, AnswerLost> {
    match kind {
        CallKind::Read => Ok(read(shared, &path)),
        CallKind::Write => write(shared, path, req).await,
        CallKind::Delete => Ok(delete(shared, &path, &req)),
        CallKind::List => Ok(list(shared, &path)),
        CallKind::Watch => Ok(watch(shared, &path, &req).await),
        CallKind::Vms => Ok(json_reply(&shared.lock().vms.list_for(source))),
    }
}

fn read(shared: &SharedState, path: &str) -> Reply {
    match shared.lock().objects.get(path) {
        Some((version, content)) => versioned(StatusCode::OK, version, content),
        None => status(StatusCode::NOT_FOUND),
    }
}

async fn write(
    shared: &SharedState,
    path: String,
    req: Request<Incoming>,
) -> Result<Reply, AnswerLost> {
    let Some(if_version) = if_version(&req) else {
        return Ok(status(StatusCode::BAD_REQUEST));
    };
    let Ok(content) = Limited::new(req.into_body(), OBJECT_MAX_BYTES)
        .collect()
        .await
    else {
        return Ok(status(StatusCode::PAYLOAD_TOO_LARGE));
    };
    let content = content.to_bytes();
    let (result, lost) = {
        let mut s = shared.lock();
        if let Some(stalled) = &mut s.stalled {
            stalled.push((path, if_version, content));
            s.counts.lost += 1;
            return Err(AnswerLost);
        }
        let result = s.objects.put(&path, if_version, content);
        let lost = result.is_ok() && s.lose.count > 0 && path.starts_with(&s.lose.prefix);
        if lost {
            s.lose.count -= 1;
            s.counts.lost += 1;
        }
        if result.is_err() {
            s.counts.conflicts += 1;
        }
        (result, lost)
    };
    shared.notify_change();
    match result {
        Ok(_) if lost => Err(AnswerLost),
        Ok(version) => Ok(versioned(StatusCode::OK, version, Bytes::new())),
        Err(version) => Ok(versioned(StatusCode::CONFLICT, version, Bytes::new())),
    }
}

fn delete(shared: &SharedState, path: &str, req: &Request<Incoming>) -> Reply {
    let Some(if_version) = if_version(req) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let result = shared.lock().objects.delete(path, if_version);
    shared.notify_change();
    match result {
        Ok(true) => status(StatusCode::OK),
        Ok(false) => status(StatusCode::NOT_FOUND),
        Err(version) => versioned(StatusCode::CONFLICT, version, Bytes::new()),
    }
}

fn list(shared: &SharedState, prefix: &str) -> Reply {
    let s = shared.lock();
    let objects: Vec<_> = s
        .objects
        .list(prefix)
        .into_iter()
        .map(|(path, version)| json!({"path": path, "version": version}))
        .collect();
    json_reply(&json!({"revision": s.objects.revision(), "objects": objects}))
}

async fn watch(shared: &SharedState, prefix: &str, req: &Request<Incoming>) -> Reply {
    let number = |name| query(req, name).and_then(|v| v.parse::<u64>().ok());
    let (Some(after), Some(wait)) = (number("after"), number("wait_ms")) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let until = Instant::now() + Duration::from_millis(wait).min(WATCH_WAIT_MAX);
    let mut changes = shared.subscribe();
    let _waiting_watch = WaitingWatch::new(shared);
    loop {
        {
            let s = shared.lock();
            let Some(changed) = s.objects.changes_since(prefix, after) else {
                return status(StatusCode::GONE);
            };
            if s.down {
                return status(StatusCode::SERVICE_UNAVAILABLE);
            }
            if !changed.is_empty() || Instant::now() >= until {
                let revision = s.objects.revision();
                return json_reply(&json!({"revision": revision, "changed": changed}));
            }
        }
        let _ = tokio::time::timeout_at(until, changes.changed()).await;
    }
}

/// Counts a watch as waiting until dropped.
struct WaitingWatch<'a>(&'a SharedState);

impl<'a> WaitingWatch<'a> {
    fn new(shared: &'a SharedState) -> Self {
        shared.lock().counts.waiting += 1;
        Self(shared)
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.0.lock().counts.waiting -= 1;
    }
}

async fn control(shared: &SharedState, req: Request<Incoming>) -> Reply {
    let Ok(body) = Limited::new(req.into_body(), OBJECT_MAX_BYTES)
        .collect()
        .await
    else {
        return status(StatusCode::PAYLOAD_TOO_LARGE);
    };
    match serde_json::from_slice(&body.to_bytes()) {
        Ok(command) => {
            shared.control(command);
            status(StatusCode::OK)
        }
        Err(e) => {
            let mut reply = Response::new(Full::new(Bytes::from(e.to_string())));
            *reply.status_mut() = StatusCode::BAD_REQUEST;
            reply
        }
    }
}

fn if_version(req: &Request<Incoming>) -> Option<u64> {
    req.headers().get("if-version")?.to_str().ok()?.parse().ok()
}

fn query(req: &Request<Incoming>, name: &str) -> Option<String> {
    let pairs = req.uri().query()?.split('&');
    pairs
        .filter_map(|p| p.split_once('='))
        .find(|(k, _)| *k == name)
        .map(|(_, v)| v.replace("%2F", "/").replace("%2f", "/"))
}

fn status(code: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = code;
    reply
}

fn versioned(code: StatusCode, version: u64, content: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(content));
    *reply.status_mut() = code;
    reply.headers_mut().insert("x-version", version.into());
    reply
}

fn json_reply<T: serde::Serialize>(t: &T) -> Reply {
    match serde_json::to_vec(t) {
        Ok(body) => Response::new(Full::new(Bytes::from(body))),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
