//! What the claims are told at their start.

use std::time::Duration;

use gs_types::prelude::*;

/// What the claims are told at their start; every VM of a fleet should have the same.
#[derive(Clone, Debug, bon::Builder)]
pub struct OnceSettings {
    /// This VM.
    pub vm: VmId,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// How many buckets keys hash to; all VMs must have the same number, for ever.
    #[builder(default = 2)]
    pub buckets: u16,
    /// How long after its minting a key may be claimed; callers never resend later than that.
    #[builder(default = Duration::from_secs(15 * 60))]
    pub window: Duration,
    /// How far in the future a caller's clock may be.
    #[builder(default = Duration::from_secs(60))]
    pub skew: Duration,
    /// How long claims are kept beyond the window before they are removed.
    #[builder(default = Duration::from_secs(10 * 60))]
    pub margin: Duration,
    /// The shortest time between two writes of one bucket and window, in which asks gather.
    #[builder(default = Duration::from_millis(15))]
    pub gather: Duration,
    /// How long the bucket's writer is waited for before this VM writes itself.
    #[builder(default = Duration::from_millis(150))]
    pub forward_for: Duration,
    /// How long the platform is left alone after it failed.
    #[builder(default = Duration::from_millis(250))]
    pub backoff: Duration,
    /// Claims after which a part is full; bounds an object's size.
    #[builder(default = 512)]
    pub claims_per_segment: usize,
    /// Asks held at the same time; more are refused.
    #[builder(default = 8192)]
    pub claim_requests_max: usize,
}
