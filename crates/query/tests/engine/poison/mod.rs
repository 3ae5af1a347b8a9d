//! Lookups that crash the servers that run them.

mod canary;
mod fleet;
mod proven;
mod together;

use std::time::Duration;

use gs_query::Dispatch;
use gs_query::Event;
use gs_query::Notice;
use gs_query::NoticeSource;
use gs_query::PartReply;
use gs_types::prelude::*;

use crate::world::World;

fn fingerprint(lookup: &str) -> Fingerprint {
    World::request(lookup, "pine").fingerprint()
}

fn quarantine(w: &mut World, crashes: u32, rest: Duration) {
    let sign = Notice::Quarantine {
        fingerprint: fingerprint("urgent"),
        crashes,
        rest,
    };
    w.on(Event::Sign(sign, NoticeSource::Peer));
}

/// Breaks an attempt as a crash does.
fn crash(w: &mut World, d: &Dispatch) {
    w.sent(d);
    w.reply(d, PartReply::Broken);
}
