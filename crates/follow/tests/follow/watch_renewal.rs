//! Tests of how late a change is in force after a silence of the register in which watches were lost.

use std::time::Duration;

use gs_follow::WatchRenewal;
use gs_relay::CoalesceDelay;
use rstest::rstest;

/// The time within which a register that is reachable answers a call.
const REGISTER_ANSWER_MAX: Duration = Duration::from_millis(100);

/// The time that a change takes from a direct VM to its followers.
const FOLLOWER_HOP_MAX: Duration = Duration::from_millis(100);

/// The resolution of the simulated phases.
const STEP: Duration = Duration::from_millis(100);

/// The longest simulated silence; a heartbeat notices longer ones.
const SILENCE_MAX: Duration = Duration::from_millis(3000);

/// Bounds of a site.
#[derive(Clone, Copy)]
struct Bounds {
    /// How long a removed server continues to serve.
    drain: Duration,
    /// How long after its confirmation a change may take to be in force.
    apply: Duration,
    /// How long after a disturbance a VM counts as undisturbed again.
    stable: Duration,
}

/// A silence of the register.
#[derive(Clone, Copy, Debug)]
struct Silence {
    start: Duration,
    end: Duration,
}

impl Silence {
    fn contains(self, at: Duration) -> bool {
        (self.start..self.end).contains(&at)
    }
}

fn secs(drain: u64, apply: u64, stable: u64) -> Bounds {
    let [drain, apply, stable] = [drain, apply, stable].map(Duration::from_secs);
    Bounds {
        drain,
        apply,
        stable,
    }
}

fn steps(from: Duration, until: Duration) -> impl Iterator<Item = Duration> {
    let steps = until.saturating_sub(from).as_millis() / STEP.as_millis();
    (0..=steps as u32).map(move |n| from + STEP * n)
}

/// Returns when a direct VM has received the change that the register confirmed at `change`.
///
/// A watch begins at `begin`, `since_change` after the latest change. Whatever the register receives or would answer in
/// the silence is lost. No other call is made, so the age of reads does not matter.
fn received_at(
    bounds: Bounds,
    begin: Duration,
    since_change: Option<Duration>,
    silence: Silence,
    change: Duration,
) -> Duration {
    let renewal = WatchRenewal::new(bounds.drain);
    let (mut begin, mut since_change) = (begin, since_change);
    loop {
        let wait = renewal.wait(since_change);
        let answer = begin + wait;
        let answer = answer.min(change.max(begin));
        let is_lost = silence.contains(begin) || silence.contains(answer);
        if !is_lost && change <= answer {
            return answer + REGISTER_ANSWER_MAX;
        }
        let next = match is_lost {
            true => begin + WatchRenewal::overdue_after(wait),
            false => answer,
        };
        since_change = since_change.map(|since| since + (next - begin));
        begin = next;
    }
}

/// Returns the latest time at which a change must be in force.
fn due_at(bounds: Bounds, silence: Silence, change: Duration) -> Duration {
    (change + bounds.apply).max(silence.end + bounds.stable)
}

/// Guards against a watch that is trusted for longer than changes may take, whenever the silence comes in which it is lost.
#[rstest]
#[case::small_site(secs(3, 3, 4))]
#[case::grown_site(secs(5, 5, 6))]
#[case::large_site(secs(6, 6, 6))]
fn changes_after_a_lost_watch_are_in_force_in_time_at_every_phase(#[case] bounds: Bounds) {
    let coalesce_max = bounds.drain.mul_f64(0.4);
    let before_watch = steps(Duration::ZERO, coalesce_max).map(Some);
    for since_change in before_watch.chain([None]) {
        let begin = since_change.unwrap_or_default();
        for start in steps(Duration::ZERO, begin + bounds.drain) {
            for end in steps(start + STEP, start + SILENCE_MAX) {
                let silence = Silence { start, end };
                for change in steps(Duration::ZERO, end + bounds.stable) {
                    let received = received_at(bounds, begin, since_change, silence, change);
                    let in_force = received + FOLLOWER_HOP_MAX;
                    let due = due_at(bounds, silence, change);
                    assert!(
                        in_force <= due,
                        "{in_force:?} > {due:?}: {since_change:?}, {silence:?}, {change:?}"
                    );
                }
            }
        }
    }
}

/// Guards against coalescing that delays the watch after a change until it no longer counts as following the change.
#[rstest]
#[case(Duration::from_secs(3))]
#[case(Duration::from_secs(6))]
fn the_watch_after_coalesced_changes_is_shorter_than_others(#[case] drain: Duration) {
    let mut coalesce = CoalesceDelay::new(drain, false);
    let renewal = WatchRenewal::new(drain);
    for _ in 0..5 {
        coalesce.on_changes(Duration::ZERO, Duration::from_secs(60));
        let since_change = Some(coalesce.delay());
        assert!(renewal.wait(since_change) < renewal.wait(None));
    }
}
