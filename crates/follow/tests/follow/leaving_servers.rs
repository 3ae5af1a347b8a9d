//! Tests of the time from the removal of a server's entry to the last request that reaches the server.

use std::time::Duration;
use std::time::Instant;

use gs_follow::OVERDUE_THRESHOLD;
use gs_follow::OutageTracker;
use gs_follow::PEER_ANSWER_TIMEOUT;
use gs_follow::PollSchedule;
use gs_follow::READ_REPEAT_DELAY;
use gs_relay::CoalesceDelay;
use gs_relay::is_removal_final;
use rstest::rstest;

/// The time within which a register that is reachable answers a call.
const REGISTER_ANSWER_MAX: Duration = Duration::from_millis(100);

/// The time that a change takes from a direct VM to its followers.
const FOLLOWER_HOP_MAX: Duration = Duration::from_millis(50);

/// The time that a request takes from a VM to a server.
const REQUEST_TRANSIT_MAX: Duration = Duration::from_millis(30);

/// The shortest time for which a removed server continues to serve on any site.
const DRAIN_MIN: Duration = Duration::from_secs(3);

/// The resolution of the simulated phases.
const STEP: Duration = Duration::from_millis(50);

/// How long the register had been answering before the partition.
const STABLE_BEFORE: Duration = Duration::from_secs(60);

/// What is partitioned from the register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Partition {
    /// The direct VM that the follower follows.
    Followed,
    /// Both direct VMs of the data centre.
    BothDirect,
}

/// When things happen, each as the time after the followed VM began its latest coalescing delay.
#[derive(Clone, Copy, Debug)]
struct Moments {
    removal: Duration,
    /// The last answer of the register to the followed VM.
    contact: Duration,
}

fn steps(from: Duration, until: Duration) -> impl Iterator<Item = Duration> {
    let steps = until.saturating_sub(from).as_millis() / STEP.as_millis();
    (0..=steps as u32).map(move |n| from + STEP * n)
}

/// Returns the longest delay between two watches in a series of changes.
fn coalesce_max(drain: Duration) -> Duration {
    let mut coalesce = CoalesceDelay::new(drain, false);
    let delays = (0..10).map(|_| {
        coalesce.on_changes(Duration::ZERO, Duration::from_secs(60));
        coalesce.delay()
    });
    delays.max().unwrap_or_default()
}

/// Returns the longest time between two heartbeats.
fn heartbeat_interval() -> Duration {
    let start = Instant::now();
    let mut schedule = PollSchedule::new(start, false, Duration::from_secs(10));
    let mut now = start;
    let waits = (0..10).map(|_| {
        let wait = schedule.time_to_next(now);
        now += wait;
        if schedule.begin_round(now) {
            schedule.on_list_polled(true);
        }
        wait
    });
    waits.max().unwrap_or_default()
}

/// Returns how long after the removal the last request of a follower reaches the server.
fn last_request_after(drain: Duration, partition: Partition, at: Moments) -> Duration {
    let start = Instant::now() + STABLE_BEFORE;
    let mut tracker = OutageTracker::default();
    tracker.on_report(start + at.contact, start - STABLE_BEFORE);
    // The peer answers waiting watches as soon as it is overdue.
    let noticed = at.contact + OVERDUE_THRESHOLD + FOLLOWER_HOP_MAX;
    let queried = noticed + PEER_ANSWER_TIMEOUT;
    let known = match partition {
        Partition::Followed => {
            tracker.on_report(start + queried, start - STABLE_BEFORE);
            queried.max(at.removal + coalesce_max(drain)) + FOLLOWER_HOP_MAX
        }
        Partition::BothDirect => {
            let probed = queried + REGISTER_ANSWER_MAX;
            tracker.on_answer(start + probed);
            probed + REGISTER_ANSWER_MAX
        }
    };
    let stable_for = tracker.stable_for(start + known);
    assert!(is_removal_final(stable_for), "{stable_for:?}: {at:?}");
    (known + REQUEST_TRANSIT_MAX).saturating_sub(at.removal)
}

/// Returns how long after all open connections to the register have gone silent the last request of a follower reaches a
/// server that is removed then.
///
/// `contact` is the time from the last answer to the silence. A direct VM reads once in each heartbeat interval, and begins
/// its watches again when a read is answered over a new connection.
fn last_request_after_silence(contact: Duration) -> Duration {
    let silence = Instant::now() + STABLE_BEFORE;
    let read_at = heartbeat_interval().saturating_sub(contact);
    let answered = read_at + READ_REPEAT_DELAY + REGISTER_ANSWER_MAX;
    let known = answered + REGISTER_ANSWER_MAX + FOLLOWER_HOP_MAX;
    let mut tracker = OutageTracker::default();
    tracker.on_report(silence - contact, silence - STABLE_BEFORE);
    tracker.on_answer(silence + answered);
    let stable_for = tracker.stable_for(silence + known);
    assert!(is_removal_final(stable_for), "{stable_for:?}: {contact:?}");
    known + REQUEST_TRANSIT_MAX
}

/// Guards against silent connections that are taken for an outage of the register: noticing them and the time for which
/// servers are kept after an outage exceed the time after which a VM counts as undisturbed.
#[test]
fn a_removed_server_gets_its_last_request_in_time_after_connections_have_gone_silent() {
    for contact in steps(Duration::ZERO, heartbeat_interval()) {
        let took = last_request_after_silence(contact);
        assert!(took < DRAIN_MIN, "{took:?}: {contact:?}");
    }
}

/// Guards against stages of detection and of removal whose times together exceed the time for which a removed server
/// continues to serve.
#[rstest]
fn a_follower_sends_the_last_request_to_a_removed_server_in_time_at_every_phase(
    #[values(3, 5, 6)] drain_s: u64,
    #[values(Partition::Followed, Partition::BothDirect)] partition: Partition,
) {
    let drain = Duration::from_secs(drain_s);
    let interval = heartbeat_interval();
    for partition_at in steps(Duration::ZERO, coalesce_max(drain)) {
        for age in steps(Duration::ZERO, interval + REGISTER_ANSWER_MAX) {
            let contact = partition_at.saturating_sub(age);
            for removal in steps(Duration::ZERO, partition_at + drain) {
                let at = Moments { removal, contact };
                let took = last_request_after(drain, partition, at);
                assert!(took < drain, "{took:?} of {drain:?}: {at:?}");
            }
        }
    }
}
