//! Spreads a verdict to all VMs over a tree, until each has heard it.
//!
//! The VMs are split into a few groups. The first VM of a group receives the verdict with the other VMs of the group,
//! to which it spreads it in turn. If it does not answer, the rest of its group is split in two, and it is told alone
//! later. A VM that is not reached in time learns the verdict from the directory.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join;
use gs_follow::PEER_ANSWER_TIMEOUT;
use gs_relay::Verdict;
use gs_store::Backoff;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::crash_news::VERDICTS_PATH;
use crate::register::PeerClient;

/// The number of VMs that one VM tells directly, if all answer.
const GROUPS_MAX: usize = 8;

/// How long a VM that does not answer is told again.
const RETRY_DURATION: Duration = Duration::from_secs(30);

/// The first backoff before a VM is told again.
const BACKOFF_MIN: Duration = Duration::from_millis(200);

/// The longest such backoff.
const BACKOFF_MAX: Duration = Duration::from_secs(3);

/// A verdict, and the VMs to which its receiver spreads it.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct VerdictMessage {
    pub(crate) verdict: Verdict,
    pub(crate) spread_to: Vec<SocketAddr>,
}

/// One spread of a verdict by this VM.
struct Spread {
    peers: Arc<PeerClient>,
    verdict: Verdict,
    started_at: Instant,
}

/// Starts to spread a verdict to these VMs.
pub(crate) fn spread(peers: &Arc<PeerClient>, verdict: Verdict, targets: Vec<SocketAddr>) {
    if targets.is_empty() {
        return;
    }
    let spread = Arc::new(Spread {
        peers: Arc::clone(peers),
        verdict,
        started_at: Instant::now(),
    });
    let group_len = targets.len().div_ceil(GROUPS_MAX);
    for group in targets.chunks(group_len) {
        let (spread, group) = (Arc::clone(&spread), group.to_vec());
        tokio::spawn(async move { spread.tell_group(group).await });
    }
}

impl Spread {
    /// Tells the first VM of a group, which tells the others; if it does not answer, tells each half of the rest.
    fn tell_group(
        self: Arc<Self>,
        group: Vec<SocketAddr>,
    ) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        Box::pin(async move {
            let Some((first, rest)) = group.split_first() else {
                return;
            };
            if self.tell(*first, rest.to_vec()).await {
                return;
            }
            let (left, right) = rest.split_at(rest.len() / 2);
            let retry = Arc::clone(&self).tell_until_heard(*first);
            let left = Arc::clone(&self).tell_group(left.to_vec());
            let right = self.tell_group(right.to_vec());
            join(retry, join(left, right)).await;
        })
    }

    /// Tells one VM again until it answers or it is too late.
    async fn tell_until_heard(self: Arc<Self>, addr: SocketAddr) {
        let mut backoff = Backoff::new(BACKOFF_MIN, BACKOFF_MAX, u64::from(addr.port()));
        while self.started_at.elapsed() < RETRY_DURATION {
            tokio::time::sleep(backoff.next_delay()).await;
            if self.tell(addr, Vec::new()).await {
                return;
            }
        }
        log::info!(
            "event=verdict-unheard request={} peer={addr}",
            self.verdict.request
        );
    }

    async fn tell(&self, addr: SocketAddr, spread_to: Vec<SocketAddr>) -> bool {
        let message = VerdictMessage {
            verdict: self.verdict.clone().aged(self.started_at.elapsed()),
            spread_to,
        };
        let answer = self
            .peers
            .post::<_, ()>(addr, VERDICTS_PATH, &message, PEER_ANSWER_TIMEOUT);
        let answer = answer.await;
        if let Err(e) = &answer {
            log::debug!("event=verdict-not-sent error=\"{e}\"");
        }
        answer.is_ok()
    }
}
