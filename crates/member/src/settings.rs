//! Settings of the membership.

use std::time::Duration;

use gs_types::prelude::*;

/// Settings of a [`crate::Membership`]; all VMs of a fleet should use the same durations.
#[derive(Clone, Debug, bon::Builder)]
pub struct MemberSettings {
    /// The entry of this VM, as the platform will list it.
    pub me: VmEntry,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// Seed for the random choice of peers.
    pub seed: u64,
    /// Time between two rounds of heartbeats.
    #[builder(default = Duration::from_millis(500))]
    pub heartbeat_interval: Duration,
    /// The most VMs probed in turn in each round. Up to as many more are probed because they have
    /// an answer outstanding.
    #[builder(default = 4)]
    pub probe_fan_out: usize,
    /// The most VMs that this VM holds mesh connections to and probes.
    #[builder(default = 64)]
    pub neighbours_max: usize,
    /// How long a probe may stay unanswered before the VM is suspected.
    #[builder(default = Duration::from_millis(1500))]
    pub suspect_after: Duration,
    /// How long a VM may be suspected, without a heartbeat of it or a rumour that refutes the
    /// suspicion, before it counts as unreachable.
    #[builder(default = Duration::from_secs(2))]
    pub unreachable_after: Duration,
    /// How long a VM may be missing from the platform's list, without contact to this VM, before it
    /// is removed from the view. Must be longer than the list can lag behind a VM's start.
    #[builder(default = Duration::from_secs(60))]
    pub removal_delay: Duration,
    /// The most rumours in a heartbeat.
    #[builder(default = 16)]
    pub rumours_max: usize,
    /// Time between two reads of the seat table by the VM that has the duty to maintain it.
    #[builder(default = Duration::from_secs(2))]
    pub table_check_interval: Duration,
    /// Mean backoff after a failed call to the platform; each backoff varies by up to half of it.
    #[builder(default = Duration::from_millis(500))]
    pub platform_backoff: Duration,
    /// How long a vacant seat stays in the table before it is removed, so that the replacement of a
    /// VM finds one.
    #[builder(default = Duration::from_secs(120))]
    pub vacant_seat_retention: Duration,
}
