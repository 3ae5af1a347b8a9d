//! What the membership is told at its start.

use std::time::Duration;

use gs_types::prelude::*;

/// What the membership is told at its start; every VM of a fleet should have the same times.
#[derive(Clone, Debug, bon::Builder)]
pub struct MemberSettings {
    /// This VM, as the platform will list it.
    pub me: VmEntry,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// Seeds the choice of peers.
    pub seed: u64,
    /// Time between heartbeats.
    #[builder(default = Duration::from_millis(500))]
    pub heartbeat_interval: Duration,
    /// The most VMs asked for an answer in each period.
    #[builder(default = 4)]
    pub probe_fan_out: usize,
    /// The most VMs that this one holds connections to and asks.
    #[builder(default = 64)]
    pub neighbours_max: usize,
    /// A VM that has not answered for this long is suspected.
    #[builder(default = Duration::from_millis(1500))]
    pub suspect_after: Duration,
    /// A suspected VM that nobody hears for this long counts as unreachable.
    #[builder(default = Duration::from_secs(2))]
    pub lapse_after: Duration,
    /// A VM that the platform's list lacks, and nobody hears, for this long is gone. Must be longer
    /// than the list ever lags behind a VM's start.
    #[builder(default = Duration::from_secs(60))]
    pub gone_after: Duration,
    /// The most rumours in one heartbeat.
    #[builder(default = 16)]
    pub rumours_max: usize,
    /// Time between two looks at the seat table by the VM whose duty it is.
    #[builder(default = Duration::from_secs(2))]
    pub table_check_interval: Duration,
    /// How long to wait, give or take half, before the platform is asked again after a failure.
    #[builder(default = Duration::from_millis(500))]
    pub platform_backoff: Duration,
    /// Time that vacant seats are kept before the table shrinks, so that a replaced VM finds one.
    #[builder(default = Duration::from_secs(120))]
    pub shrink_after: Duration,
}
