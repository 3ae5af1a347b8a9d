//! Signs from peers and the platform: drains and quarantines.

use std::time::Duration;
use std::time::Instant;

use gs_route::ServerIdx;
use gs_types::prelude::*;

use crate::action::Action;
use crate::action::Sign;
use crate::core::Core;
use crate::engine::Engine;
use crate::event::SignSource;

impl Engine {
    /// Takes in a sign of which another VM or the platform told.
    pub(crate) fn sign(
        &mut self,
        now: Instant,
        sign: Sign,
        source: SignSource,
        out: &mut Vec<Action>,
    ) {
        match sign {
            Sign::Drain {
                server,
                incarnation,
            } => self.drain(&server, incarnation, source, out),
            Sign::Quarantine {
                fingerprint,
                crashes,
                rest,
            } => self.quarantine(now, fingerprint, crashes, rest, out),
        }
    }

    fn drain(
        &mut self,
        server: &ServerName,
        incarnation: Option<Incarnation>,
        source: SignSource,
        out: &mut Vec<Action>,
    ) {
        let core = &mut self.core;
        let Some(idx) = core.servers.find(server) else {
            core.servers.drain_undeclared(server, incarnation);
            return;
        };
        if !core.servers.drain(idx, incarnation) {
            return;
        }
        match source {
            // The peer that saw it first told everyone.
            SignSource::Peer => core.drained(idx, "peer", false, out),
            SignSource::Platform => core.drained(idx, "platform", true, out),
        }
    }

    fn quarantine(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        crashes: u32,
        rest: Duration,
        out: &mut Vec<Action>,
    ) {
        self.core.suspects.told(now, fingerprint, crashes, rest);
        if rest == Duration::ZERO {
            return;
        }
        let running: Vec<LookupSeq> = self
            .lookups
            .values()
            .filter(|lk| lk.fingerprint == fingerprint && !lk.is_proven)
            .map(|lk| lk.seq)
            .collect();
        for seq in running {
            let refusal = Refusal::new(RefusalReason::Quarantined, Some(rest));
            self.with(seq, |core, lk| core.refuse(now, lk, refusal, out));
        }
    }
}

impl Core {
    /// A server has just been marked as draining: its queue moves, its connections are let go.
    pub(crate) fn drained(
        &mut self,
        idx: ServerIdx,
        source: &str,
        spread: bool,
        out: &mut Vec<Action>,
    ) {
        self.changed.push(idx);
        let view = self.servers.view(idx);
        let server = view.decl().name.clone();
        let incarnation = view.incarnation();
        log::info!("event=drain server={server} source={source}");
        if spread {
            out.push(Action::Spread(Sign::Drain {
                server: server.clone(),
                incarnation,
            }));
        }
        out.push(Action::Warm(server, Connections(0)));
    }
}
