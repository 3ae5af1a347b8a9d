//! Tests of overload: callers send far more requests than the servers can execute.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use gs_relay::AttemptEnd;
use gs_relay::Dispatch;
use gs_relay::Event;
use gs_relay::Load;
use gs_relay::Outcome;
use gs_relay::RefuseReason;
use gs_types::prelude::*;

use crate::world::World;
use crate::world::ms;
use crate::world::page_route;
use crate::world::success;
use crate::world::table;

const SHARDS: [&str; 4] = ["s0", "s1", "s2", "s3"];

/// The time that a server takes to execute a part.
const EXECUTION_TIME: Duration = Duration::from_millis(15);

/// Number of parts that a server executes at the same time.
const SLOTS: usize = 2;

/// Servers with slots and queues that answer in simulated time.
#[derive(Default)]
struct Servers {
    queues: BTreeMap<String, VecDeque<Dispatch>>,
    running: BTreeMap<String, usize>,
    /// Attempts in execution, by the time of their answer and a unique number.
    answers_due: BTreeMap<(Instant, u64), Dispatch>,
    next_number: u64,
}

impl Servers {
    /// Queues the open attempts and starts those that get a slot.
    fn accept_attempts(&mut self, w: &mut World) {
        while let Some(d) = w.open.pop_front() {
            let queue = self.queues.entry(d.server.name.to_string()).or_default();
            queue.push_back(d);
        }
        for (name, queue) in &mut self.queues {
            let running = self.running.entry(name.clone()).or_default();
            while *running < SLOTS
                && let Some(d) = queue.pop_front()
            {
                *running += 1;
                self.next_number += 1;
                self.answers_due
                    .insert((w.now + EXECUTION_TIME, self.next_number), d);
            }
        }
    }

    /// Advances the clock to `until`; servers answer on the way and report their load.
    fn advance_to(&mut self, w: &mut World, until: Instant) {
        loop {
            self.accept_attempts(w);
            let first = self.answers_due.first_key_value().map(|(key, _)| *key);
            let Some(key) = first.filter(|(at, _)| *at <= until) else {
                break;
            };
            w.advance(key.0 - w.now);
            let Some(d) = self.answers_due.remove(&key) else {
                break;
            };
            let name = d.server.name.to_string();
            let running = self.running.entry(name.clone()).or_default();
            *running -= 1;
            let load = Load {
                running: *running as u32,
                waiting: self.queues[&name].len() as u32,
                slots: SLOTS as u32,
            };
            let AttemptEnd::Answered(answer, _) = success(b'a') else {
                unreachable!("it is an answer");
            };
            w.on(Event::Ended(
                d.attempt,
                AttemptEnd::Answered(answer, Some(load)),
            ));
        }
        w.advance(until - w.now);
    }
}

/// Number of requests by outcome.
struct LoadResult {
    on_time: usize,
    late: usize,
    refused: usize,
}

/// Sends this number of requests per second for three seconds.
fn run_load(per_second: u64) -> LoadResult {
    let mut w = World::new(table(1, vec![page_route(&SHARDS, 0.75)])).with_server_pairs(&SHARDS);
    let mut servers = Servers::default();
    let gap = Duration::from_micros(1_000_000 / per_second);
    for _ in 0..per_second * 3 {
        w.arrive("/page/x", ms(2500));
        let until = w.now + gap;
        servers.advance_to(&mut w, until);
    }
    let until = w.now + ms(3000);
    servers.advance_to(&mut w, until);
    let reports: Vec<_> = w.reports.iter().map(|(_, r)| r).collect();
    let is_page = |r: &&&gs_relay::RequestReport| matches!(r.outcome, Outcome::Page(_));
    let on_time = reports
        .iter()
        .filter(is_page)
        .filter(|r| r.took <= ms(150))
        .count();
    let refused = reports
        .iter()
        .filter(|r| matches!(r.outcome, Outcome::Refused(RefuseReason::Overload, Some(_))));
    LoadResult {
        on_time,
        late: reports.iter().filter(is_page).count() - on_time,
        refused: refused.count(),
    }
}

/// Execution times are unknown just after the start. The initial estimate must not cause the first
/// callers to be refused.
#[test]
fn the_first_requests_of_a_route_are_admitted() {
    let mut w = World::new(table(1, vec![page_route(&SHARDS, 0.75)])).with_server_pairs(&SHARDS);
    for _ in 0..20 {
        w.arrive("/page/x", ms(2500));
    }
    assert!(w.reports.is_empty(), "{:?}", w.reports.first());
}

/// The most pages per second, with four slots per shard and 15 ms per part.
const PAGES_PER_SECOND_MAX: u64 = 266;

#[test]
fn a_load_that_fits_is_served_on_time_and_nothing_is_refused() {
    let r = run_load(PAGES_PER_SECOND_MAX / 2);
    assert_eq!((r.late, r.refused), (0, 0));
}

/// Readers send twice as many requests as the servers can execute. If all were admitted, each would
/// wait behind all others, and every quote of an editor would be a second late.
#[test]
fn at_twice_the_capacity_most_of_it_is_still_served_on_time() {
    let r = run_load(PAGES_PER_SECOND_MAX * 2);
    let possible = PAGES_PER_SECOND_MAX as usize * 3;
    assert!(
        r.on_time * 10 >= possible * 6,
        "{} of {possible}",
        r.on_time
    );
    assert!(
        r.late * 10 <= r.on_time,
        "{} late, {} on time",
        r.late,
        r.on_time
    );
    assert!(r.refused > 0);
}

/// A request is refused immediately with a time after which to retry, and nothing is sent for it.
#[test]
fn requests_beyond_the_capacity_are_refused_immediately() {
    let mut w = World::new(table(1, vec![page_route(&SHARDS, 0.75)])).with_server_pairs(&SHARDS);
    let mut servers = Servers::default();
    // The round trip is learned when connections are opened; the rest is execution time.
    w.on(Event::Opened("s0-near".parse().expect("a name"), ms(0)));
    w.on(Event::Opened("s0-far".parse().expect("a name"), ms(16)));
    for _ in 0..20 {
        w.arrive("/page/x", ms(2500));
        let until = w.now + ms(30);
        servers.advance_to(&mut w, until);
    }
    for _ in 0..200 {
        w.arrive("/page/x", ms(2500));
    }
    let before = w.open.len();
    let seq: LookupSeq = w.arrive("/page/x", ms(2500));
    let Some(Outcome::Refused(RefuseReason::Overload, Some(retry))) =
        w.report(seq).map(|r| &r.outcome)
    else {
        panic!("{:?}", w.report(seq));
    };
    assert!(*retry >= ms(250) && *retry <= ms(1200), "{retry:?}");
    assert_eq!(w.open.len(), before);
}
