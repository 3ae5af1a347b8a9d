//! Tests of VMs that disappear without notice.

use std::time::Duration;
use std::time::Instant;

use gs_relay::LeaseCheck;
use gs_relay::Leases;
use gs_relay::ListedAnnouncement;
use gs_relay::renewal_interval;
use gs_types::prelude::*;

/// The interval at which a VM renews its announcement.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(60);

/// The interval at which a VM checks the list.
const CHECK_INTERVAL: Duration = Duration::from_secs(10);

fn id(name: &str) -> VmId {
    name.parse().expect("a name")
}

/// Returns a list of VMs with the revisions of their announcements.
fn list(entries: &[(&str, u64)]) -> Vec<ListedAnnouncement> {
    let listed = entries.iter().map(|(name, revision)| ListedAnnouncement {
        vm: id(name),
        revision: Revision::from(*revision),
    });
    listed.collect()
}

/// Returns the results of a VM's checks with their times in seconds since the start; `listed`
/// returns the list at such a time, or `None` if it is unavailable.
fn checks(
    me: &str,
    seconds: u64,
    listed: impl Fn(u64) -> Option<Vec<ListedAnnouncement>>,
) -> Vec<(u64, LeaseCheck)> {
    let mut leases = Leases::new(RENEWAL_INTERVAL);
    let start = Instant::now();
    let times = (0..seconds).step_by(CHECK_INTERVAL.as_secs() as usize);
    let results = times.filter_map(|t| {
        let now = start + Duration::from_secs(t);
        listed(t).map(|l| (t, leases.check(now, &id(me), &l)))
    });
    results.collect()
}

/// Returns the time of the first check with an expired VM.
fn first_expiry(checks: &[(u64, LeaseCheck)]) -> Option<u64> {
    let found = checks.iter().find(|(_, c)| !c.expired.is_empty());
    found.map(|(t, _)| *t)
}

/// Returns the time of the first check with an announcement to remove.
fn first_removal(checks: &[(u64, LeaseCheck)]) -> Option<u64> {
    let found = checks.iter().find(|(_, c)| !c.remove.is_empty());
    found.map(|(t, _)| *t)
}

/// Returns the list at `t` seconds: every VM renews each minute, but `vm-3` only until second 60.
fn with_one_lost(t: u64) -> Option<Vec<ListedAnnouncement>> {
    let renewed = t / 60;
    Some(list(&[
        ("vm-1", renewed),
        ("vm-2", renewed),
        ("vm-3", renewed.min(1)),
    ]))
}

/// A VM loses power. If it stayed listed, its share of the servers' connections would never be used
/// again, and parts would be delegated to it that it cannot return.
#[test]
fn a_vm_that_no_longer_renews_expires_after_three_and_a_half_intervals() {
    let results = checks("vm-1", 400, with_one_lost);
    assert_eq!(first_expiry(&results), Some(270));
    let (_, last) = results.last().expect("checks");
    assert_eq!(last.expired, [id("vm-3")]);
}

#[test]
fn vms_remove_an_expired_vm_one_after_another_so_that_one_call_is_enough() {
    assert_eq!(
        first_removal(&checks("vm-1", 400, with_one_lost)),
        Some(270)
    );
    let second = checks("vm-2", 400, with_one_lost);
    assert_eq!(
        (first_expiry(&second), first_removal(&second)),
        (Some(270), Some(280))
    );
    let (_, last) = second.last().expect("checks");
    assert_eq!(last.remove, list(&[("vm-3", 1)]));
}

#[test]
fn a_vm_never_considers_itself_expired() {
    let results = checks("vm-3", 400, with_one_lost);
    assert_eq!(first_expiry(&results), None);
}

/// The platform is unreachable for ten minutes, in which no VM can renew. If every VM then
/// considered all others expired, each would open as many connections as if it were alone, and
/// servers would reset them by the thousand.
#[test]
fn an_outage_expires_no_vm() {
    let renewed = |t: u64| match t {
        0..790 => t.min(90) / 30,
        _ => t / 30,
    };
    let listed = |t: u64| match t {
        100..700 => None,
        _ => Some(list(&[("vm-1", t / 30), ("vm-2", renewed(t))])),
    };
    let results = checks("vm-1", 900, listed);
    assert_eq!(first_expiry(&results), None);
}

/// A VM was partitioned for minutes and renews again.
#[test]
fn a_vm_that_renews_again_is_no_longer_expired() {
    let listed = |t: u64| {
        let renewed = if t < 300 { 0 } else { t / 60 };
        Some(list(&[("vm-1", t / 60), ("vm-2", renewed)]))
    };
    let results = checks("vm-1", 400, listed);
    assert_eq!(first_expiry(&results), Some(210));
    let (_, last) = results.last().expect("checks");
    assert_eq!(last, &LeaseCheck::default());
}

#[test]
fn a_large_fleet_renews_less_often() {
    assert_eq!(
        renewal_interval(RENEWAL_INTERVAL, 9),
        Duration::from_secs(60)
    );
    assert_eq!(
        renewal_interval(RENEWAL_INTERVAL, 7_400),
        Duration::from_secs(1_480)
    );
}
