//! Requests the status of a backend server.

use std::sync::Arc;
use std::time::Duration;

use gs_query::ServerReport;
use gs_types::prelude::*;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use serde::Deserialize;
use smallvec::SmallVec;

use crate::backend::connection_pool::ConnectionPool;
use crate::backend::exchange::exchange;

/// The largest status, in bytes.
const STATUS_BYTES_MAX: usize = 16 * 1024;

/// A status in the JSON format of servers.
#[derive(Deserialize)]
struct StatusBody {
    incarnation: Incarnation,
    snapshots: SmallVec<[SnapshotId; 4]>,
    load: u32,
    #[serde(default)]
    draining: bool,
}

/// Requests the status of a server within `timeout`; returns `None` if no connection was free.
///
/// If the request fails, the report carries no incarnation.
pub(crate) async fn request_status(
    pool: &Arc<ConnectionPool>,
    timeout: Duration,
) -> Option<ServerReport> {
    let body = match tokio::time::timeout(timeout, exchange_status(pool, timeout)).await {
        Ok(StatusResult::Busy) => return None,
        Ok(StatusResult::Received(body)) => Some(body),
        Ok(StatusResult::Failed) | Err(_) => None,
    };
    Some(server_report(pool.name().clone(), body))
}

/// The result of a status request.
enum StatusResult {
    /// Every connection of the share is busy.
    Busy,
    /// No valid status was received.
    Failed,
    /// The server's status.
    Received(StatusBody),
}

async fn exchange_status(pool: &Arc<ConnectionPool>, timeout: Duration) -> StatusResult {
    let conn = match pool.take_idle() {
        Some(conn) => Ok(conn),
        None if pool.is_full() => return StatusResult::Busy,
        None => pool.take(timeout).await,
    };
    let (Ok(mut conn), Ok(req)) = (conn, Request::get("/status").body(Full::default())) else {
        return StatusResult::Failed;
    };
    let Ok(reply) = exchange(&mut conn, req, STATUS_BYTES_MAX).await else {
        return StatusResult::Failed;
    };
    if reply.status != StatusCode::OK {
        pool.put_back(conn);
        return StatusResult::Failed;
    }
    match serde_json::from_slice(&reply.body) {
        Ok(body) => {
            pool.put_back(conn);
            StatusResult::Received(body)
        }
        // It may be a late copy of the answer to an attempt. The status would then be read as the next reply, and each
        // reply on the connection as that to the request before.
        Err(e) => {
            log::debug!(
                "event=status-unreadable server={} error=\"{e}\"",
                pool.name()
            );
            StatusResult::Failed
        }
    }
}

fn server_report(server: ServerName, body: Option<StatusBody>) -> ServerReport {
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
