//! What a book does besides its own proposal: readiness, acknowledgements, gossip, withdrawals.
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use rand::RngExt;

use crate::action::Action;
use crate::book::ConfigManager;
use crate::book::Cx;
use crate::check::check_patch;
use crate::event::WriteResult;
use crate::message::Ack;
use crate::message::Message;
use crate::record::CURRENT_PATH;
use crate::record::Record;
use crate::state::PatchState;

/// How often a book tells two peers what it holds.
const GOSSIP_EVERY: Duration = Duration::from_secs(1);
/// How many peers it tells.
const GOSSIP_TO: usize = 2;
/// How often timers are looked at while something is under way.
const TICK_BUSY: Duration = Duration::from_millis(50);
/// How often timers are looked at otherwise.
const TICK_IDLE: Duration = Duration::from_secs(1);
/// How long a starting VM waits for peers to show something newer, the platform being away.
const START_WAIT: Duration = Duration::from_secs(1);
/// How much later each further VM withdraws a patch that its proposer left.
const RANK_STEP: Duration = Duration::from_millis(300);

impl ConfigManager {
    pub(crate) fn on_tick(&mut self, cx: &mut Cx<'_>) {
        self.wake = None;
        self.acknowledge(cx);
        self.gossip_round(cx);
        self.withdraw_left(cx);
        self.create_first(cx);
    }

    /// What follows from every event: reads, readiness, doubt and the next timer.
    pub(crate) fn follow_up(&mut self, cx: &mut Cx<'_>, tick: bool) {
        self.read_if_wanted(cx);
        self.become_ready(cx.now);
        self.extend_own_promise(cx.now);
        let refused = self.in_doubt_targets(cx.now);
        if refused != self.refused {
            self.refused = refused.to_vec();
            cx.out.push(Action::Doubt(self.refused.clone()));
        }
        let wake = match self.is_busy() {
            true => TICK_BUSY,
            false => TICK_IDLE,
        };
        // Not pushed out by every event: only a tick or a nearer time sets the timer anew.
        if tick || self.wake.is_none_or(|w| wake < w) {
            self.wake = Some(wake);
            cx.out.push(Action::Wake(wake));
        }
    }

    fn is_busy(&self) -> bool {
        self.current.is_some()
            || self.doubt.is_some()
            || !self.start.ready
            || !self.queue.is_empty()
            || self.reading.wanted
    }

    fn read_if_wanted(&mut self, cx: &mut Cx<'_>) {
        let r = &mut self.reading;
        if r.wanted && !r.out && r.retry.is_due(cx.now) {
            r.wanted = false;
            r.out = true;
            cx.out.push(Action::Read);
        }
    }

    /// Ready once the platform showed the newest, or, with the platform away, every peer that
    /// answers did.
    fn become_ready(&mut self, now: Instant) {
        let s = &self.start;
        if s.ready || self.held.is_none() {
            return;
        }
        let waited = s.at.is_some_and(|at| now >= at + START_WAIT);
        let shown = self.fleet.newest() <= self.summary().object;
        self.start.ready = s.confirmed || (s.platform_failed && waited && shown);
    }

    /// The proposer is in no doubt while it knows that its patch is in force nowhere.
    fn extend_own_promise(&mut self, now: Instant) {
        let Some(state) = self.own_pending() else {
            return;
        };
        let known = state != PatchState::Committing || self.heard_all(now);
        let after = self.options.in_doubt_after;
        if let Some(d) = self.doubt.as_mut().filter(|_| known) {
            d.known_undecided(now, after);
        }
    }

    /// Acknowledges the prepared patch to its proposer, and again while it is undecided.
    pub(crate) fn acknowledge(&mut self, cx: &mut Cx<'_>) {
        let me = &self.options.vm;
        let Some(d) = &mut self.doubt else {
            return;
        };
        if d.proposer() == me || !d.ack_due(cx.now) {
            return;
        }
        let Some(held) = &self.held else {
            return;
        };
        let checked = held.record.pending.as_ref().map(|p| {
            check_patch(&held.config, &p.patch, self.groups.as_ref())
                .err()
                .map(|e| e.to_string())
        });
        let ack = Ack {
            object: d.object(),
            seq: d.next_ack(cx.now),
            against: checked.flatten(),
        };
        let to = d.proposer().clone();
        cx.send(&to, Message::Ack(ack));
    }

