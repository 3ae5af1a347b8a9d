//! Work of the configuration manager besides its own proposals: readiness, acknowledgements, summaries
//! and withdrawals.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use rand::RngExt;

use crate::action::Action;
use crate::check::check_patch;
use crate::event::WriteResult;
use crate::manager::ConfigManager;
use crate::manager::Cx;
use crate::message::Ack;
use crate::message::Message;
use crate::record::CURRENT_PATH;
use crate::record::Record;
use crate::state::PatchState;

/// How often a VM sends the summary of its record to some peers.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// The number of peers that each summary is sent to.
const SUMMARY_PEERS: usize = 2;
/// The interval of timer checks while work is in progress.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The interval of timer checks otherwise.
const IDLE_TICK_INTERVAL: Duration = Duration::from_secs(1);
/// How long a starting VM waits for newer records from its peers while the platform is unreachable.
const START_PEER_WAIT: Duration = Duration::from_secs(1);
/// The additional delay per rank of a VM before it withdraws a patch that its proposer abandoned.
const WITHDRAW_STAGGER: Duration = Duration::from_millis(300);

impl ConfigManager {
    pub(crate) fn on_tick(&mut self, cx: &mut Cx<'_>) {
        self.wake_after = None;
        self.acknowledge_prepared_patch(cx);
        self.send_summaries(cx);
        self.withdraw_abandoned_patch(cx);
        self.create_first_config(cx);
    }

    /// Updates reads, readiness, in-doubt lookups and the timer after an event.
    pub(crate) fn after_event(&mut self, cx: &mut Cx<'_>, tick: bool) {
        self.read_if_wanted(cx);
        self.update_readiness(cx.now);
        self.extend_own_safe_time(cx.now);
        let in_doubt = self.in_doubt_targets(cx.now);
        if in_doubt != self.reported_in_doubt {
            self.reported_in_doubt = in_doubt.to_vec();
            cx.out.push(Action::Doubt(self.reported_in_doubt.clone()));
        }
        let wake = match self.is_busy() {
            true => BUSY_TICK_INTERVAL,
            false => IDLE_TICK_INTERVAL,
        };
        // Events must not postpone the timer: only a tick or an earlier time sets it again.
        if tick || self.wake_after.is_none_or(|w| wake < w) {
            self.wake_after = Some(wake);
            cx.out.push(Action::Wake(wake));
        }
    }

    fn is_busy(&self) -> bool {
        self.current_proposal.is_some()
            || self.in_doubt_patch.is_some()
            || !self.startup.ready
            || !self.queued_proposals.is_empty()
            || self.read_state.wanted
    }

    fn read_if_wanted(&mut self, cx: &mut Cx<'_>) {
        let r = &mut self.read_state;
        if r.wanted && !r.in_flight && r.retry.is_due(cx.now) {
            r.wanted = false;
            r.in_flight = true;
            cx.out.push(Action::Read);
        }
    }

    /// Marks the VM ready once the platform returned the newest record or, if the platform is
    /// unreachable, after [`START_PEER_WAIT`] once no peer that reports has a newer one.
    fn update_readiness(&mut self, now: Instant) {
        let s = &self.startup;
        if s.ready || self.latest_record.is_none() {
            return;
        }
        let waited = s.started_at.is_some_and(|at| now >= at + START_PEER_WAIT);
        let is_newest = self.fleet.newest_object() <= self.summary().object;
        self.startup.ready = s.platform_confirmed || (s.platform_failed && waited && is_newest);
    }

    /// Extends the safe time of the VM's own patch while it is known to be in force nowhere.
    fn extend_own_safe_time(&mut self, now: Instant) {
        let Some(state) = self.own_pending_state() else {
            return;
        };
        let known = state != PatchState::Committing || self.has_recent_acks_from_all(now);
        let in_doubt_after = self.options.in_doubt_after;
        if let Some(d) = self.in_doubt_patch.as_mut().filter(|_| known) {
            d.extend_safe_time(now, in_doubt_after);
        }
    }

