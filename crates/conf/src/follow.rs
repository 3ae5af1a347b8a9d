//! What the other VMs hold, as far as this one has heard.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use serde::Serialize;

use crate::message::RecordSummary;

/// What a VM said that it has in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct VmStatus {
    /// The VM.
    pub vm: VmId,
    /// The configuration version in force there; `None` if it was not heard yet.
    pub version: Option<ConfVersion>,
    /// How long ago it said so.
    #[serde(with = "humantime_serde")]
    pub heard: Option<Duration>,
}

/// What the VMs of the platform's list said that they have in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fleet {
    members: Vec<VmId>,
    heard: BTreeMap<VmId, (RecordSummary, Instant)>,
}

impl Fleet {
    /// Takes a new list; what VMs outside it said is forgotten.
    pub(crate) fn set_members(&mut self, members: Vec<VmId>) {
        self.heard.retain(|vm, _| members.contains(vm));
        self.members = members;
    }

    /// The VMs of the list.
    pub(crate) fn members(&self) -> &[VmId] {
        &self.members
    }

    /// Notes what a VM holds; an older word that was crossed or late changes nothing.
    pub(crate) fn note(&mut self, now: Instant, vm: &VmId, gossip: RecordSummary) {
        let known = self.heard.get(vm).map_or(0, |(g, _)| g.object);
        if gossip.object >= known {
            self.heard.insert(vm.clone(), (gossip, now));
        }
    }

    /// The version that a VM said it has in force.
    pub(crate) fn version(&self, vm: &VmId) -> Option<ConfVersion> {
        self.heard.get(vm).map(|(g, _)| g.version)
    }

    /// The newest object version that a VM said it holds.
    pub(crate) fn newest(&self) -> u64 {
        let heard = self.heard.values().map(|(g, _)| g.object);
        heard.max().unwrap_or(0)
    }

    /// What each VM of the list has in force.
    pub(crate) fn status(&self, now: Instant) -> Vec<VmStatus> {
        let one = |vm: &VmId| VmStatus {
            vm: vm.clone(),
            version: self.version(vm),
            heard: self.heard.get(vm).map(|(_, at)| whole_ms(now, *at)),
        };
        self.members.iter().map(one).collect()
    }
}

/// The time since then without the fractions that nobody reads.
fn whole_ms(now: Instant, then: Instant) -> Duration {
    let ms = now.saturating_duration_since(then).as_millis();
    Duration::from_millis(u64::try_from(ms).unwrap_or(u64::MAX))
}