    fn gossip_round(&mut self, cx: &mut Cx<'_>) {
        if self.next_gossip.is_some_and(|at| cx.now < at) {
            return;
        }
        self.next_gossip = Some(cx.now + GOSSIP_EVERY);
        if !self.start.ready {
            // The first one may have gone out before any peer was connected.
            let object = self.summary().object;
            cx.out.push(Action::Broadcast(Message::Want { object }));
        }
        let mut peers: Vec<_> = self.fleet.members().to_vec();
        peers.retain(|vm| *vm != self.options.vm);
        for _ in 0..GOSSIP_TO.min(peers.len()) {
            let at = self.rng.random_range(0..peers.len());
            let vm = peers.swap_remove(at);
            let gossip = Message::Gossip(self.summary());
            cx.send(&vm, gossip);
        }
    }

    /// Withdraws a prepared patch that its proposer left, so that it blocks no other.
    ///
    /// The proposer may be dead, or paused and about to commit. The condition of the write decides:
    /// one of the two takes effect. VMs do this one after the other, by rank, to spare writes.
    fn withdraw_left(&mut self, cx: &mut Cx<'_>) {
        let Some(held) = &self.held else {
            return;
        };
        let Some(pending) = &held.record.pending else {
            return;
        };
        let ours = self.current.as_ref();
        if ours.is_some_and(|p| p.nonce == pending.nonce) {
            return;
        }
        let due = held.learned + self.options.withdraw_after + self.rank(pending.nonce);
        if cx.now < due || !self.chore.writing.is_due(cx.now) {
            return;
        }
        let reason = format!("its proposer {} did not finish", pending.proposer);
        let content = held.record.withdrawn(&reason).encode();
        let if_version = held.object;
        self.write_chore(cx, if_version, content);
    }

    /// This VM's turn among all, by rendezvous hash.
    fn rank(&self, nonce: u64) -> Duration {
        let salt = nonce.to_string();
        let weight = |vm: &VmId| Fingerprint::of(&[&salt, vm.as_str()]);
        let mine = weight(&self.options.vm);
        let before = self.fleet.members().iter();
        let before = before.filter(|vm| weight(vm) < mine).count();
        RANK_STEP * u32::try_from(before).unwrap_or(u32::MAX).min(10)
    }

    /// Creates the first configuration where the platform says that there is none.
    fn create_first(&mut self, cx: &mut Cx<'_>) {
        if !self.chore.missing || self.held.is_some() || !self.chore.writing.is_due(cx.now) {
            return;
        }
        let Some(first) = &self.options.bootstrap else {
            return;
        };
        let team = Team {
            name: first.team.clone(),
            key_sha256: first.key_sha256.clone(),
            fronts: Vec::new(),
            admin: true,
        };
        let record = Record {
            version: ConfVersion(1),
            teams: vec![team],
            ..Record::default()
        };
        self.write_chore(cx, 0, record.encode());
    }

    fn write_chore(&mut self, cx: &mut Cx<'_>, if_version: u64, content: Arc<str>) {
        let id = self.next_write();
        self.chore.writing.out = Some(id);
        self.chore.sent = Some(content.clone());
        cx.out.push(Action::Write {
            id,
            path: CURRENT_PATH.to_owned(),
            if_version,
            content,
        });
    }

    pub(crate) fn chore_wrote(&mut self, cx: &mut Cx<'_>, result: WriteResult) {
        let jitter = self.rng.random();
        self.chore.writing.again(cx.now, jitter);
        match (result, self.chore.sent.take()) {
            (WriteResult::Done(object), Some(content)) => {
                self.start.confirmed = true;
                let _ = self.learn(cx, object, content);
            }
            _ => self.reading.wanted = true,
        }
    }
}
