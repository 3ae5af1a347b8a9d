//! Asks a backend server for its status.

use std::sync::Arc;
use std::time::Duration;

use gs_query::ServerReport;
use gs_types::prelude::*;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use serde::Deserialize;
use smallvec::SmallVec;

use crate::backend::exchange::exchange;
use crate::backend::lane::ConnectionPool;

/// The most bytes of a status.
const STATUS_MAX: usize = 16 * 1024;

/// A status as servers write it.
#[derive(Deserialize)]
struct Body {
    incarnation: Incarnation,
    snapshots: SmallVec<[SnapshotId; 4]>,
    load: u32,
    #[serde(default)]
    draining: bool,
}

/// Asks, within `limit`; `None` if no connection was free.
pub(crate) async fn ask(lane: &Arc<ConnectionPool>, limit: Duration) -> Option<ServerReport> {
    let body = match tokio::time::timeout(limit, exchange_status(lane, limit)).await {
        Ok(Asked::Busy) => return None,
        Ok(Asked::Answered(body)) => Some(body),
        Ok(Asked::Failed) | Err(_) => None,
    };
    Some(report(lane.name().clone(), body))
}

enum Asked {
    /// Every connection of the share is busy.
    Busy,
    Failed,
    Answered(Body),
}

async fn exchange_status(lane: &Arc<ConnectionPool>, limit: Duration) -> Asked {
    let lent = match lane.take_idle(None) {
        Some(lent) => Ok(lent),
        None if lane.is_full() => return Asked::Busy,
        None => lane.take(limit).await,
    };
    let (Ok(mut lent), Ok(req)) = (lent, Request::get("/status").body(Full::default())) else {
        return Asked::Failed;
    };
    let Ok(r) = exchange(&mut lent, req, STATUS_MAX).await else {
        return Asked::Failed;
    };
    lane.put_back(lent);
    if r.status != StatusCode::OK {
        return Asked::Failed;
    }
    serde_json::from_slice(&r.body).map_or(Asked::Failed, Asked::Answered)
}

fn report(server: ServerName, body: Option<Body>) -> ServerReport {
    match body {
        Some(b) => ServerReport {
            server,
            incarnation: Some(b.incarnation),
            snapshots: b.snapshots,
            load: b.load,
            draining: b.draining,
        },
        None => ServerReport {
            server,
            incarnation: None,
            snapshots: SmallVec::new(),
            load: 0,
            draining: false,
        },
    }
}
