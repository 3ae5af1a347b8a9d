//! Answers one request to a server: refusal, queueing, execution and reply.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use serde_json::json;
use tokio::sync::oneshot;

use super::reply;
use super::state::CountGuard;
use super::state::Server;
use super::state::lock;
use crate::body::Body;
use crate::net::SiteNumber;

/// The longest query accepted, in bytes.
const QUERY_MAX_BYTES: usize = 64 << 10;

/// The time budget of a request that gives none.
const DEFAULT_TIME_BUDGET: Duration = Duration::from_secs(10);

/// Answers one request that came from the given site.
pub(super) async fn handle(
    server: Arc<Server>,
    from: SiteNumber,
    req: Request<Incoming>,
) -> Result<Response<Body>, io::Error> {
    let start = Instant::now();
    let attempt = header_text(req.headers(), "x-attempt");
    server.net.carry(from, server.spec.site).await;
    let resp = match (req.method(), req.uri().path()) {
        (&Method::POST, "/search") => search(&server, req).await,
        (&Method::POST, "/cancel") => cancel(&server, req.headers()),
        (&Method::GET, "/status") => status(&server),
        _ => reply::empty(404, &[]),
    };
    server.net.carry(server.spec.site, from).await;
    if let (true, Some(attempt)) = (resp.status().is_success(), attempt) {
        server.common.counts.note_reply(&attempt, start.elapsed());
    }
    Ok(resp)
}

/// The parameters of a search request.
struct Search {
    attempt: String,
    snapshot: SnapshotId,
    shard: ShardId,
    page: usize,
    budget: Duration,
    key: Option<String>,
    idempotency_key: Option<String>,
    query: String,
}

impl Search {
    async fn read(req: Request<Incoming>) -> Option<Self> {
        let (head, body) = req.into_parts();
        let body = Limited::new(body, QUERY_MAX_BYTES).collect().await.ok()?;
        let h = &head.headers;
        Some(Self {
            attempt: header_text(h, "x-attempt")?,
            snapshot: header_text(h, "x-snapshot")?.parse().ok()?,
            shard: header_text(h, "x-shard")?.parse().ok()?,
            page: header_text(h, "x-page")?.parse().ok()?,
            budget: header_text(h, "x-budget-ms")
                .and_then(|s| s.parse().ok())
                .map_or(DEFAULT_TIME_BUDGET, Duration::from_millis),
            key: header_text(h, "x-key"),
            idempotency_key: header_text(h, "x-idempotency-key"),
            query: String::from_utf8(body.to_bytes().to_vec()).ok()?,
        })
    }
}

fn header_text(h: &HeaderMap, name: &str) -> Option<String> {
    Some(h.get(name)?.to_str().ok()?.to_owned())
}

async fn search(server: &Arc<Server>, req: Request<Incoming>) -> Response<Body> {
    let Some(request) = Search::read(req).await else {
        return reply::empty(400, &[("x-not-run", "1")]);
    };
    if let Some(refusal) = refuse(server, &request) {
        return refusal;
    }
    let (tx, mut cancelled) = oneshot::channel();
    lock(&server.cancels).insert(request.attempt.clone(), tx);
    let _cancel_guard = CancelGuard(server, &request.attempt);
    let (_load_guard, _) = CountGuard::new(&server.load);
    let end = tokio::time::Instant::now() + request.budget;
    let _slot = tokio::select! {
        slot = server.slots.clone().acquire_owned() => slot,
        _ = &mut cancelled => return cancelled_before_run(server, &request.attempt),
        () = tokio::time::sleep_until(end) => return reply::shed(&request.attempt),
    };
    tokio::select! {
        resp = execute(server, &request) => resp,
        _ = &mut cancelled => {
            server.common.counts.update(&server.spec.name, |c| c.cancelled += 1);
            reply::empty(499, &[("x-attempt", &request.attempt)])
        }
        () = tokio::time::sleep_until(end) => reply::empty(504, &[("x-attempt", &request.attempt)]),
    }
}

/// Returns the refusal of a request that cannot run here, if any, and counts it.
fn refuse(server: &Server, request: &Search) -> Option<Response<Body>> {
    let (draining, shed, snapshots) = {
        let f = server.faults();
        let snapshots: Vec<SnapshotId> = f.snapshots.iter().copied().collect();
        (f.draining.map(|t| t.elapsed()), f.shed, snapshots)
    };
    let counts = &server.common.counts;
    counts.note_offer(&server.spec.name, draining);
    if draining.is_some() {
        counts.update(&server.spec.name, |c| c.refused += 1);
        return Some(reply::draining(&request.attempt));
    }
    if !snapshots.contains(&request.snapshot) || !server.spec.holds(request.shard) {
        counts.update(&server.spec.name, |c| c.refused += 1);
        return Some(reply::no_snapshot(&request.attempt, &snapshots));
    }
    let full = server.load.load(Ordering::Relaxed) >= server.spec.slots + server.spec.queue;
    if shed || full {
        counts.update(&server.spec.name, |c| c.shed += 1);
        return Some(reply::shed(&request.attempt));
    }
    None
}

fn cancelled_before_run(server: &Server, attempt: &str) -> Response<Body> {
    server
        .common
        .counts
        .update(&server.spec.name, |c| c.cancelled += 1);
    reply::empty(499, &[("x-attempt", attempt), ("x-not-run", "1")])
}

/// Executes the search; from here on the attempt counts as run.
async fn execute(server: &Arc<Server>, request: &Search) -> Response<Body> {
    let key = request.idempotency_key.as_deref();
    let counts = &server.common.counts;
    counts.note_run(&server.spec.name, &request.attempt, key);
    let poison = lock(&server.common.poison).clone();
    if let Some((word, down)) = poison
        && request.query.contains(&word)
    {
        server.crash(down);
        std::future::pending::<()>().await;
    }
    let spec = &server.spec;
    let time = server.faults().service_time(spec.service_time, spec.cold);
    tokio::time::sleep(time).await;
    let part = server.index(request.snapshot).and_then(|i| {
        i.search(
            request.shard,
            &request.query,
            request.key.as_deref(),
            request.page,
        )
    });
    match part {
        Some(part) => reply::part(server, &request.attempt, request.snapshot, &part),
        None => reply::empty(500, &[("x-attempt", &request.attempt)]),
    }
}

fn cancel(server: &Server, h: &HeaderMap) -> Response<Body> {
    let found = header_text(h, "x-attempt").and_then(|a| lock(&server.cancels).remove(&a));
    if let Some(tx) = found {
        // The receiver is dropped if the attempt has just ended; then there is nothing to cancel.
        let _ = tx.send(());
    }
    reply::empty(204, &[])
}

fn status(server: &Server) -> Response<Body> {
    let (draining, snapshots) = {
        let f = server.faults();
        let snapshots: Vec<SnapshotId> = f.snapshots.iter().copied().collect();
        (f.draining.is_some(), snapshots)
    };
    let status = json!({
        "server": server.spec.name,
        "incarnation": server.incarnation(),
        "snapshots": snapshots,
        "load": server.reported_load(),
        "draining": draining,
    });
    let headers = [("content-type", "application/json")];
    reply::with_body(200, &headers, status.to_string().into_bytes())
}

/// Removes an attempt's cancel channel when the attempt ends for any reason.
struct CancelGuard<'a>(&'a Server, &'a str);

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        lock(&self.0.cancels).remove(self.1);
    }
}
