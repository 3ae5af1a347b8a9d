//! Dissemination: the choice of the VMs to probe and connect to, and of the rumours to send.

use std::net::SocketAddr;
use std::ops::Bound;
use std::time::Instant;

use gs_types::prelude::*;
use rand::seq::SliceRandom;

use crate::heartbeat::Rumour;
use crate::membership_view::rendezvous_hash;
use crate::peer_table::PeerTable;
use crate::seat_table::Epoch;
use crate::vm_state::VmState;

/// How many VMs each heartbeat reports in turn, whether or not their state changed, so that the
/// content of lost rumours arrives later.
const DIGEST_VMS: usize = 4;

impl PeerTable {
    /// Chooses the VMs to probe in this round: up to `probe_fan_out` that have an answer
    /// outstanding and are not unreachable, then as many in turn.
    pub(crate) fn choose_probes(&mut self, now: Instant) -> Vec<VmId> {
        let neighbours = self.neighbours.clone();
        let has_answer_outstanding = |vm: &&VmId| {
            let state = self
                .peers
                .get(*vm)
                .map(|p| (p.unanswered_since.is_some(), p.state));
            state.is_some_and(|(unanswered, s)| unanswered && s != VmState::Unreachable)
        };
        let mut chosen: Vec<VmId> = neighbours
            .iter()
            .filter(has_answer_outstanding)
            .cloned()
            .collect();
        chosen.shuffle(&mut self.rng);
        chosen.truncate(self.cfg.probe_fan_out);
        for _ in 0..self.cfg.probe_fan_out.min(neighbours.len()) {
            if self.probe_queue.is_empty() {
                self.probe_queue = neighbours.clone();
                self.probe_queue.shuffle(&mut self.rng);
            }
            match self.probe_queue.pop() {
                Some(vm) if !chosen.contains(&vm) => chosen.push(vm),
                _ => {}
            }
        }
        chosen.retain(|vm| self.peers.contains_key(vm));
        for vm in &chosen {
            if let Some(p) = self.peers.get_mut(vm) {
                p.unanswered_since.get_or_insert(now);
            }
        }
        chosen
    }

    /// Chooses the neighbours again after a VM was added or removed.
    pub(crate) fn choose_neighbours(&mut self) {
        let mut all: Vec<VmId> = self.peers.keys().cloned().collect();
        if all.len() > self.cfg.neighbours_max {
            let me = self.cfg.me.vm.as_str();
            all.sort_by_cached_key(|vm| std::cmp::Reverse(rendezvous_hash(me, vm).0));
            all.truncate(self.cfg.neighbours_max);
        }
        self.neighbours = all;
    }

    /// Returns the names and mesh addresses of the neighbours.
    pub(crate) fn neighbour_addresses(&self) -> Vec<(VmId, SocketAddr)> {
        let neighbours = self.neighbours.iter();
        neighbours
            .filter_map(|vm| self.peers.get(vm).map(|p| (vm.clone(), p.entry.mesh)))
            .collect()
    }

    /// Returns up to `max` live neighbours at random, to notify of a change that cannot wait for
    /// the next round.
    pub(crate) fn random_live_neighbours(&mut self, max: usize) -> Vec<VmId> {
        let mut live: Vec<VmId> = self.neighbours.clone();
        live.retain(|vm| {
            self.peers
                .get(vm)
                .is_some_and(|p| p.state == VmState::Alive)
        });
        live.shuffle(&mut self.rng);
        live.truncate(max);
        live
    }

    /// Returns the rumours for the next heartbeat: recent changes first, then a few VMs in turn.
    pub(crate) fn next_rumours(&mut self, lowered_epoch: impl Fn(&VmId) -> Epoch) -> Vec<Rumour> {
        let mut vms = self
            .rumour_queue
            .take_next(self.cfg.rumours_max, self.peers.len() + 1);
        for _ in 0..DIGEST_VMS.min(self.peers.len()) {
            let next = self.next_digest_vm();
            match next {
                Some(vm) if vms.len() < self.cfg.rumours_max && !vms.contains(&vm) => vms.push(vm),
                _ => {}
            }
        }
        vms.iter()
            .filter_map(|vm| self.rumour_about(vm, lowered_epoch(vm)))
            .collect()
    }

    /// Returns the next VM to report in turn, in the order of their names.
    fn next_digest_vm(&mut self) -> Option<VmId> {
        let after = self.digest_cursor.take().and_then(|c| {
            let mut rest = self.peers.range((Bound::Excluded(c), Bound::Unbounded));
            rest.next().map(|(vm, _)| vm.clone())
        });
        self.digest_cursor = after.or_else(|| self.peers.keys().next().cloned());
        self.digest_cursor.clone()
    }

    fn rumour_about(&self, vm: &VmId, lowered: Epoch) -> Option<Rumour> {
        if *vm == self.cfg.me.vm {
            return Some(Rumour {
                vm: vm.clone(),
                incarnation: self.cfg.incarnation,
                refutations: self.refutations,
                state: self.own_vm_state(),
                lowered,
            });
        }
        let p = self.peers.get(vm)?;
        Some(Rumour {
            vm: vm.clone(),
            incarnation: p.incarnation?,
            refutations: p.refutations,
            state: p.state,
            lowered,
        })
    }
}
