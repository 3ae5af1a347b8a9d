//! The worst load: callers come far more often than the servers can serve.

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
use crate::world::good;
use crate::world::ms;
use crate::world::page_route;
use crate::world::table;

const SHARDS: [&str; 4] = ["s0", "s1", "s2", "s3"];

/// The time that a server works on a part.
const WORK: Duration = Duration::from_millis(15);

/// Requests that a server runs at the same time.
const SLOTS: usize = 2;

/// Servers with slots and queues, which answer in simulated time.
#[derive(Default)]
struct Servers {
    queues: BTreeMap<String, VecDeque<Dispatch>>,
    running: BTreeMap<String, usize>,
    due: BTreeMap<(Instant, u64), Dispatch>,
    next: u64,
}

impl Servers {
    /// Takes in what was dispatched and begins what has a slot.
    fn take(&mut self, w: &mut World) {
        while let Some(d) = w.sent.pop_front() {
            let queue = self.queues.entry(d.server.name.to_string()).or_default();
            queue.push_back(d);
        }
        for (name, queue) in &mut self.queues {
            let running = self.running.entry(name.clone()).or_default();
            while *running < SLOTS
                && let Some(d) = queue.pop_front()
            {
                *running += 1;
                self.next += 1;
                self.due.insert((w.now + WORK, self.next), d);
            }
        }
    }

    /// Lets time pass until `until`; servers answer on the way, with the load that they have.
    fn pass(&mut self, w: &mut World, until: Instant) {
        loop {
            self.take(w);
            let first = self.due.first_key_value().map(|(key, _)| *key);
            let Some(key) = first.filter(|(at, _)| *at <= until) else {
                break;
            };
            w.pass(key.0 - w.now);
            let Some(d) = self.due.remove(&key) else {
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
            let AttemptEnd::Answered(answer, _) = good(b'a') else {
                unreachable!("it is an answer");
            };
            w.tell(Event::Ended(
                d.attempt,
                AttemptEnd::Answered(answer, Some(load)),
            ));
        }
        w.pass(until - w.now);
    }
}

/// What came of a load.
struct Result {
    on_time: usize,
    late: usize,
    refused: usize,
}

/// Sends so many requests a second for three seconds.
fn load(per_second: u64) -> Result {
    let mut w = World::new(table(1, vec![page_route(&SHARDS, 0.75)])).with_pairs(&SHARDS);
    let mut servers = Servers::default();
    let gap = Duration::from_micros(1_000_000 / per_second);
    for _ in 0..per_second * 3 {
        w.ask("/page/x", ms(2500));
        let until = w.now + gap;
        servers.pass(&mut w, until);
    }
    let until = w.now + ms(3000);
    servers.pass(&mut w, until);
    let ended: Vec<_> = w.ended.iter().map(|(_, e)| e).collect();
    let is_page = |e: &&&gs_relay::RequestReport| matches!(e.outcome, Outcome::Page(_));
    let on_time = ended
        .iter()
        .filter(is_page)
        .filter(|e| e.took <= ms(150))
        .count();
    let refused = ended
        .iter()
        .filter(|e| matches!(e.outcome, Outcome::Refused(RefuseReason::Overload, Some(_))));
    Result {
        on_time,
        late: ended.iter().filter(is_page).count() - on_time,
        refused: refused.count(),
    }
}

/// Readers are turned away just after a start, as nothing is known yet of how long the work takes.
#[test]
fn the_first_callers_of_a_route_are_taken_on() {
    let mut w = World::new(table(1, vec![page_route(&SHARDS, 0.75)])).with_pairs(&SHARDS);
    for _ in 0..20 {
        w.ask("/page/x", ms(2500));
    }
    assert!(w.ended.is_empty(), "{:?}", w.ended.first());
}

/// Four slots a shard and 15 ms a part: 266 pages a second at the most.
const CAPACITY: u64 = 266;

#[test]
fn a_load_that_fits_is_served_on_time_and_nothing_is_refused() {
    let r = load(CAPACITY / 2);
    assert_eq!((r.late, r.refused), (0, 0));
}

/// Editors get every quote a second late while readers come twice as often as the servers can serve: all are
/// taken on, and each waits behind all others.
#[test]
fn at_twice_the_capacity_most_of_it_is_still_served_on_time() {
    let r = load(CAPACITY * 2);
    let possible = CAPACITY as usize * 3;
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

/// A refusal comes at once and says when to come back, and what is refused has sent nothing.
#[test]
fn what_is_turned_away_is_turned_away_at_once() {
    let mut w = World::new(table(1, vec![page_route(&SHARDS, 0.75)])).with_pairs(&SHARDS);
    let mut servers = Servers::default();
    // The time of the way is learned when connections open, and the rest is work.
    w.tell(Event::Opened("s0-near".parse().expect("a name"), ms(0)));
    w.tell(Event::Opened("s0-far".parse().expect("a name"), ms(16)));
    for _ in 0..20 {
        w.ask("/page/x", ms(2500));
        let until = w.now + ms(30);
        servers.pass(&mut w, until);
    }
    for _ in 0..200 {
        w.ask("/page/x", ms(2500));
    }
    let before = w.sent.len();
    let seq: LookupSeq = w.ask("/page/x", ms(2500));
    let Some(Outcome::Refused(RefuseReason::Overload, Some(retry))) =
        w.ending(seq).map(|e| &e.outcome)
    else {
        panic!("{:?}", w.ending(seq));
    };
    assert!(*retry >= ms(250) && *retry <= ms(1200), "{retry:?}");
    assert_eq!(w.sent.len(), before);
}
