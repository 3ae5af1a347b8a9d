//! Tests of how late a follower notices that its peers are partitioned from the register.

use std::time::Duration;
use std::time::Instant;

use gs_follow::PEER_ANSWER_TIMEOUT;
use gs_follow::PEER_PROBE_TIMEOUT;
use gs_follow::PollSchedule;
use gs_follow::RegisterSource;
use gs_follow::SourceSelector;
use gs_follow::is_overdue;
use gs_follow::peer_watch_wait;
use rstest::rstest;

use crate::fixtures::HERE;
use crate::fixtures::data_centre;
use crate::fixtures::equal_vms;
use crate::fixtures::id;

/// The time within which a register that is reachable answers a call.
const REGISTER_ANSWER_MAX: Duration = Duration::from_millis(100);

/// The resolution of the simulated phases.
const STEP: Duration = Duration::from_millis(50);

/// The rounds of a direct VM before it is partitioned.
const ROUNDS: u32 = 8;

fn steps(until: Duration) -> impl Iterator<Item = Duration> {
    let steps = until.as_millis() / STEP.as_millis();
    (0..=steps as u32).map(|n| STEP * n)
}

/// Returns the starts of a direct VM's rounds, each of which ends with an answered heartbeat.
fn heartbeats(start: Instant) -> Vec<Instant> {
    let mut schedule = PollSchedule::new(start, false, Duration::from_secs(10));
    let mut now = start;
    let rounds = (0..ROUNDS).map(|_| {
        now += schedule.time_to_next(now);
        if schedule.begin_round(now) {
            schedule.on_list_polled(true);
        }
        now
    });
    rounds.collect()
}

/// Returns how long after the partition of both direct VMs a follower has a list of the register itself.
///
/// `watch_phase` is the time from the partition to the next answer of a watch.
fn time_to_list(
    drain: Duration,
    last_contact: Instant,
    partition: Instant,
    watch_phase: Duration,
) -> Duration {
    let vms = equal_vms(9);
    let mut selector = SourceSelector::new(id("vm-08"), data_centre(HERE));
    selector.set_vms(partition, &vms);
    let mut now = partition + watch_phase;
    while !is_overdue(now - last_contact) {
        now += peer_watch_wait(drain);
    }
    // A candidate may be silent; the direct VMs answer after a call that fails.
    now += PEER_ANSWER_TIMEOUT.max(PEER_PROBE_TIMEOUT);
    now += REGISTER_ANSWER_MAX;
    let overdue = selector.peers_to_query(now);
    selector.on_peers_overdue(now, &overdue);
    assert_eq!(*selector.source(), RegisterSource::Register);
    now += REGISTER_ANSWER_MAX;
    now - partition
}

/// Guards against stages of detection whose times together exceed the time within which changes must be in force.
#[rstest]
#[case::small_site(Duration::from_secs(3), Duration::from_secs(3))]
#[case::grown_site(Duration::from_secs(5), Duration::from_secs(5))]
#[case::large_site(Duration::from_secs(6), Duration::from_secs(6))]
fn changes_after_a_partition_of_all_direct_vms_are_known_in_time_at_every_phase(
    #[case] drain: Duration,
    #[case] apply_max: Duration,
) {
    let start = Instant::now();
    let heartbeats = heartbeats(start);
    for pair in heartbeats.windows(2) {
        for age in steps(pair[1] - pair[0]) {
            for watch_phase in steps(peer_watch_wait(drain)) {
                let took = time_to_list(drain, pair[0], pair[0] + age, watch_phase);
                assert!(took < apply_max, "{took:?}: {age:?}, {watch_phase:?}");
            }
        }
    }
}
