//! Looks at backend servers' status endpoints; what they say is a hint.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use gs_http::ConnectionPools;
use gs_query::Event;

use crate::board::Board;
use gs_actor::Feed;

/// Status calls under way at the same time.
const AT_ONCE: usize = 32;

/// The longest that one may take.
const LIMIT: Duration = Duration::from_millis(300);

/// Polls every declared server once in each `every`, forgetting those that are gone.
pub(crate) async fn run(
    pool: Arc<ConnectionPools>,
    board: Arc<Board>,
    engine: Feed<Event>,
    every: Duration,
) {
    loop {
        let servers = board.servers();
        pool.retain(&|name| board.server(name).is_some());
        futures_util::stream::iter(servers)
            .for_each_concurrent(AT_ONCE, |s| {
                let (pool, engine) = (&pool, &engine);
                async move {
                    if let Some(report) = pool.request_status(&s, LIMIT).await {
                        engine.push(Event::Report(report));
                    }
                }
            })
            .await;
        tokio::time::sleep(every).await;
    }
}
