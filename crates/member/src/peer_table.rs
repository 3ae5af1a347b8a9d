//! The table of the other VMs, updated from the platform's list, heartbeats and rumours.
//!
//! `dissemination.rs` chooses from it whom to probe and which rumours to send.

use std::collections::BTreeMap;
use std::time::Instant;

use gs_types::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::heartbeat::Rumour;
use crate::membership_view::MembershipView;
use crate::membership_view::VmView;
use crate::peer::Peer;
use crate::rumour_queue::RumourQueue;
use crate::settings::MemberSettings;
use crate::vm_state::VmChart;
use crate::vm_state::VmEvent;
use crate::vm_state::VmState;

/// The other VMs, and the state of the gossip about them.
#[derive(Debug)]
pub(crate) struct PeerTable {
    pub(crate) cfg: MemberSettings,
    pub(crate) chart: VmChart,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) peers: BTreeMap<VmId, Peer>,
    pub(crate) rumour_queue: RumourQueue,
    /// The VMs that this VM holds mesh connections to and probes: all VMs of a small fleet; of a
    /// large one those with the highest rendezvous hashes, so that a VM's cost does not grow with
    /// the fleet.
    pub(crate) neighbours: Vec<VmId>,
    /// The neighbours to probe next, from last to first.
    pub(crate) probe_queue: Vec<VmId>,
    /// The last VM that was reported in turn.
    pub(crate) digest_cursor: Option<VmId>,
    /// How often this incarnation has refuted a suspicion of itself.
    pub(crate) refutations: u32,
    pub(crate) leaving: bool,
    /// Whether the view changed since [`Self::take_view_changed`] was last called.
    pub(crate) view_changed: bool,
}

impl PeerTable {
    pub(crate) fn new(cfg: MemberSettings, chart: VmChart, rng: ChaCha8Rng) -> Self {
        Self {
            cfg,
            chart,
            rng,
            peers: BTreeMap::new(),
            rumour_queue: RumourQueue::default(),
            neighbours: Vec::new(),
            probe_queue: Vec::new(),
            digest_cursor: None,
            refutations: 0,
            leaving: false,
            view_changed: true,
        }
    }

