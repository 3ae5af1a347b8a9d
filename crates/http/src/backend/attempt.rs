//! One attempt: take a connection, pass the point of no return, read the reply.

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

use crate::backend::check;
use crate::backend::exchange::exchange;
use crate::backend::lane::ConnectionPool;
use crate::backend::lane::PooledConnection;
use crate::backend::pool::Common;

/// How long a cancelled attempt may take to confirm before its connection is closed: a little more than
/// the way to another region and back, twice 12 ms, which the cancel and its answer take together.
const CANCEL_WAIT: Duration = Duration::from_millis(35);

/// Runs an attempt to its only reply.
pub(crate) async fn run(
    common: &Arc<Common>,
    lane: &Arc<ConnectionPool>,
    d: Dispatch,
    mut cancelled: oneshot::Receiver<()>,
) -> PartReply {
    let until = Instant::now() + d.budget;
    let lent = tokio::select! {
        biased;
        _ = &mut cancelled => return PartReply::NotSent,
        lent = lane.take(d.budget) => lent,
    };
    let Ok(mut lent) = lent else {
        return PartReply::NotSent;
    };
    let Ok(req) = search(&d, until.saturating_duration_since(Instant::now())) else {
        return PartReply::NotSent;
    };
    common.sink.on_event(Event::Sent(d.attempt.clone()));
    let (reply, clean) = {
        let answered = check::reply(&mut lent, req, &d, common.opts.part_bytes_max);
        tokio::pin!(answered);
        tokio::select! {
            biased;
            r = &mut answered => r,
            () = tokio::time::sleep_until(until) => (PartReply::Late, false),
            _ = &mut cancelled => {
                confirm_cancel(lane, &d, &mut answered).await
            }
        }
    };
    if clean {
        lane.put_back(lent);
    }
    reply
}

/// Asks the server to drop the work, so that the connection can be used again.
///
/// Closing it would do too, but then a new one costs the server's handshake. If no other connection
/// is idle to carry the cancel, or the server does not confirm soon, the connection is closed.
async fn confirm_cancel(
    lane: &Arc<ConnectionPool>,
    d: &Dispatch,
    answered: &mut (impl Future<Output = (PartReply, bool)> + Unpin),
) -> (PartReply, bool) {
    let Some(mut other) = lane.take_idle(None) else {
        return (PartReply::Cancelled, false);
    };
    let both = async {
        let (sent, reply) = tokio::join!(send_cancel(&mut other, d), answered);
        if sent {
            lane.put_back(other);
        }
        reply
    };
    let confirmed = tokio::time::timeout(CANCEL_WAIT, both).await;
    match confirmed {
        Ok((PartReply::Whole { .. }, clean)) => (PartReply::Cancelled, clean),
        Ok(ended) => ended,
        Err(_) => (PartReply::Cancelled, false),
    }
}

async fn send_cancel(lent: &mut PooledConnection, d: &Dispatch) -> bool {
    let req = Request::post("/cancel")
        .header("x-attempt", d.attempt.to_string())
        .body(Full::default());
    let Ok(req) = req else {
        return false;
    };
    match exchange(lent, req, 0).await {
        Ok(r) => r.status == StatusCode::NO_CONTENT,
        Err(_) => false,
    }
}

/// The request of docs/PROTOCOLS.md.
fn search(d: &Dispatch, left: Duration) -> Result<Request<Full<Bytes>>> {
    let mut req = Request::post("/search")
        .header("x-attempt", d.attempt.to_string())
        .header("x-snapshot", d.snapshot.0)
        .header("x-shard", d.attempt.shard.0)
        .header("x-page", d.page)
        .header(
            "x-budget-ms",
            u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
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
