//! Whether all VMs serve whole pages again once the faults of a soak are over.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::Instant;

use super::caller::CallOutcome;
use super::caller::SiteCaller;
use super::config::SiteRoute;
use super::whole::Site;

/// The time within which every VM serves whole pages again once the faults are over.
const RECOVERY: Duration = Duration::from_secs(15);

/// The time between two looks at a VM.
const LOOK_AGAIN: Duration = Duration::from_millis(50);

/// Asks every VM until it serves a whole page; tells of those that have not in time.
///
/// All are asked at the same time: one after the other, the last of sixty would have none of it left.
pub(super) async fn late(site: &Site) -> Vec<String> {
    let caller = SiteCaller::new();
    let end = Instant::now() + RECOVERY;
    let route = &site.config.routes[0];
    let vms = site.vms.iter().enumerate();
    let asked = vms.map(|(n, vm)| recovers(&caller, route, n, vm.plan().callers, end));
    join_all(asked).await.into_iter().flatten().collect()
}

async fn recovers(
    caller: &SiteCaller,
    route: &SiteRoute,
    vm: usize,
    addr: SocketAddr,
    end: Instant,
) -> Option<String> {
    let mut n = 0;
    loop {
        n += 1;
        let answer = caller
            .request(addr, route, &format!("recover-{vm}-{n}"))
            .await;
        if answer.outcome == CallOutcome::Right(0) {
            return None;
        }
        if Instant::now() > end {
            return Some(format!("vm {vm} has not recovered: {answer:?}"));
        }
        tokio::time::sleep(LOOK_AGAIN).await;
    }
}