    pub(crate) fn peer(&self, vm: &VmId) -> Option<&Peer> {
        self.peers.get(vm)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns whether the view changed since the last call of this function.
    pub(crate) fn take_view_changed(&mut self) -> bool {
        std::mem::take(&mut self.view_changed)
    }

    /// Marks this VM as leaving.
    pub(crate) fn mark_leaving(&mut self) {
        self.leaving = true;
        self.view_changed = true;
        self.rumour_queue.add(&self.cfg.me.vm);
    }

    /// Applies the platform's list. A VM that has been missing from it for
    /// `MemberSettings::removal_delay` without contact is removed.
    pub(crate) fn on_list(&mut self, now: Instant, list: &[VmEntry]) {
        for entry in list {
            if entry.vm != self.cfg.me.vm {
                self.apply_list_entry(now, entry);
            }
        }
        let listed = |vm: &VmId| list.iter().any(|e| e.vm == *vm);
        let mut removed = Vec::new();
        for (vm, peer) in &mut self.peers {
            if listed(vm) {
                peer.unlisted_since = None;
                continue;
            }
            let since = *peer.unlisted_since.get_or_insert(now);
            if now.duration_since(since) >= self.cfg.removal_delay {
                peer.apply_event(now, &self.chart, VmEvent::Unlisted);
                removed.push(vm.clone());
            }
        }
        for vm in removed {
            self.peers.remove(&vm);
            self.view_changed = true;
        }
        if self.neighbours.len() != self.peers.len().min(self.cfg.neighbours_max)
            || self.view_changed
        {
            self.choose_neighbours();
        }
    }

    fn apply_list_entry(&mut self, now: Instant, entry: &VmEntry) {
        let new_peer = || Peer::new(now, entry.clone(), self.chart.initial());
        if !self.peers.contains_key(&entry.vm) {
            self.peers.insert(entry.vm.clone(), new_peer());
            self.view_changed = true;
        }
        let Some(peer) = self.peers.get_mut(&entry.vm) else {
            return;
        };
        // The list says that a VM is leaving, but not which incarnation. A new incarnation would get
        // a new entry in the list, and a heartbeat of a newer incarnation overrides the list.
        if entry.leaving && peer.apply_event(now, &self.chart, VmEvent::Leaving) {
            self.rumour_queue.add(&entry.vm);
            self.view_changed = true;
        }
        if peer.entry != *entry {
            peer.entry = entry.clone();
            self.view_changed = true;
        }
    }

    /// Records a heartbeat received from a VM, which is added if it is not known yet.
    pub(crate) fn note_alive(
        &mut self,
        now: Instant,
        from: &VmId,
        incarnation: Incarnation,
        entry: Option<&VmEntry>,
        leaving: bool,
    ) {
        if let (false, Some(e)) = (self.peers.contains_key(from), entry) {
            let peer = Peer::new(now, e.clone(), self.chart.initial());
            self.peers.insert(from.clone(), peer);
            self.choose_neighbours();
        }
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        if peer.incarnation.is_some_and(|known| incarnation < known) {
            return;
        }
        let mut changed = peer.note_alive(now, &self.chart, incarnation);
        changed |= leaving && peer.apply_event(now, &self.chart, VmEvent::Leaving);
        if changed {
            self.view_changed = true;
            self.rumour_queue.add(from);
        }
    }

    /// Records whether a peer has received a heartbeat from this VM.
    pub(crate) fn note_knows_this_vm(&mut self, from: &VmId, knows_this_vm: bool) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.knows_this_vm = knows_this_vm;
        }
    }

    /// Applies a rumour received from another VM.
    pub(crate) fn on_rumour(&mut self, now: Instant, r: &Rumour) {
        if r.vm == self.cfg.me.vm {
            self.refute_suspicion(r);
            return;
        }
        let Some(peer) = self.peers.get_mut(&r.vm) else {
            return;
        };
        if peer.incarnation.is_some_and(|known| r.incarnation < known) {
            return;
        }
        let restarted = peer.note_incarnation(now, &self.chart, r.incarnation);
        let is_newer = restarted || r.refutations > peer.refutations;
        let is_same = r.refutations == peer.refutations;
        peer.refutations = peer.refutations.max(r.refutations);
        // A recent heartbeat outweighs another VM's suspicion, which may come from a VM that is
        // partitioned itself.
        let is_in_contact = peer.contacted_within(now, self.cfg.suspect_after);
        let event = match r.state {
            VmState::Alive if is_newer => Some(VmEvent::Heard),
            VmState::Leaving => Some(VmEvent::Leaving),
            VmState::Suspect | VmState::Unreachable if (is_newer || is_same) && !is_in_contact => {
                Some(VmEvent::Silent)
            }
            _ => None,
        };
        let state_changed = event.is_some_and(|e| peer.apply_event(now, &self.chart, e));
        if state_changed || restarted {
            self.view_changed = true;
            self.rumour_queue.add(&r.vm);
        }
    }

    /// Refutes a suspicion of this incarnation.
    fn refute_suspicion(&mut self, r: &Rumour) {
        let suspected = matches!(r.state, VmState::Suspect | VmState::Unreachable);
        if suspected && r.incarnation == self.cfg.incarnation && r.refutations >= self.refutations {
            self.refutations = r.refutations.saturating_add(1);
            self.rumour_queue.add(&self.cfg.me.vm);
        }
    }

    /// Suspects VMs that have left a probe unanswered for too long, and marks those suspected for
    /// too long as unreachable.
    pub(crate) fn expire_silent_peers(&mut self, now: Instant) {
        let suspect_after = self.cfg.suspect_after;
        let lapse_total = suspect_after + self.cfg.unreachable_after;
        for (vm, p) in &mut self.peers {
            let before = p.state;
            if p.unanswered_for(now, suspect_after) {
                p.apply_event(now, &self.chart, VmEvent::Silent);
            }
            let in_state = now.duration_since(p.state_since);
            let lapsed = match p.state {
                VmState::Suspect => in_state >= self.cfg.unreachable_after,
                VmState::Listed => p.unanswered_for(now, lapse_total),
                _ => false,
            };
            if lapsed {
                p.apply_event(now, &self.chart, VmEvent::Lapsed);
            }
            if p.state != before {
                self.view_changed = true;
                self.rumour_queue.add(vm);
            }
        }
    }

    /// Returns the state of this VM.
    pub(crate) fn own_vm_state(&self) -> VmState {
        match self.leaving {
            true => VmState::Leaving,
            false => VmState::Alive,
        }
    }

    /// Returns the view, which includes this VM.
    pub(crate) fn view(&self) -> MembershipView {
        let mut vms: Vec<VmView> = self.peers.values().map(vm_view).collect();
        vms.push(VmView {
            entry: self.cfg.me.clone(),
            incarnation: Some(self.cfg.incarnation),
            state: self.own_vm_state(),
        });
        vms.sort_by(|a, b| a.entry.vm.cmp(&b.entry.vm));
        MembershipView {
            me: self.cfg.me.vm.clone(),
            vms,
        }
    }

    /// Returns the given time with up to half of it added or subtracted at random, so that VMs that
    /// wait for the same event do not all act at once.
    pub(crate) fn jitter(&mut self, time: std::time::Duration) -> std::time::Duration {
        time.mul_f64(self.rng.random_range(0.5..1.5))
    }
}

fn vm_view(p: &Peer) -> VmView {
    VmView {
        entry: p.entry.clone(),
        incarnation: p.incarnation,
        state: p.state,
    }
}
