//! Runs one attempt: takes a connection, sends the request and reads the reply.
//!
//! [`Event::Sent`] is reported just before the request is sent; from then on the server may have executed it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gs_query::Dispatch;
use gs_query::Event;
use gs_query::PartReply;
use gs_types::prelude::*;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::backend::connection_pool::ConnectionPool;
use crate::backend::connection_pools::Shared;
use crate::backend::exchange::exchange;
use crate::backend::part_reply;
use crate::backend::pooled_connection::PooledConnection;

/// How long to wait for the server to confirm a cancel before the attempt's connection is closed.
///
/// A little more than the 24 ms that the cancel and its confirmation take together to another region and back (12 ms
/// each way).
const CANCEL_CONFIRM_TIMEOUT: Duration = Duration::from_millis(35);

/// Runs an attempt and returns its only reply.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    pool: &Arc<ConnectionPool>,
    d: Dispatch,
    mut cancelled: oneshot::Receiver<()>,
) -> PartReply {
    let deadline = Instant::now() + d.budget;
    let conn = tokio::select! {
        biased;
        _ = &mut cancelled => return PartReply::NotSent,
        conn = pool.take(d.budget) => conn,
    };
    let Ok(mut conn) = conn else {
        return PartReply::NotSent;
    };
    let Ok(req) = search_request(&d, deadline.saturating_duration_since(Instant::now())) else {
        return PartReply::NotSent;
    };
    shared.sink.on_event(Event::Sent(d.attempt.clone()));
    let (reply, is_reusable) = {
        let exchanged = part_reply::exchange_part(&mut conn, req, &d, shared.opts.part_bytes_max);
        tokio::pin!(exchanged);
        tokio::select! {
            biased;
            r = &mut exchanged => r,
            () = tokio::time::sleep_until(deadline) => (PartReply::Late, false),
            _ = &mut cancelled => {
                confirm_cancel(pool, &d, &mut exchanged).await
            }
        }
    };
    if is_reusable {
        pool.put_back(conn);
    }
    reply
}

/// Requests the server to cancel the attempt, so that the attempt's connection can be reused.
///
/// Closing the connection would cancel the attempt too, but opening a new one costs the server a handshake. The cancel
/// is sent on another connection. If none is idle, or the server does not confirm within [`CANCEL_CONFIRM_TIMEOUT`],
/// the attempt's connection is closed.
async fn confirm_cancel(
    pool: &Arc<ConnectionPool>,
    d: &Dispatch,
    exchanged: &mut (impl Future<Output = (PartReply, bool)> + Unpin),
) -> (PartReply, bool) {
    let Some(mut cancel_conn) = pool.take_idle() else {
        return (PartReply::Cancelled, false);
    };
    let cancel_and_reply = async {
        let (sent, reply) = tokio::join!(send_cancel(&mut cancel_conn, d), exchanged);
        if sent {
            pool.put_back(cancel_conn);
        }
        reply
    };
    let confirmed = tokio::time::timeout(CANCEL_CONFIRM_TIMEOUT, cancel_and_reply).await;
    match confirmed {
        Ok((PartReply::Whole { .. }, is_reusable)) => (PartReply::Cancelled, is_reusable),
        Ok(ended) => ended,
        Err(_) => (PartReply::Cancelled, false),
    }
}

/// Sends the cancel and returns whether the server confirmed it.
async fn send_cancel(conn: &mut PooledConnection, d: &Dispatch) -> bool {
    let req = Request::post("/cancel")
        .header("x-attempt", d.attempt.to_string())
        .body(Full::default());
    let Ok(req) = req else {
        return false;
    };
    match exchange(conn, req, 0).await {
        Ok(r) => r.status == StatusCode::NO_CONTENT,
        Err(_) => false,
    }
}

/// Builds the search request, as specified in docs/PROTOCOLS.md.
fn search_request(d: &Dispatch, time_left: Duration) -> Result<Request<Full<Bytes>>> {
    let mut req = Request::post("/search")
        .header("x-attempt", d.attempt.to_string())
        .header("x-snapshot", d.snapshot.0)
        .header("x-shard", d.attempt.shard.0)
        .header("x-page", d.page)
        .header(
            "x-budget-ms",
            u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX),
        );
    if let Some(key) = &d.key {
        req = req.header("x-key", key.as_bytes());
    }
    if d.once {
        req = req.header("x-once", "1");
    }
    if let Some(key) = &d.idempotency_key {
        req = req.header("x-idempotency-key", key.as_str());
    }
    let body = Full::new(Bytes::copy_from_slice(d.query.as_bytes()));
    req.body(body)
        .map_err(|e| Error::new(ErrorKind::BadInput, e.to_string()).at("build attempt"))
}
