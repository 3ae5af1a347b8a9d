//! Tests of lookups that crash the servers that execute them.

mod canary;
mod ends;
mod fleet;
mod proven;
mod signs;
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
    let notice = Notice::Quarantine {
        fingerprint: fingerprint("urgent"),
        crashes,
        rest,
    };
    w.on(Event::Sign(notice, NoticeSource::Peer));
}

/// Breaks the connection of an attempt, as a server's crash does.
fn crash(w: &mut World, d: &Dispatch) {
    w.sent(d);
    w.reply(d, PartReply::Broken);
}
