//! What replies say about servers and lookups besides their parts.

use std::time::Duration;
use std::time::Instant;

use gs_route::Failure;
use gs_route::ServerIdx;
use gs_types::prelude::*;

use crate::action::Action;
use crate::core::Core;
use crate::event::PartReply;
use crate::suspects::Crash;
use crate::suspects::Finding;

/// Crashes under suspicion of which peers are told one by one.
const CRASHES_TOLD: u32 = 2;

/// What a reply means to the view of its server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Heard {
    pub(crate) server: ServerIdx,
    /// Whether the reply speaks of the run known now.
    pub(crate) is_current: bool,
    /// Whether its attempt was still wanted.
    pub(crate) was_live: bool,
}

impl Core {
    /// Notes that a server is there, if a reply is its own word.
    pub(crate) fn hear(&mut self, now: Instant, reply: &PartReply, server: ServerIdx) {
        if !matches!(
            reply,
            PartReply::NotSent | PartReply::Late | PartReply::Cancelled
        ) {
            self.servers.note_contact(now, server);
        }
    }

    /// Takes in what a whole part says about its server.
    pub(crate) fn answered(
        &mut self,
        now: Instant,
        heard: Heard,
        load: u32,
        draining: bool,
        out: &mut Vec<Action>,
    ) {
        if !heard.is_current {
            return;
        }
        self.servers.succeeded(now, heard.server, load);
        if draining {
            self.drain_seen(heard.server, out);
        }
    }

    /// Takes in what any other reply says about its server.
    pub(crate) fn judge(
        &mut self,
        now: Instant,
        reply: &PartReply,
        heard: Heard,
        out: &mut Vec<Action>,
    ) {
        if !heard.is_current {
            return;
        }
        let server = heard.server;
        match reply {
            PartReply::Shed { retry_after } => self.servers.shed(now, server, *retry_after),
            PartReply::Draining => self.drain_seen(server, out),
            PartReply::NoSnapshot { holds } => self.holds_seen(now, server, holds),
            PartReply::NotSent if heard.was_live => {
                self.servers.failed(now, server, Failure::Unreached);
            }
            PartReply::Failed | PartReply::Garbled | PartReply::Late => {
                self.servers.failed(now, server, Failure::Error);
            }
            PartReply::Broken => self.servers.failed(now, server, Failure::Broken),
            PartReply::Whole { .. } | PartReply::NotSent | PartReply::Cancelled => {}
        }
    }

    /// A server said which snapshots it holds; parts that wait for it may have to move.
    pub(crate) fn holds_seen(&mut self, now: Instant, server: ServerIdx, holds: &[SnapshotId]) {
        if self.servers.set_held_snapshots(now, server, holds) {
            self.changed.push(server);
        }
    }

    /// Takes a crash in, and tells peers of it.
    pub(crate) fn crash_seen(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        server: ServerIdx,
        alone: bool,
        out: &mut Vec<Action>,
    ) -> Finding {
        let view = self.servers.view(server);
        let crash = Crash {
            server: &view.decl().name,
            is_local: view.is_local(),
            is_alone: alone,
        };
        let finding = self.suspects.crashed(now, fingerprint, crash);
        let crashes = self.suspects.crashes(fingerprint);
        match finding {
            Finding::Harmless => {}
            // The first word is enough; a fan-out may break a server of each shard.
            Finding::Suspected if crashes <= CRASHES_TOLD => {
                self.spread_suspect(fingerprint, crashes, Duration::ZERO, out);
            }
            Finding::Suspected => {}
            Finding::Quarantined(rest) => {
                self.counters.quarantines += 1;
                self.spread_suspect(fingerprint, crashes, rest, out);
            }
        }
        finding
    }
}
