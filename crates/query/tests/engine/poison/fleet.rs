//! Poisoned lookups sent again through several VMs.

use std::time::Duration;

use gs_query::Event;
use gs_query::NoticeSource;
use gs_query::PartReply;
use gs_types::prelude::*;

use super::crash;
use crate::world::World;

/// VMs that hear each other's signs at once, and servers that crash on every attempt they get.
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

    /// Tells every sign to every other VM.
    fn gossip(&mut self) {
        for n in 0..self.vms.len() {
            for sign in std::mem::take(&mut self.vms[n].spread) {
                for (other, w) in self.vms.iter_mut().enumerate() {
                    if other != n {
                        w.on(Event::Sign(sign.clone(), NoticeSource::Peer));
                    }
                }
            }
        }
    }

    /// Every attempt under way that was not cancelled reaches its server, which crashes.
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

    fn pass(&mut self, by: Duration) {
        for w in &mut self.vms {
            w.pass(by);
        }
        self.gossip();
    }
}

/// A caller sends a poisoned lookup again and again, each time to another VM. Two servers crash,
/// one under the first run and one under the canary; every later resend is refused at once.
#[test]
fn a_poisoned_lookup_resent_through_every_vm_crashes_two_servers() {
    let mut f = Fleet::new(3, 1);
    for n in 0..60 {
        f.vms[n % 3].arrive("book");
        f.crash_all();
        f.pass(Duration::from_millis(100));
    }
    f.crashed.sort();
    f.crashed.dedup();
    assert_eq!(f.crashed.len(), 2, "{:?}", f.crashed);
}

/// A poisoned lookup over many shards has crashed servers, and suspicion is up in the fleet. The
/// next poisoned text, seen for the first time, is shown to two servers one after the other and to
/// no more, at whichever VMs it is resent.
#[test]
fn under_suspicion_a_new_poisoned_fan_out_crashes_at_most_two_servers() {
    let mut f = Fleet::new(3, 8);
    f.vms[0].arrive("urgent");
    f.crash_all();
    f.crash_all();
    f.pass(Duration::from_secs(1));
    f.crashed.clear();
    for n in 0..60 {
        f.vms[n % 3].arrive_with(World::request("urgent", "another"));
        f.crash_all();
        f.pass(Duration::from_millis(100));
    }
    f.crashed.sort();
    f.crashed.dedup();
    assert!((1..=2).contains(&f.crashed.len()), "{:?}", f.crashed);
}
