//! The calls over HTTP.

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

use super::counts::Kind;
use super::server::Shared;

/// The largest object, in bytes.
const OBJECT_MAX: usize = 1_000_000;
/// The longest that a watch may wait.
const WAIT_MAX: Duration = Duration::from_secs(60);

type Reply = Response<Full<Bytes>>;

/// The connection is dropped in place of an answer.
#[derive(Debug)]
pub(super) struct Lost;

impl std::fmt::Display for Lost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer is lost")
    }
}

impl std::error::Error for Lost {}

/// Answers a call, or loses its answer.
pub(super) async fn answer(
    shared: Arc<Shared>,
    source: IpAddr,
    req: Request<Incoming>,
) -> Result<Reply, Lost> {
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
    let reply = run(&shared, source, kind, path, req).await?;
    let delay = shared.lock().delay;
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    // A cut or silence that began while the call ran swallows its answer too.
    if shared.lock().is_held(source) {
        hold(&shared, source).await;
        return Err(Lost);
    }
    Ok(reply)
}

fn kind_of(req: &Request<Incoming>) -> Option<(Kind, String)> {
    let path = req.uri().path();
    if let Some(object) = path.strip_prefix("/v1/objects/") {
        let kind = match *req.method() {
            Method::GET => Kind::Read,
            Method::PUT => Kind::Write,
            Method::DELETE => Kind::Delete,
            _ => return None,
        };
        return Some((kind, object.to_owned()));
    }
    let kind = match path {
        "/v1/list" => Kind::List,
        "/v1/watch" => Kind::Watch,
        "/v1/vms" => Kind::Vms,
        _ => return None,
    };
    Some((kind, query(req, "prefix").unwrap_or_default()))
}

/// Counts the call; holds or refuses it if so told.
async fn admit(
    shared: &Shared,
    source: IpAddr,
    kind: Kind,
    path: &str,
) -> Result<Option<Reply>, Lost> {
    let held = {
        let mut s = shared.lock();
        s.counts.add(kind, path, source);
        let held = s.is_held(source);
        if s.down || held {
            s.counts.refused += 1;
        }
        if s.down && !held {
            return Ok(Some(status(StatusCode::SERVICE_UNAVAILABLE)));
        }
        if !held && !s.within_limit(kind) {
            s.counts.limited += 1;
            return Ok(Some(status(StatusCode::TOO_MANY_REQUESTS)));
        }
        held
    };
    if held {
        hold(shared, source).await;
        return Err(Lost);
    }
    Ok(None)
}

/// Waits until calls from there are answered again; the call itself never is.
async fn hold(shared: &Shared, source: IpAddr) {
    let mut news = shared.subscribe();
    while shared.lock().is_held(source) {
        if news.changed().await.is_err() {
            return;
        }
    }
}

async fn run(
    shared: &Shared,
    source: IpAddr,
    kind: Kind,
    path: String,
    req: Request<Incoming>,
) -> Result<Reply, Lost> {
    match kind {
        Kind::Read => Ok(read(shared, &path)),
        Kind::Write => write(shared, path, req).await,
        Kind::Delete => Ok(delete(shared, &path, &req)),
        Kind::List => Ok(list(shared, &path)),
        Kind::Watch => Ok(watch(shared, &path, &req).await),
        Kind::Vms => Ok(json_reply(&shared.lock().vms.shown(source))),
    }
}

fn read(shared: &Shared, path: &str) -> Reply {
    match shared.lock().objects.get(path) {
        Some((version, content)) => versioned(StatusCode::OK, version, content),
        None => status(StatusCode::NOT_FOUND),
    }
}

async fn write(shared: &Shared, path: String, req: Request<Incoming>) -> Result<Reply, Lost> {
    let Some(if_version) = if_version(&req) else {
        return Ok(status(StatusCode::BAD_REQUEST));
    };
    let Ok(content) = Limited::new(req.into_body(), OBJECT_MAX).collect().await else {
        return Ok(status(StatusCode::PAYLOAD_TOO_LARGE));
    };
    let content = content.to_bytes();
    let (result, lost) = {
        let mut s = shared.lock();
        if let Some(stalled) = &mut s.stalled {
            stalled.push((path, if_version, content));
            s.counts.lost += 1;
            return Err(Lost);
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
    shared.changed();
    match result {
        Ok(_) if lost => Err(Lost),
        Ok(version) => Ok(versioned(StatusCode::OK, version, Bytes::new())),
        Err(version) => Ok(versioned(StatusCode::CONFLICT, version, Bytes::new())),
    }
}

fn delete(shared: &Shared, path: &str, req: &Request<Incoming>) -> Reply {
    let Some(if_version) = if_version(req) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let result = shared.lock().objects.delete(path, if_version);
    shared.changed();
    match result {
        Ok(true) => status(StatusCode::OK),
        Ok(false) => status(StatusCode::NOT_FOUND),
        Err(version) => versioned(StatusCode::CONFLICT, version, Bytes::new()),
    }
}

fn list(shared: &Shared, prefix: &str) -> Reply {
    let s = shared.lock();
    let objects: Vec<_> = s
        .objects
        .list(prefix)
        .into_iter()
        .map(|(path, version)| json!({"path": path, "version": version}))
        .collect();
    json_reply(&json!({"revision": s.objects.revision(), "objects": objects}))
}

async fn watch(shared: &Shared, prefix: &str, req: &Request<Incoming>) -> Reply {
    let number = |name| query(req, name).and_then(|v| v.parse::<u64>().ok());
    let (Some(after), Some(wait)) = (number("after"), number("wait_ms")) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let until = Instant::now() + Duration::from_millis(wait).min(WAIT_MAX);
    let mut news = shared.subscribe();
    let _waiting = Waiting::new(shared);
    loop {
        {
            let s = shared.lock();
            let Some(changed) = s.objects.changed(prefix, after) else {
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
        let _ = tokio::time::timeout_at(until, news.changed()).await;
    }
}

/// Counts a watch as waiting for as long as it lives.
struct Waiting<'a>(&'a Shared);

impl<'a> Waiting<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.lock().counts.waiting += 1;
        Self(shared)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.lock().counts.waiting -= 1;
    }
}

async fn control(shared: &Shared, req: Request<Incoming>) -> Reply {
    let Ok(body) = Limited::new(req.into_body(), OBJECT_MAX).collect().await else {
        return status(StatusCode::PAYLOAD_TOO_LARGE);
    };
    match serde_json::from_slice(&body.to_bytes()) {
        Ok(order) => {
            shared.control(order);
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
