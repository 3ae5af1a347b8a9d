//! Polls the status endpoints of the backend servers, whose reports are only hints.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use gs_http::ConnectionPools;
use gs_query::Event;

use crate::shared_state::SharedState;
use gs_actor::Feed;

/// The largest number of status calls in flight at the same time.
const CONCURRENT_STATUS_CALLS_MAX: usize = 32;

/// The timeout of one status call.
const STATUS_CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Polls all declared servers, again `interval` after each round, and closes the connections to servers that are no
/// longer declared.
pub(crate) async fn run(
    pool: Arc<ConnectionPools>,
    state: Arc<SharedState>,
    engine: Feed<Event>,
    interval: Duration,
) {
    loop {
        let servers = state.servers();
        pool.retain(&|name| state.server(name).is_some());
        futures_util::stream::iter(servers)
            .for_each_concurrent(CONCURRENT_STATUS_CALLS_MAX, |s| {
                let (pool, engine) = (&pool, &engine);
                async move {
                    if let Some(report) = pool.request_status(&s, STATUS_CALL_TIMEOUT).await {
                        engine.push(Event::Report(report));
                    }
                }
            })
            .await;
        tokio::time::sleep(interval).await;
    }
}
