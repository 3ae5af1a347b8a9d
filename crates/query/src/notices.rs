//! Processes notices from peers and the platform: drains and quarantines.

use std::time::Duration;
use std::time::Instant;

use gs_route::ServerIdx;
use gs_types::prelude::*;

use crate::action::Action;
use crate::action::Notice;
use crate::engine::Engine;
use crate::engine_state::EngineState;
use crate::event::NoticeSource;

impl Engine {
    /// Processes a notice from another VM or the platform.
    pub(crate) fn on_notice(
        &mut self,
        now: Instant,
        notice: Notice,
        source: NoticeSource,
        out: &mut Vec<Action>,
    ) {
        match notice {
            Notice::Drain {
                server,
                incarnation,
            } => self.on_drain_notice(&server, incarnation, source, out),
            Notice::Quarantine {
                fingerprint,
                crashes,
                rest,
            } => self.on_quarantine_notice(now, fingerprint, crashes, rest, out),
        }
    }

    fn on_drain_notice(
        &mut self,
        server: &ServerName,
        incarnation: Option<Incarnation>,
        source: NoticeSource,
        out: &mut Vec<Action>,
    ) {
        let state = &mut self.state;
        let Some(idx) = state.servers.find(server) else {
            state.servers.drain_undeclared(server, incarnation);
            return;
        };
        if !state.servers.drain(idx, incarnation) {
            return;
        }
        match source {
            // The peer that detected it notified every VM.
            NoticeSource::Peer => state.on_drained(idx, "peer", false, out),
            NoticeSource::Platform => state.on_drained(idx, "platform", true, out),
        }
    }

    fn on_quarantine_notice(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        crashes: u32,
        rest: Duration,
        out: &mut Vec<Action>,
    ) {
        self.state
            .crash_suspects
            .on_peer_report(now, fingerprint, crashes, rest);
        if rest > Duration::ZERO {
            self.refuse_running(now, fingerprint, rest, out);
        }
    }

    /// Refuses the lookups in flight that are quarantined now.
    pub(crate) fn refuse_running(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        rest: Duration,
        out: &mut Vec<Action>,
    ) {
        let running: Vec<LookupSeq> = self
            .lookups
            .values()
            .filter(|lk| lk.fingerprint == fingerprint && !lk.is_proven)
            .map(|lk| lk.seq)
            .collect();
        for seq in running {
            let refusal = Refusal::new(RefusalReason::Quarantined, Some(rest));
            self.with_lookup(seq, |state, lk| state.refuse(now, lk, refusal, out));
        }
    }
}

impl EngineState {
    /// Requeues the parts that wait for a server just marked as draining and releases its
    /// connections.
    pub(crate) fn on_drained(
        &mut self,
        idx: ServerIdx,
        source: &str,
        broadcast: bool,
        out: &mut Vec<Action>,
    ) {
        self.changed_servers.push(idx);
        let view = self.servers.view(idx);
        let server = view.decl().name.clone();
        let incarnation = view.incarnation();
        log::info!("event=drain server={server} source={source}");
        if broadcast {
            out.push(Action::Spread(Notice::Drain {
                server: server.clone(),
                incarnation,
            }));
        }
        out.push(Action::Warm(server, Connections(0)));
    }
}
