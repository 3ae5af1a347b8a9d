//! The budget of repeats that all VMs share, counted by what arrives at the backend servers.

use std::time::Duration;
use std::time::Instant;

use gs_rig::site::BackendFaults;
use gs_rig::site::RepeatBudget;
use gs_rig::site::SiteRoute;
use rustix::process::Signal;

use crate::support::TestSite;
use crate::support::start_site_with_budget;

/// The number of VMs.
const VMS: usize = 6;

/// A budget that six VMs use up with a few requests each.
const BUDGET: RepeatBudget = RepeatBudget {
    window: Duration::from_secs(6),
    ratio: 0.2,
    slack: 30.0,
};

/// More than the longest time for which a VM sends nothing to servers that it could not reach.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Starts a site whose VMs all know each other and have been running for more than a window.
async fn start_warm_site() -> TestSite {
    let r = start_site_with_budget(VMS, BUDGET).await;
    r.wait_until("all VMs to be known", |r| {
        let all_known = format!("event=vms listed={VMS} ");
        r.logs().matches(&all_known).count() >= VMS
    })
    .await;
    tokio::time::sleep(BUDGET.window).await;
    r
}

/// Injects faults into all servers of the service `desk`.
fn set_desk_faults(r: &TestSite, faults: BackendFaults) {
    let desk = r.site.backends.iter().filter(|b| b.service() == "desk");
    desk.for_each(|b| b.set_faults(faults));
}

/// Makes all servers of the service `desk` fail every request.
fn fail_desk(r: &TestSite) {
    let fails = BackendFaults {
        fails: true,
        ..BackendFaults::default()
    };
    set_desk_faults(r, fails);
}

/// Kills all VMs at once and restarts them.
async fn kill_and_restart_all(r: &mut TestSite) {
    for vm in 0..VMS {
        r.site.vms[vm].signal(Signal::KILL);
    }
    for vm in 0..VMS {
        let ended = r.site.vms[vm].wait_for_exit(Duration::from_secs(5)).await;
        ended.expect("it ends");
        let plan = r.site.vms[vm].plan().clone();
        r.site.vms[vm] = r.site.launch(vm, plan).expect("it starts again");
    }
    for vm in &mut r.site.vms {
        let ready = vm.wait_until_ready(Duration::from_secs(5)).await;
        ready.expect("it is ready");
    }
}

/// Sends requests to a VM until one arrives at a server of `desk`: until then the VM refuses them, as it could reach none
/// before.
async fn request_until_sent(r: &mut TestSite, vm: usize, route: &SiteRoute) {
    let before = r.site.traffic.arrivals("desk");
    let end = Instant::now() + BACKOFF_MAX;
    while r.site.traffic.arrivals("desk") == before {
        assert!(Instant::now() < end, "VM {vm} sends nothing");
        r.request(vm, route).await;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against processes that each use the whole slack within one window.
#[tokio::test]
async fn repeats_keep_within_the_budget_while_all_vms_are_killed_again_and_again() {
    let mut r = start_warm_site().await;
    let route = r.route("/one/");
    fail_desk(&r);
    for round in 0..4 {
        if round > 0 {
            kill_and_restart_all(&mut r).await;
        }
        r.request_all(8, &route).await;
    }
    let excesses = r.site.traffic.excesses(&BUDGET);
    let lines = || r.log_lines(&["event=slack-shares", "event=vms"]);
    assert!(excesses.is_empty(), "{excesses:#?}\n{}", lines());
    assert!(r.site.traffic.repeats("desk") > 0);
}

/// Guards against VMs that each use a larger share of the slack while others restart.
#[tokio::test]
async fn repeats_keep_within_the_budget_while_vms_are_restarted_in_turn() {
    let mut r = start_warm_site().await;
    let route = r.route("/one/");
    fail_desk(&r);
    for pair in 0..VMS / 2 {
        r.request_all(6, &route).await;
        for vm in [2 * pair, 2 * pair + 1] {
            r.site.vms[vm].signal(Signal::TERM);
        }
        for vm in [2 * pair, 2 * pair + 1] {
            let ended = r.site.vms[vm].wait_for_exit(Duration::from_secs(8)).await;
            ended.expect("it ends");
            r.restart(vm).await;
        }
    }
    r.request_all(6, &route).await;
    let excesses = r.site.traffic.excesses(&BUDGET);
    let lines = || r.log_lines(&["event=slack-shares", "event=vms"]);
    assert!(excesses.is_empty(), "{excesses:#?}\n{}", lines());
    assert!(r.site.traffic.repeats("desk") > 0);
}

/// Guards against unlimited attempts of a request at servers that refused connections before and now reject every
/// request.
#[tokio::test]
async fn repeats_keep_within_the_budget_while_restarted_servers_shed() {
    let mut r = start_warm_site().await;
    let route = r.route("/one/");
    r.request_all(2, &route).await;
    let sheds = BackendFaults {
        sheds: true,
        ..BackendFaults::default()
    };
    set_desk_faults(&r, sheds);
    let is_desk = |n: &usize| r.site.backends[*n].service() == "desk";
    let desk: Vec<usize> = (0..r.site.backends.len()).filter(is_desk).collect();
    for n in &desk {
        r.site.backends[*n].crash();
    }
    r.request_all(2, &route).await;
    for n in &desk {
        let restarted = r.site.backends[*n].restart().await;
        restarted.expect("it starts again");
    }
    for vm in 0..VMS {
        request_until_sent(&mut r, vm, &route).await;
    }
    r.request_all(40, &route).await;
    let excesses = r.site.traffic.excesses(&BUDGET);
    assert!(excesses.is_empty(), "{excesses:#?}");
    let lines = || r.log_lines(&["event=request-end", "event=request-attempt"]);
    assert!(r.site.traffic.repeats("desk") > 0, "{}", lines());
}
