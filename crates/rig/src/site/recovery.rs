//! Checks that all VMs serve complete pages again once the faults of a soak are over, on a route that is added then.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::Instant;

use super::caller::CallOutcome;
use super::caller::SiteCaller;
use super::config::SiteConfig;
use super::config::SiteRoute;
use super::setup::Site;

/// The time within which every VM must serve complete pages again once the faults are over.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// The interval between two requests to a VM.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Adds a route for the check: a VM that no longer receives changes does not have it.
pub(super) fn add_route(cfg: &mut SiteConfig) {
    let mut route = cfg.routes[0].clone();
    route.prefix = "/recovered/".to_owned();
    cfg.routes.push(route);
}

/// Queries every VM until it serves a complete page, and returns a message for each that did not in time.
///
/// All VMs are queried concurrently: one after the other, the last of sixty would have no time left.
pub(super) async fn unrecovered_vms(site: &Site) -> Vec<String> {
    let caller = site.caller();
    let end = Instant::now() + RECOVERY_TIMEOUT;
    let route = &site.config.routes[site.config.routes.len() - 1];
    let vms = site.vms.iter().enumerate();
    let checks = vms.map(|(n, vm)| wait_for_recovery(&caller, route, n, vm.plan().callers, end));
    join_all(checks).await.into_iter().flatten().collect()
}

async fn wait_for_recovery(
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
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
