//! Chooses the source from which a VM learns the register's contents: the register itself or a peer.
//!
//! If each of hundreds of VMs queried the register for every change, and all of them again after each outage, they
//! would overload it. The choice also handles direct VMs that are killed, paused, or partitioned from the register or
//! from their followers.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use gs_relay::PeerVm;
use gs_types::prelude::*;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::candidates::DIRECT_VMS;
use crate::candidates::candidates;

/// The backoff of a peer after its first failure; doubled with each further one.
const PEER_BACKOFF_MIN: Duration = Duration::from_secs(2);

/// The largest number of doublings of that backoff, which leads to about half a minute.
const BACKOFF_DOUBLINGS_MAX: u32 = 4;

/// How long after its backoff a failed peer is followed again without having shown that it reaches the register.
const PEER_TRUST_DELAY: Duration = Duration::from_secs(60);

/// The number of times in a row that the register must answer this VM, while its peers report that they cannot
/// reach it, before this VM queries it directly. The peers usually reconnect to it a moment later, and a fleet
/// whose VMs all queried it at the end of an outage would overload it.
const ONLY_SELF_CONNECTED_MIN: u32 = 2;

/// The source from which a VM learns the register's contents.
#[derive(Clone, Debug, PartialEq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RegisterSource {
    /// None yet: the list of VMs is not known.
    Undecided,
    /// The register, which this VM queries directly and serves to its followers.
    Register,
    /// This peer, which queries the register.
    Peer(PeerVm),
}

impl RegisterSource {
    /// Returns whether this peer is the source.
    #[must_use]
    pub fn is_peer(&self, vm: &PeerVm) -> bool {
        matches!(self, Self::Peer(followed) if followed.name == vm.name)
    }
}

/// Chooses the source from which a VM learns the register's contents.
#[derive(Clone, Debug)]
pub struct SourceSelector {
    me: VmId,
    data_centre: DataCentre,
    source: RegisterSource,
    /// The peers that this VM may follow, in order of preference.
    candidates: Vec<PeerVm>,
    backoffs: HashMap<VmId, PeerBackoff>,
    /// The number of times in a row that the register answered this VM while the peers could not reach it.
    only_self_connected: u32,
    /// Whether no peer could reach the register at the last check.
    is_outage: bool,
}

/// The backoff of a peer that failed: it is not queried meanwhile.
#[derive(Clone, Copy, Debug)]
struct PeerBackoff {
    until: Instant,
    failures: u32,
}

impl SourceSelector {
    /// Creates a selector whose source is undecided.
    #[must_use]
    pub fn new(me: VmId, data_centre: DataCentre) -> Self {
        Self {
            me,
            data_centre,
            source: RegisterSource::Undecided,
            candidates: Vec::new(),
            backoffs: HashMap::new(),
            only_self_connected: 0,
            is_outage: false,
        }
    }

    /// Returns the present source.
    #[must_use]
    pub fn source(&self) -> &RegisterSource {
        &self.source
    }

    /// Applies the list of announced VMs.
    pub fn set_vms(&mut self, now: Instant, vms: &[PeerVm]) {
        let ranked = candidates(vms, &self.data_centre);
        let rank = ranked.iter().position(|vm| vm.name == self.me);
        self.candidates = match rank {
            Some(rank) if rank < DIRECT_VMS => Vec::new(),
            Some(rank) => ranked[..rank].to_vec(),
            None => ranked,
        };
        if let Some(first) = self.candidates.get_mut(..DIRECT_VMS) {
            // The followers are spread over the direct VMs by the hash of their names.
            let offset = xxh3_64(self.me.as_str().as_bytes()) as usize % DIRECT_VMS;
            first.rotate_left(offset);
        }
        self.backoffs
            .retain(|name, _| contains(&self.candidates, name));
        self.choose(now);
    }

    /// Falls back to the register if the source is still undecided, as no list of VMs came in time.
    pub fn default_to_register(&mut self) {
        if self.source == RegisterSource::Undecided {
            self.source = RegisterSource::Register;
        }
    }

    /// Returns the peers to query whether they can reach the register: the one that is followed, then the other
    /// candidates that are not in backoff.
    #[must_use]
    pub fn peers_to_query(&self, now: Instant) -> SmallVec<[PeerVm; 4]> {
        let mut all: SmallVec<[PeerVm; 4]> = SmallVec::new();
        if let RegisterSource::Peer(vm) = &self.source {
            all.push(vm.clone());
        }
        for vm in &self.candidates {
            if !all.iter().any(|known| known.name == vm.name) && !self.is_backing_off(now, &vm.name)
            {
                all.push(vm.clone());
            }
        }
        all
    }

