//! Updates the state of servers and crash suspects from replies.

use std::time::Duration;
use std::time::Instant;

use gs_route::ServerFailure;
use gs_route::ServerIdx;
use gs_types::prelude::*;

use crate::action::Action;
use crate::crash_suspects::Crash;
use crate::crash_suspects::CrashFinding;
use crate::engine_state::EngineState;
use crate::event::PartReply;

/// The number of crashes of a suspect that are announced to peers, each by a notice of its own.
const CRASHES_BROADCAST_MAX: u32 = 2;

/// The server of a reply, and whether the reply applies to its current incarnation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplyContext {
    pub(crate) server: ServerIdx,
    /// Whether the reply is from the server's current incarnation.
    pub(crate) is_current: bool,
    /// Whether its attempt was still live.
    pub(crate) was_live: bool,
}

impl EngineState {
    /// Records contact with a server, unless the attempt ended on this VM alone: not sent, timed out or
    /// cancelled.
    pub(crate) fn note_contact(&mut self, now: Instant, reply: &PartReply, server: ServerIdx) {
        if !matches!(
            reply,
            PartReply::NotSent | PartReply::Late | PartReply::Cancelled
        ) {
            self.servers.note_contact(now, server);
        }
    }

    /// Records a success of a server and its reported load and drain.
    pub(crate) fn note_server_success(
        &mut self,
        now: Instant,
        context: ReplyContext,
        load: u32,
        draining: bool,
        out: &mut Vec<Action>,
    ) {
        if !context.is_current {
            return;
        }
        self.servers.on_success(now, context.server, load);
        if draining {
            self.on_self_reported_drain(context.server, out);
        }
    }

    /// Updates a server's health from a reply without a complete part.
    pub(crate) fn update_server_health(
        &mut self,
        now: Instant,
        reply: &PartReply,
        context: ReplyContext,
        out: &mut Vec<Action>,
    ) {
        if !context.is_current {
            return;
        }
        let server = context.server;
        match reply {
            PartReply::Shed { retry_after } => self.servers.on_shed(now, server, *retry_after),
            PartReply::Draining => self.on_self_reported_drain(server, out),
            PartReply::NoSnapshot { holds } => self.update_held_snapshots(now, server, holds),
            PartReply::NotSent if context.was_live => {
                self.servers
                    .on_failure(now, server, ServerFailure::Unreachable);
            }
            PartReply::Failed | PartReply::Garbled | PartReply::Late => {
                self.servers
                    .on_failure(now, server, ServerFailure::ErrorReply);
            }
            PartReply::Broken => {
                self.servers
                    .on_failure(now, server, ServerFailure::ConnectionBroken)
            }
            PartReply::Whole { .. } | PartReply::NotSent | PartReply::Cancelled => {}
        }
    }

    /// Applies a server's list of the snapshots it holds; parts queued for it may have to move.
    pub(crate) fn update_held_snapshots(
        &mut self,
        now: Instant,
        server: ServerIdx,
        holds: &[SnapshotId],
    ) {
        if self.servers.set_held_snapshots(now, server, holds) {
            self.changed_servers.push(server);
        }
    }

    /// Records a crash and announces it to peers.
    pub(crate) fn record_crash(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        crash: Crash,
        out: &mut Vec<Action>,
    ) -> CrashFinding {
        let finding = self.crash_suspects.note_crash(now, fingerprint, crash);
        let crashes = self.crash_suspects.crashes(fingerprint);
        match finding {
            CrashFinding::Harmless | CrashFinding::Known => {}
            // The first notices suffice; a fan-out may crash a server of each shard.
            CrashFinding::Suspected if crashes <= CRASHES_BROADCAST_MAX => {
                self.broadcast_suspect(fingerprint, crashes, Duration::ZERO, out);
            }
            CrashFinding::Suspected => {}
            CrashFinding::Quarantined(quarantine) => {
                self.counters.quarantines += 1;
                self.broadcast_suspect(fingerprint, crashes, quarantine, out);
            }
        }
        finding
    }
}
