//! Whom to ask and to connect to, and what to tell.

use std::net::SocketAddr;
use std::ops::Bound;
use std::time::Instant;

use gs_types::prelude::*;
use rand::seq::SliceRandom;

use crate::gossip::Gossip;
use crate::heartbeat::Rumour;
use crate::seats::Epoch;
use crate::view::rank;
use crate::vm::VmState;

/// VMs told of in each heartbeat in turn, news or not, so that lost news is mended.
const DIGEST: usize = 4;

impl Gossip {
    /// Chooses whom to ask in this period: those that owe an answer, then others in turn.
    pub(crate) fn asked(&mut self, now: Instant) -> Vec<VmId> {
        let near = self.near.clone();
        let owes = |vm: &&VmId| {
            let state = self.peers.get(*vm).map(|p| (p.asked.is_some(), p.state));
            state.is_some_and(|(asked, s)| asked && s != VmState::Unreachable)
        };
        let mut chosen: Vec<VmId> = near.iter().filter(owes).cloned().collect();
        chosen.shuffle(&mut self.rng);
        chosen.truncate(self.cfg.probe_fan_out);
        for _ in 0..self.cfg.probe_fan_out.min(near.len()) {
            if self.turn.is_empty() {
                self.turn = near.clone();
                self.turn.shuffle(&mut self.rng);
            }
            match self.turn.pop() {
                Some(vm) if !chosen.contains(&vm) => chosen.push(vm),
                _ => {}
            }
        }
        chosen.retain(|vm| self.peers.contains_key(vm));
        for vm in &chosen {
            if let Some(p) = self.peers.get_mut(vm) {
                p.asked.get_or_insert(now);
            }
        }
        chosen
    }

    /// Chooses the neighbours again after a VM came or went.
    pub(crate) fn choose_near(&mut self) {
        let mut all: Vec<VmId> = self.peers.keys().cloned().collect();
        if all.len() > self.cfg.neighbours_max {
            let me = self.cfg.me.vm.as_str();
            all.sort_by_cached_key(|vm| std::cmp::Reverse(rank(me, vm).0));
            all.truncate(self.cfg.neighbours_max);
        }
        self.near = all;
    }

    /// The peers to connect to.
    pub(crate) fn addresses(&self) -> Vec<(VmId, SocketAddr)> {
        let near = self.near.iter();
        near.filter_map(|vm| self.peers.get(vm).map(|p| (vm.clone(), p.entry.mesh)))
            .collect()
    }

    /// The VMs to tell at once of something that cannot wait, at most `max`.
    pub(crate) fn some_live(&mut self, max: usize) -> Vec<VmId> {
        let mut live: Vec<VmId> = self.near.clone();
        live.retain(|vm| {
            self.peers
                .get(vm)
                .is_some_and(|p| p.state == VmState::Alive)
        });
        live.shuffle(&mut self.rng);
        live.truncate(max);
        live
    }

    /// What to tell in the next heartbeat: news first, then a few VMs in turn.
    pub(crate) fn rumours(&mut self, lowered_of: impl Fn(&VmId) -> Epoch) -> Vec<Rumour> {
        let mut vms = self.news.take(self.cfg.rumours_max, self.peers.len() + 1);
        for _ in 0..DIGEST.min(self.peers.len()) {
            let next = self.next_in_turn();
            match next {
                Some(vm) if vms.len() < self.cfg.rumours_max && !vms.contains(&vm) => vms.push(vm),
                _ => {}
            }
        }
        vms.iter()
            .filter_map(|vm| self.rumour_of(vm, lowered_of(vm)))
            .collect()
    }

    fn next_in_turn(&mut self) -> Option<VmId> {
        let after = self.cursor.take().and_then(|c| {
            let mut rest = self.peers.range((Bound::Excluded(c), Bound::Unbounded));
            rest.next().map(|(vm, _)| vm.clone())
        });
        self.cursor = after.or_else(|| self.peers.keys().next().cloned());
        self.cursor.clone()
    }

    fn rumour_of(&self, vm: &VmId, lowered: Epoch) -> Option<Rumour> {
        if *vm == self.cfg.me.vm {
            return Some(Rumour {
                vm: vm.clone(),
                incarnation: self.cfg.incarnation,
                refutations: self.refutations,
                state: self.my_state(),
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
