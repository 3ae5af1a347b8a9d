//! Tests of poisoned lookups that are retried through several VMs.

use std::time::Duration;

use gs_query::Event;
use gs_query::NoticeSource;
use gs_query::PartReply;
use gs_types::prelude::*;

use super::crash;
use crate::world::World;

/// VMs that receive each other's notices immediately, and servers that crash on every attempt.
struct Fleet {
    vms: Vec<World>,
    crashed: Vec<ServerName>,
}

impl Fleet {
    fn new(vms: usize, shards: u32) -> Self {
        Self {
            vms: (0..vms).map(|_| World::new(shards, 3)).collect(),
            crashed: Vec::new(),
        }
    }

    /// Sends every notice to every other VM.
    fn gossip(&mut self) {
        for n in 0..self.vms.len() {
            for notice in std::mem::take(&mut self.vms[n].notices) {
                for (other, w) in self.vms.iter_mut().enumerate() {
                    if other != n {
                        w.on(Event::Sign(notice.clone(), NoticeSource::Peer));
                    }
                }
            }
        }
    }

    /// Every live attempt reaches its server, which crashes.
    fn crash_all(&mut self) {
        for n in 0..self.vms.len() {
            let w = &mut self.vms[n];
            while let Some(d) = w.open.pop() {
                if w.cancelled.contains(&d.attempt) {
                    w.reply(&d, PartReply::NotSent);
                    continue;
                }
                crash(w, &d);
                self.crashed.push(d.server.name.clone());
            }
        }
        self.gossip();
    }

    fn advance(&mut self, by: Duration) {
        for w in &mut self.vms {
            w.advance(by);
        }
        self.gossip();
    }
}

/// A caller retries a poisoned lookup, each time through another VM. Two servers crash, one under
/// the first submission and one under the canary; every later retry is refused immediately.
#[test]
fn a_poisoned_lookup_resent_through_every_vm_crashes_two_servers() {
    let mut f = Fleet::new(3, 1);
    for n in 0..60 {
        f.vms[n % 3].arrive("book");
        f.crash_all();
        f.advance(Duration::from_millis(100));
    }
    f.crashed.sort();
    f.crashed.dedup();
    assert_eq!(f.crashed.len(), 2, "{:?}", f.crashed);
}

/// A poisoned lookup over many shards has crashed servers, and suspicion is raised on every VM. The
/// next poisoned query, seen for the first time, is sent to at most two servers one after the
/// other, through whichever VMs it is retried.
#[test]
fn under_suspicion_a_new_poisoned_fan_out_crashes_at_most_two_servers() {
    let mut f = Fleet::new(3, 8);
    f.vms[0].arrive("urgent");
    f.crash_all();
    f.crash_all();
    f.advance(Duration::from_secs(1));
    f.crashed.clear();
    for n in 0..60 {
        f.vms[n % 3].arrive_with(World::request("urgent", "another"));
        f.crash_all();
        f.advance(Duration::from_millis(100));
    }
    f.crashed.sort();
    f.crashed.dedup();
    assert!((1..=2).contains(&f.crashed.len()), "{:?}", f.crashed);
}

/// Prevents a poisoned lookup from crashing a server each time that its quarantine has ended.
#[test]
fn a_poisoned_lookup_is_quarantined_for_longer_each_time_that_it_crashes_a_server() {
    let mut f = Fleet::new(3, 1);
    for n in 0..6000 {
        f.vms[n % 3].arrive("book");
        f.crash_all();
        f.advance(Duration::from_millis(100));
    }
    // Two prove it; quarantines of 30 s, 2 min and 8 min end, or nearly end, in these ten minutes.
    assert!(f.crashed.len() <= 5, "{} crashes", f.crashed.len());
}
