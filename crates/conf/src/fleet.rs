//! The versions that the VMs have in force, as reported to this VM.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use serde::Serialize;

use crate::message::RecordSummary;

/// The version that a VM reported to have in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct VmConfigStatus {
    /// The VM.
    pub vm: VmId,
    /// The configuration version in force there; `None` if it has not reported yet.
    pub version: Option<ConfVersion>,
    /// The time since the report.
    #[serde(with = "humantime_serde")]
    pub heard: Option<Duration>,
}

/// The VMs of the platform's list with their last reported summaries.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fleet {
    members: Vec<VmId>,
    summaries: BTreeMap<VmId, (RecordSummary, Instant)>,
}

impl Fleet {
    /// Applies a new list; the summaries of VMs outside it are removed.
    pub(crate) fn set_members(&mut self, members: Vec<VmId>) {
        self.summaries.retain(|vm, _| members.contains(vm));
        self.members = members;
    }

    /// Returns the VMs of the list.
    pub(crate) fn members(&self) -> &[VmId] {
        &self.members
    }

    /// Records the summary of a VM; one of an older object, which was delayed or reordered, is ignored.
    pub(crate) fn note_summary(&mut self, now: Instant, vm: &VmId, summary: RecordSummary) {
        let known = self.summaries.get(vm).map_or(0, |(s, _)| s.object);
        if summary.object >= known {
            self.summaries.insert(vm.clone(), (summary, now));
        }
    }

    /// Returns the version that a VM reported to have in force.
    pub(crate) fn reported_version(&self, vm: &VmId) -> Option<ConfVersion> {
        self.summaries.get(vm).map(|(s, _)| s.version)
    }

    /// Returns the newest object version that any VM reported.
    pub(crate) fn newest_object(&self) -> u64 {
        let objects = self.summaries.values().map(|(s, _)| s.object);
        objects.max().unwrap_or(0)
    }

    /// Returns the version that each VM of the list has in force.
    pub(crate) fn vm_config_statuses(&self, now: Instant) -> Vec<VmConfigStatus> {
        let one = |vm: &VmId| VmConfigStatus {
            vm: vm.clone(),
            version: self.reported_version(vm),
            heard: self
                .summaries
                .get(vm)
                .map(|(_, at)| elapsed_whole_ms(now, *at)),
        };
        self.members.iter().map(one).collect()
    }
}

/// Returns the elapsed time in whole milliseconds, for readable output.
fn elapsed_whole_ms(now: Instant, then: Instant) -> Duration {
    let ms = now.saturating_duration_since(then).as_millis();
    Duration::from_millis(u64::try_from(ms).unwrap_or(u64::MAX))
}