    /// Puts a peer that did not answer or does not query the register into backoff, and chooses again.
    pub fn on_peer_failed(&mut self, now: Instant, name: &VmId) {
        let failures = self.backoffs.get(name).map_or(0, |b| b.failures);
        let until = now + PEER_BACKOFF_MIN * (1 << failures.min(BACKOFF_DOUBLINGS_MAX));
        let failures = failures.saturating_add(1);
        self.backoffs
            .insert(name.clone(), PeerBackoff { until, failures });
        self.choose(now);
    }

    /// Records that a peer reaches the register while those in `disconnected` do not, and follows it if it is a
    /// candidate.
    ///
    /// Returns `false` if one of `disconnected` stays the source, so that the register counts as unreachable until
    /// the next check. At the end of an outage the peers reconnect to the register one after the other. The one that
    /// is followed has until the next check: if it were dropped at once, all followers would move to the peer that
    /// reconnected first.
    pub fn on_peer_connected(&mut self, vm: &PeerVm, disconnected: &[PeerVm]) -> bool {
        self.only_self_connected = 0;
        let was_outage = std::mem::take(&mut self.is_outage);
        if was_outage && self.follows_one_of(disconnected) {
            return false;
        }
        if contains(&self.candidates, &vm.name) {
            self.backoffs.remove(&vm.name);
            self.source = RegisterSource::Peer(vm.clone());
        }
        true
    }

    /// Records that no peer reaches the register.
    pub fn on_no_peer_connected(&mut self) {
        self.is_outage = true;
    }

    /// Returns whether no peer could reach the register at the last check.
    #[must_use]
    pub fn is_outage(&self) -> bool {
        self.is_outage
    }

    /// Records that the register answered this VM while these peers report that they cannot reach it.
    ///
    /// Returns `true` if this VM queries the register directly from now on.
    pub fn on_only_self_connected(&mut self, now: Instant, peers: &[PeerVm]) -> bool {
        self.only_self_connected += 1;
        if self.only_self_connected < ONLY_SELF_CONNECTED_MIN {
            return false;
        }
        self.only_self_connected = 0;
        for vm in peers {
            self.on_peer_failed(now, &vm.name);
        }
        self.source == RegisterSource::Register
    }

    /// Records that the register answered this VM although it has not answered these peers for too long, and queries it
    /// directly from now on.
    ///
    /// No second answer is needed: the peers had the chance to reconnect when they were asked.
    pub fn on_peers_overdue(&mut self, now: Instant, peers: &[PeerVm]) {
        self.only_self_connected = 0;
        for vm in peers {
            self.on_peer_failed(now, &vm.name);
        }
    }

    /// Keeps following the present peer if it is a usable candidate, else chooses the first usable one, or the
    /// register if there is none.
    fn choose(&mut self, now: Instant) {
        // A peer that failed is followed again once it answers a query: it may still be partitioned from the register
        // when its backoff is over.
        let is_usable = |vm: &PeerVm| {
            let failure = self.backoffs.get(&vm.name);
            failure.is_none_or(|b| b.until + PEER_TRUST_DELAY <= now)
        };
        let mut usable = self.candidates.iter().filter(|vm| is_usable(vm));
        let followed = match &self.source {
            RegisterSource::Peer(vm) => usable.clone().find(|c| c.name == vm.name),
            RegisterSource::Undecided | RegisterSource::Register => None,
        };
        let chosen = followed.or_else(|| usable.next());
        self.source = chosen.map_or(RegisterSource::Register, |vm| {
            RegisterSource::Peer(vm.clone())
        });
    }

    fn follows_one_of(&self, vms: &[PeerVm]) -> bool {
        matches!(&self.source, RegisterSource::Peer(vm) if contains(vms, &vm.name))
    }

    fn is_backing_off(&self, now: Instant, name: &VmId) -> bool {
        self.backoffs.get(name).is_some_and(|b| b.until > now)
    }
}

fn contains(vms: &[PeerVm], name: &VmId) -> bool {
    vms.iter().any(|vm| vm.name == *name)
}
