//! Whom to ask, what to tell, and what to make of what others tell.

use std::collections::BTreeMap;
use std::time::Instant;

use gs_types::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::heartbeat::Rumour;
use crate::peer::Peer;
use crate::rumour::News;
use crate::settings::MemberSettings;
use crate::view::View;
use crate::view::ViewVm;
use crate::vm::VmChart;
use crate::vm::VmEvent;
use crate::vm::VmState;

/// The other VMs.
#[derive(Debug)]
pub(crate) struct Gossip {
    pub(crate) cfg: MemberSettings,
    pub(crate) chart: VmChart,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) peers: BTreeMap<VmId, Peer>,
    pub(crate) news: News,
    /// The VMs that this one holds connections to and asks: all of a small fleet, and of a large
    /// one those that hash highest with this VM, so that a VM's cost does not grow with the fleet.
    pub(crate) near: Vec<VmId>,
    /// VMs to ask, last first.
    pub(crate) turn: Vec<VmId>,
    /// The last VM told of as part of the digest.
    pub(crate) cursor: Option<VmId>,
    pub(crate) refutations: u32,
    pub(crate) leaving: bool,
    pub(crate) changed: bool,
}

impl Gossip {
    pub(crate) fn new(cfg: MemberSettings, chart: VmChart, rng: ChaCha8Rng) -> Self {
        Self {
            cfg,
            chart,
            rng,
            peers: BTreeMap::new(),
            news: News::default(),
            near: Vec::new(),
            turn: Vec::new(),
            cursor: None,
            refutations: 0,
            leaving: false,
            changed: true,
        }
    }

