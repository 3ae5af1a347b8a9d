//! Answers one request: refusals, the queue, the run and its reply.

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
use super::state::Held;
use super::state::Server;
use super::state::lock;
use crate::body::Body;
use crate::net::Site;

/// The longest query accepted, in bytes.
const QUERY_MAX: usize = 64 << 10;

/// The time left where a request does not say.
const BUDGET: Duration = Duration::from_secs(10);

/// Answers one request that came from this site.
pub(super) async fn handle(
    server: Arc<Server>,
    from: Site,
    req: Request<Incoming>,
) -> Result<Response<Body>, io::Error> {
    let start = Instant::now();
    let attempt = text(req.headers(), "x-attempt");
    server.net.carry(from, server.spec.site).await;
    let resp = match (req.method(), req.uri().path()) {
        (&Method::POST, "/search") => search(&server, req).await,
        (&Method::POST, "/cancel") => cancel(&server, req.headers()),
        (&Method::GET, "/status") => status(&server),
        _ => reply::empty(404, &[]),
    };
    server.net.carry(server.spec.site, from).await;
    if let (true, Some(attempt)) = (resp.status().is_success(), attempt) {
        server.common.counts.replied(&attempt, start.elapsed());
    }
    Ok(resp)
}

/// What a search request asks.
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
        let body = Limited::new(body, QUERY_MAX).collect().await.ok()?;
        let h = &head.headers;
        Some(Self {
            attempt: text(h, "x-attempt")?,
            snapshot: text(h, "x-snapshot")?.parse().ok()?,
            shard: text(h, "x-shard")?.parse().ok()?,
            page: text(h, "x-page")?.parse().ok()?,
            budget: text(h, "x-budget-ms")
                .and_then(|s| s.parse().ok())
                .map_or(BUDGET, Duration::from_millis),
            key: text(h, "x-key"),
            idempotency_key: text(h, "x-idempotency-key"),
            query: String::from_utf8(body.to_bytes().to_vec()).ok()?,
        })
    }
}

fn text(h: &HeaderMap, name: &str) -> Option<String> {
    Some(h.get(name)?.to_str().ok()?.to_owned())
}

async fn search(server: &Arc<Server>, req: Request<Incoming>) -> Response<Body> {
    let Some(ask) = Search::read(req).await else {
        return reply::empty(400, &[("x-not-run", "1")]);
    };
    if let Some(refusal) = refuse(server, &ask) {
        return refusal;
    }
    let (tx, mut cancelled) = oneshot::channel();
    lock(&server.cancels).insert(ask.attempt.clone(), tx);
    let _forget = Forget(server, &ask.attempt);
    let (_held, _) = Held::new(&server.load);
    let end = tokio::time::Instant::now() + ask.budget;
    let _slot = tokio::select! {
        slot = server.slots.clone().acquire_owned() => slot,
        _ = &mut cancelled => return before_run(server, &ask.attempt),
        () = tokio::time::sleep_until(end) => return reply::shed(&ask.attempt),
    };
    tokio::select! {
        resp = run(server, &ask) => resp,
        _ = &mut cancelled => {
            server.common.counts.change(&server.spec.name, |c| c.cancelled += 1);
            reply::empty(499, &[("x-attempt", &ask.attempt)])
        }
        () = tokio::time::sleep_until(end) => reply::empty(504, &[("x-attempt", &ask.attempt)]),
    }
}

/// Refuses what cannot run here, and says so.
fn refuse(server: &Server, ask: &Search) -> Option<Response<Body>> {
    let (draining, shed, snapshots) = {
        let f = server.faults();
        let snapshots: Vec<SnapshotId> = f.snapshots.iter().copied().collect();
        (f.draining.map(|t| t.elapsed()), f.shed, snapshots)
    };
    let counts = &server.common.counts;
    counts.offer(&server.spec.name, draining);
    if draining.is_some() {
        counts.change(&server.spec.name, |c| c.refused += 1);
        return Some(reply::draining(&ask.attempt));
    }
    if !snapshots.contains(&ask.snapshot) || !server.spec.holds(ask.shard) {
        counts.change(&server.spec.name, |c| c.refused += 1);
        return Some(reply::no_snapshot(&ask.attempt, &snapshots));
    }
    let full = server.load.load(Ordering::Relaxed) >= server.spec.slots + server.spec.queue;
    if shed || full {
        counts.change(&server.spec.name, |c| c.shed += 1);
        return Some(reply::shed(&ask.attempt));
    }
    None
}

fn before_run(server: &Server, attempt: &str) -> Response<Body> {
    server
        .common
        .counts
        .change(&server.spec.name, |c| c.cancelled += 1);
    reply::empty(499, &[("x-attempt", attempt), ("x-not-run", "1")])
}

/// Runs the search; from here on it counts as run.
async fn run(server: &Arc<Server>, ask: &Search) -> Response<Body> {
    let key = ask.idempotency_key.as_deref();
    let counts = &server.common.counts;
    counts.run(&server.spec.name, &ask.attempt, key);
    let poison = lock(&server.common.poison).clone();
    if let Some((word, down)) = poison
        && ask.query.contains(&word)
    {
        server.crash(down);
        std::future::pending::<()>().await;
    }
    let spec = &server.spec;
    let time = server.faults().service_time(spec.service_time, spec.cold);
    tokio::time::sleep(time).await;
    let part = server
        .index(ask.snapshot)
        .and_then(|i| i.search(ask.shard, &ask.query, ask.key.as_deref(), ask.page));
    match part {
        Some(part) => reply::part(server, &ask.attempt, ask.snapshot, &part),
        None => reply::empty(500, &[("x-attempt", &ask.attempt)]),
    }
}

fn cancel(server: &Server, h: &HeaderMap) -> Response<Body> {
    let found = text(h, "x-attempt").and_then(|a| lock(&server.cancels).remove(&a));
    if let Some(tx) = found {
        // The attempt may have ended just now, which is as good.
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
        "load": server.told_load(),
        "draining": draining,
    });
    let headers = [("content-type", "application/json")];
    reply::with_body(200, &headers, status.to_string().into_bytes())
}

/// Forgets an attempt's way to be cancelled when it ends, however it ends.
struct Forget<'a>(&'a Server, &'a str);

impl Drop for Forget<'_> {
    fn drop(&mut self) {
        lock(&self.0.cancels).remove(self.1);
    }
}
