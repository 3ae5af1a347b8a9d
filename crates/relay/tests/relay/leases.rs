//! VMs that are gone without a word.

use std::time::Duration;
use std::time::Instant;

use gs_relay::LeaseCheck;
use gs_relay::Leases;
use gs_relay::Listed;
use gs_relay::renewal_interval;
use gs_types::prelude::*;

/// How often a VM renews its announcement.
const RENEW: Duration = Duration::from_secs(60);

const LOOK_EVERY: Duration = Duration::from_secs(10);

fn id(name: &str) -> VmId {
    name.parse().expect("a name")
}

fn list(entries: &[(&str, u64)]) -> Vec<Listed> {
    let listed = entries.iter().map(|(name, revision)| Listed {
        vm: id(name),
        revision: *revision,
    });
    listed.collect()
}

/// A VM's looks, ten seconds apart, from a start; `listed` gives the list by the seconds since.
fn looks(
    me: &str,
    seconds: u64,
    listed: impl Fn(u64) -> Option<Vec<Listed>>,
) -> Vec<(u64, LeaseCheck)> {
    let mut leases = Leases::new(RENEW);
    let start = Instant::now();
    let times = (0..seconds).step_by(LOOK_EVERY.as_secs() as usize);
    let seen = times.filter_map(|t| {
        let now = start + Duration::from_secs(t);
        listed(t).map(|l| (t, leases.check(now, &id(me), &l)))
    });
    seen.collect()
}

fn first_gone(looks: &[(u64, LeaseCheck)]) -> Option<u64> {
    let found = looks.iter().find(|(_, l)| !l.expired.is_empty());
    found.map(|(t, _)| *t)
}

fn first_removal(looks: &[(u64, LeaseCheck)]) -> Option<u64> {
    let found = looks.iter().find(|(_, l)| !l.remove.is_empty());
    found.map(|(t, _)| *t)
}

/// Renewed every minute; `vm-3` is not from second 60 on.
fn with_one_lost(t: u64) -> Option<Vec<Listed>> {
    let renewed = t / 60;
    Some(list(&[
        ("vm-1", renewed),
        ("vm-2", renewed),
        ("vm-3", renewed.min(1)),
    ]))
}

/// A VM loses power and stays listed for good: its part of what servers accept is never used again, and
/// pages are left to it that it cannot bring.
#[test]
fn a_vm_that_no_longer_renews_is_gone_after_three_and_a_half_renewals() {
    let seen = looks("vm-1", 400, with_one_lost);
    assert_eq!(first_gone(&seen), Some(270));
    let (_, look) = seen.last().expect("looks");
    assert_eq!(look.expired, [id("vm-3")]);
}

#[test]
fn one_vm_after_the_other_removes_it_so_that_one_call_is_enough() {
    assert_eq!(first_removal(&looks("vm-1", 400, with_one_lost)), Some(270));
    let second = looks("vm-2", 400, with_one_lost);
    assert_eq!(
        (first_gone(&second), first_removal(&second)),
        (Some(270), Some(280))
    );
    let (_, look) = second.last().expect("looks");
    assert_eq!(look.remove, list(&[("vm-3", 1)]));
}

#[test]
fn a_vm_never_takes_itself_for_gone() {
    let seen = looks("vm-3", 400, with_one_lost);
    assert_eq!(first_gone(&seen), None);
}

/// The platform is away for ten minutes, in which nobody can renew. On its return every VM takes all the
/// others for gone, opens as many connections as if it were alone, and servers reset them by the thousand.
#[test]
fn an_outage_makes_no_vm_gone() {
    let renewed = |t: u64| match t {
        0..790 => t.min(90) / 30,
        _ => t / 30,
    };
    let listed = |t: u64| match t {
        100..700 => None,
        _ => Some(list(&[("vm-1", t / 30), ("vm-2", renewed(t))])),
    };
    let seen = looks("vm-1", 900, listed);
    assert_eq!(first_gone(&seen), None);
}

/// A VM that was cut off for minutes renews again.
#[test]
fn a_vm_that_renews_again_is_back() {
    let listed = |t: u64| {
        let renewed = if t < 300 { 0 } else { t / 60 };
        Some(list(&[("vm-1", t / 60), ("vm-2", renewed)]))
    };
    let seen = looks("vm-1", 400, listed);
    assert_eq!(first_gone(&seen), Some(210));
    let (_, look) = seen.last().expect("looks");
    assert_eq!(look, &LeaseCheck::default());
}

#[test]
fn a_large_fleet_renews_more_seldom() {
    assert_eq!(renewal_interval(RENEW, 9), Duration::from_secs(60));
    assert_eq!(renewal_interval(RENEW, 7_400), Duration::from_secs(1_480));
}