    pub(crate) fn peer(&self, vm: &VmId) -> Option<&Peer> {
        self.peers.get(vm)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether the view changed since this was last asked.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// This VM is leaving.
    pub(crate) fn leave(&mut self) {
        self.leaving = true;
        self.changed = true;
        self.news.add(&self.cfg.me.vm);
    }

    /// Takes the platform's list; a VM that it has lacked for long, unheard, is gone.
    pub(crate) fn list(&mut self, now: Instant, list: &[VmEntry]) {
        for entry in list {
            if entry.vm != self.cfg.me.vm {
                self.see_listed(now, entry);
            }
        }
        let listed = |vm: &VmId| list.iter().any(|e| e.vm == *vm);
        let mut gone = Vec::new();
        for (vm, peer) in &mut self.peers {
            if listed(vm) {
                peer.absent = None;
                continue;
            }
            let since = *peer.absent.get_or_insert(now);
            if now.duration_since(since) >= self.cfg.gone_after {
                peer.step(now, &self.chart, VmEvent::Unlisted);
                gone.push(vm.clone());
            }
        }
        for vm in gone {
            self.peers.remove(&vm);
            self.changed = true;
        }
        if self.near.len() != self.peers.len().min(self.cfg.neighbours_max) || self.changed {
            self.choose_near();
        }
    }

    fn see_listed(&mut self, now: Instant, entry: &VmEntry) {
        let fresh = || Peer::new(now, entry.clone(), self.chart.initial());
        if !self.peers.contains_key(&entry.vm) {
            self.peers.insert(entry.vm.clone(), fresh());
            self.changed = true;
        }
        let Some(peer) = self.peers.get_mut(&entry.vm) else {
            return;
        };
        // The list says that a VM is leaving, not which run of it: a new run would have to be
        // listed anew, and a heartbeat of a newer run overrides it.
        if entry.leaving && peer.step(now, &self.chart, VmEvent::Leaving) {
            self.news.add(&entry.vm);
            self.changed = true;
        }
        if peer.entry != *entry {
            peer.entry = entry.clone();
            self.changed = true;
        }
    }

    /// Takes a sign of life at first hand.
    pub(crate) fn hear(
        &mut self,
        now: Instant,
        from: &VmId,
        run: Incarnation,
        entry: Option<&VmEntry>,
        leaving: bool,
    ) {
        if let (false, Some(e)) = (self.peers.contains_key(from), entry) {
            let peer = Peer::new(now, e.clone(), self.chart.initial());
            self.peers.insert(from.clone(), peer);
            self.choose_near();
        }
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        if peer.incarnation.is_some_and(|known| run < known) {
            return;
        }
        let mut changed = peer.hear(now, &self.chart, run);
        changed |= leaving && peer.step(now, &self.chart, VmEvent::Leaving);
        if changed {
            self.changed = true;
            self.news.add(from);
        }
    }

    /// Notes whether a peer said that it has heard this VM.
    pub(crate) fn note_known(&mut self, from: &VmId, knows_us: bool) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.knows_us = knows_us;
        }
    }

    /// Takes what another VM says of a third.
    pub(crate) fn rumour(&mut self, now: Instant, r: &Rumour) {
        if r.vm == self.cfg.me.vm {
            self.refute(r);
            return;
        }
        let Some(peer) = self.peers.get_mut(&r.vm) else {
            return;
        };
        if peer.incarnation.is_some_and(|known| r.incarnation < known) {
            return;
        }
        let restarted = peer.meet(now, &self.chart, r.incarnation);
        let fresh = restarted || r.refutations > peer.refutations;
        let same = r.refutations == peer.refutations;
        peer.refutations = peer.refutations.max(r.refutations);
        // What was heard at first hand lately weighs more than another's suspicion, which may come
        // from a VM that is cut off itself.
        let sure = peer.heard_within(now, self.cfg.suspect_after);
        let event = match r.state {
            VmState::Alive if fresh => Some(VmEvent::Heard),
            VmState::Leaving => Some(VmEvent::Leaving),
            VmState::Suspect | VmState::Unreachable if (fresh || same) && !sure => {
                Some(VmEvent::Silent)
            }
            _ => None,
        };
        let moved = event.is_some_and(|e| peer.step(now, &self.chart, e));
        if moved || restarted {
            self.changed = true;
            self.news.add(&r.vm);
        }
    }

    /// Contradicts a suspicion of this run.
    fn refute(&mut self, r: &Rumour) {
        let doubted = matches!(r.state, VmState::Suspect | VmState::Unreachable);
        if doubted && r.incarnation == self.cfg.incarnation && r.refutations >= self.refutations {
            self.refutations = r.refutations.saturating_add(1);
            self.news.add(&self.cfg.me.vm);
        }
    }

    /// Suspects VMs that owe an answer, and gives up those suspected for long.
    pub(crate) fn judge(&mut self, now: Instant) {
        let late = self.cfg.suspect_after;
        let lost = late + self.cfg.lapse_after;
        for (vm, p) in &mut self.peers {
            let was = p.state;
            if p.silent_for(now, late) {
                p.step(now, &self.chart, VmEvent::Silent);
            }
            let in_state = now.duration_since(p.since);
            let lapsed = match p.state {
                VmState::Suspect => in_state >= self.cfg.lapse_after,
                VmState::Listed => p.silent_for(now, lost),
                _ => false,
            };
            if lapsed {
                p.step(now, &self.chart, VmEvent::Lapsed);
            }
            if p.state != was {
                self.changed = true;
                self.news.add(vm);
            }
        }
    }

    pub(crate) fn my_state(&self) -> VmState {
        match self.leaving {
            true => VmState::Leaving,
            false => VmState::Alive,
        }
    }

    /// The view, this VM included.
    pub(crate) fn view(&self) -> View {
        let mut vms: Vec<ViewVm> = self.peers.values().map(view_of).collect();
        vms.push(ViewVm {
            entry: self.cfg.me.clone(),
            incarnation: Some(self.cfg.incarnation),
            state: self.my_state(),
        });
        vms.sort_by(|a, b| a.entry.vm.cmp(&b.entry.vm));
        View {
            me: self.cfg.me.vm.clone(),
            vms,
        }
    }

    /// A time of about this long, so that VMs that wait for the same thing do not all act at once.
    pub(crate) fn jitter(&mut self, time: std::time::Duration) -> std::time::Duration {
        time.mul_f64(self.rng.random_range(0.5..1.5))
    }
}

fn view_of(p: &Peer) -> ViewVm {
    ViewVm {
        entry: p.entry.clone(),
        incarnation: p.incarnation,
        state: p.state,
    }
}
