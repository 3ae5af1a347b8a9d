//! From whom a VM hears what the register says.
//!
//! The load it answers: hundreds of VMs that would each ask the register for every change, all of them again
//! after each outage; and askers that are killed, frozen, cut off from the register or from their followers.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use gs_relay::PeerVm;
use gs_types::prelude::*;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::candidates::ASKERS;
use crate::candidates::candidates;

/// How long a peer is left alone after its first failure; doubled with each further one.
const LEFT_ALONE: Duration = Duration::from_secs(2);

/// The most doublings: half a minute.
const DOUBLINGS: u32 = 4;

/// How many times in a row the register must answer this VM, while its peers say that they are out of touch
/// with it, before this VM asks by itself. The peers regain it a moment later as a rule, and a fleet whose
/// VMs all turned to it at the end of an outage would overrun it.
const ALONE_MAX: u32 = 2;

/// From whom a VM hears what the register says.
#[derive(Clone, Debug, PartialEq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Source {
    /// Nobody yet: the list of VMs is not known.
    Undecided,
    /// It asks itself, and tells others.
    Register,
    /// This VM, which asks the register.
    Peer(PeerVm),
}

/// Chooses from whom a VM hears what the register says.
#[derive(Clone, Debug)]
pub struct Sources {
    me: VmId,
    data_centre: DataCentre,
    source: Source,
    /// Whom this VM turns to, in this order.
    candidates: Vec<PeerVm>,
    left_alone: HashMap<VmId, LeftAlone>,
    /// How many times in a row the register answered while the peers were out of touch with it.
    alone: u32,
    /// Whether no peer was in touch with the register at the last look.
    is_outage: bool,
}

#[derive(Clone, Copy, Debug)]
struct LeftAlone {
    until: Instant,
    times: u32,
}

impl Sources {
    /// Starts undecided.
    #[must_use]
    pub fn new(me: VmId, data_centre: DataCentre) -> Self {
        Self {
            me,
            data_centre,
            source: Source::Undecided,
            candidates: Vec::new(),
            left_alone: HashMap::new(),
            alone: 0,
            is_outage: false,
        }
    }

    /// From whom this VM hears now.
    #[must_use]
    pub fn source(&self) -> &Source {
        &self.source
    }

    /// Takes in the VMs that are there.
    pub fn set_vms(&mut self, now: Instant, vms: &[PeerVm]) {
        let ranked = candidates(vms, &self.data_centre);
        let rank = ranked.iter().position(|vm| vm.name == self.me);
        self.candidates = match rank {
            Some(rank) if rank < ASKERS => Vec::new(),
            Some(rank) => ranked[..rank].to_vec(),
            None => ranked,
        };
        if let Some(first) = self.candidates.get_mut(..ASKERS) {
            // Each asker tells its part of the followers.
            let turn = xxh3_64(self.me.as_str().as_bytes()) as usize % ASKERS;
            first.rotate_left(turn);
        }
        self.left_alone
            .retain(|name, _| has(&self.candidates, name));
        self.choose(now);
    }

    /// Nobody is known in time: this VM asks the register itself.
    pub fn decide(&mut self) {
        if self.source == Source::Undecided {
            self.source = Source::Register;
        }
    }

    /// The peers to ask whether they are in touch with the register: the one that is followed, then the
    /// others that are not left alone.
    #[must_use]
    pub fn to_ask(&self, now: Instant) -> SmallVec<[PeerVm; 4]> {
        let mut all: SmallVec<[PeerVm; 4]> = SmallVec::new();
        if let Source::Peer(vm) = &self.source {
            all.push(vm.clone());
        }
        for vm in &self.candidates {
            if !all.iter().any(|known| known.name == vm.name) && !self.is_left_alone(now, &vm.name)
            {
                all.push(vm.clone());
            }
        }
        all
    }

    /// A peer did not answer, or does not ask the register: it is left alone for a while.
    pub fn failed(&mut self, now: Instant, name: &VmId) {
        let times = self.left_alone.get(name).map_or(0, |l| l.times);
        let until = now + LEFT_ALONE * (1 << times.min(DOUBLINGS));
        let times = times.saturating_add(1);
        self.left_alone
            .insert(name.clone(), LeftAlone { until, times });
        self.choose(now);
    }

    /// A peer says that it is in touch with the register, and these say that they are not; `false` if one of
    /// these is followed on and the register is not in reach before the next look.
    ///
    /// At the end of an outage the peers regain the register one after the other. The one that is followed has
    /// until the next look: were it left at once, all followers would gather at the first to regain.
    pub fn in_touch(&mut self, vm: &PeerVm, out_of_touch: &[PeerVm]) -> bool {
        self.alone = 0;
        let was_outage = std::mem::take(&mut self.is_outage);
        if was_outage && self.follows_one_of(out_of_touch) {
            return false;
        }
        if has(&self.candidates, &vm.name) {
            self.left_alone.remove(&vm.name);
            self.source = Source::Peer(vm.clone());
        }
        true
    }

    /// No peer is in touch with the register.
    pub fn none_in_touch(&mut self) {
        self.is_outage = true;
    }

    /// Whether no peer was in touch with the register at the last look.
    #[must_use]
    pub fn is_outage(&self) -> bool {
        self.is_outage
    }

    /// The register answered this VM, while these peers say that they are out of touch with it; `true` if
    /// this VM asks the register itself from now on.
    pub fn in_touch_alone(&mut self, now: Instant, peers: &[PeerVm]) -> bool {
        self.alone += 1;
        if self.alone < ALONE_MAX {
            return false;
        }
        self.alone = 0;
        for vm in peers {
            self.failed(now, &vm.name);
        }
        self.source == Source::Register
    }

    /// Keeps the peer that is followed if it may be, else takes the first that may.
    fn choose(&mut self, now: Instant) {
        let is_usable = |vm: &PeerVm| !self.is_left_alone(now, &vm.name);
        let mut usable = self.candidates.iter().filter(|vm| is_usable(vm));
        let followed = match &self.source {
            Source::Peer(vm) => usable.clone().find(|c| c.name == vm.name),
            Source::Undecided | Source::Register => None,
        };
        let chosen = followed.or_else(|| usable.next());
        self.source = chosen.map_or(Source::Register, |vm| Source::Peer(vm.clone()));
    }

    fn follows_one_of(&self, vms: &[PeerVm]) -> bool {
        matches!(&self.source, Source::Peer(vm) if has(vms, &vm.name))
    }

    fn is_left_alone(&self, now: Instant, name: &VmId) -> bool {
        self.left_alone.get(name).is_some_and(|l| l.until > now)
    }
}

fn has(vms: &[PeerVm], name: &VmId) -> bool {
    vms.iter().any(|vm| vm.name == *name)
}