    /// Acknowledges the prepared patch to its proposer, repeatedly while it is undecided.
    pub(crate) fn acknowledge_prepared_patch(&mut self, cx: &mut Cx<'_>) {
        let me = &self.options.vm;
        let Some(d) = &mut self.in_doubt_patch else {
            return;
        };
        if d.proposer() == me || !d.is_ack_due(cx.now) {
            return;
        }
        let Some(latest) = &self.latest_record else {
            return;
        };
        let checked = latest.record.pending.as_ref().map(|p| {
            check_patch(&latest.config, &p.patch, self.groups.as_ref())
                .err()
                .map(|e| e.to_string())
        });
        let ack = Ack {
            object: d.object(),
            seq: d.record_sent_ack(cx.now),
            against: checked.flatten(),
        };
        let to = d.proposer().clone();
        cx.send(&to, Message::Ack(ack));
    }

    fn send_summaries(&mut self, cx: &mut Cx<'_>) {
        if self.next_summary_at.is_some_and(|at| cx.now < at) {
            return;
        }
        self.next_summary_at = Some(cx.now + SUMMARY_INTERVAL);
        if !self.startup.ready {
            // The first one may have been sent before any peer was connected.
            let object = self.summary().object;
            cx.out.push(Action::Broadcast(Message::Want { object }));
        }
        let mut peers: Vec<_> = self.fleet.members().to_vec();
        peers.retain(|vm| *vm != self.options.vm);
        for _ in 0..SUMMARY_PEERS.min(peers.len()) {
            let at = self.rng.random_range(0..peers.len());
            let vm = peers.swap_remove(at);
            let message = Message::Gossip(self.summary());
            cx.send(&vm, message);
        }
    }

    /// Withdraws a prepared patch that its proposer did not finish, so that it does not block others.
    ///
    /// The proposer may have crashed, or be paused and about to commit. The conditional write ensures
    /// that only one of the two takes effect. VMs try one after the other, by rank, to save writes.
    fn withdraw_abandoned_patch(&mut self, cx: &mut Cx<'_>) {
        let Some(latest) = &self.latest_record else {
            return;
        };
        let Some(pending) = &latest.record.pending else {
            return;
        };
        let ours = self.current_proposal.as_ref();
        if ours.is_some_and(|p| p.nonce == pending.nonce) {
            return;
        }
        let due =
            latest.learned_at + self.options.withdraw_after + self.withdraw_delay(pending.nonce);
        if cx.now < due || !self.shared_write.write_retry.is_due(cx.now) {
            return;
        }
        let reason = format!("its proposer {} did not finish", pending.proposer);
        let content = latest.record.with_pending_withdrawn(&reason).encode();
        let if_version = latest.object;
        self.start_shared_write(cx, if_version, content);
    }

    /// Returns this VM's delay before a withdrawal, by its rank in a rendezvous hash.
    fn withdraw_delay(&self, nonce: u64) -> Duration {
        let salt = nonce.to_string();
        let weight = |vm: &VmId| Fingerprint::of(&[&salt, vm.as_str()]);
        let mine = weight(&self.options.vm);
        let before = self.fleet.members().iter();
        let before = before.filter(|vm| weight(vm) < mine).count();
        WITHDRAW_STAGGER * u32::try_from(before).unwrap_or(u32::MAX).min(10)
    }

    /// Creates the first configuration if the platform reported that there is none.
    fn create_first_config(&mut self, cx: &mut Cx<'_>) {
        if !self.shared_write.config_missing
            || self.latest_record.is_some()
            || !self.shared_write.write_retry.is_due(cx.now)
        {
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
        self.start_shared_write(cx, 0, record.encode());
    }

    fn start_shared_write(&mut self, cx: &mut Cx<'_>, if_version: u64, content: Arc<str>) {
        let id = self.next_write_id();
        self.shared_write.write_retry.in_flight = Some(id);
        self.shared_write.sent_content = Some(content.clone());
        cx.out.push(Action::Write {
            id,
            path: CURRENT_PATH.to_owned(),
            if_version,
            content,
        });
    }

    pub(crate) fn on_shared_write(&mut self, cx: &mut Cx<'_>, result: WriteResult) {
        let jitter = self.rng.random();
        self.shared_write.write_retry.schedule_retry(cx.now, jitter);
        match (result, self.shared_write.sent_content.take()) {
            (WriteResult::Done(object), Some(content)) => {
                self.startup.platform_confirmed = true;
                let _ = self.apply_record_if_newer(cx, object, content);
            }
            _ => self.read_state.wanted = true,
        }
    }
}
