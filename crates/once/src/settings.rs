//! Settings of the claims.

use std::time::Duration;

use gs_types::prelude::*;

/// Settings of [`crate::IdempotencyClaims`]; all VMs of a fleet should use the same values.
#[derive(Clone, Debug, bon::Builder)]
pub struct ClaimSettings {
    /// The name of this VM.
    pub vm: VmId,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The number of buckets that keys hash to. All VMs must have the same number, and it must
    /// never change.
    #[builder(default = 2)]
    pub buckets: u16,
    /// How long after a key was minted it may be claimed; callers must not resend it later.
    #[builder(default = Duration::from_secs(15 * 60))]
    pub claim_window: Duration,
    /// How far a caller's clock may be ahead.
    #[builder(default = Duration::from_secs(60))]
    pub clock_skew_max: Duration,
    /// How long claims are stored beyond the claim window before they are removed.
    #[builder(default = Duration::from_secs(10 * 60))]
    pub retention_margin: Duration,
    /// The shortest time between two writes of a bucket and window; requests are batched in
    /// between.
    #[builder(default = Duration::from_millis(15))]
    pub write_interval: Duration,
    /// How long this VM waits for the bucket's writer before it writes a claim itself.
    #[builder(default = Duration::from_millis(150))]
    pub forward_timeout: Duration,
    /// How long the backoff after a failed call to the platform lasts.
    #[builder(default = Duration::from_millis(250))]
    pub platform_backoff: Duration,
    /// The number of claims at which a segment is full; bounds the size of an object.
    #[builder(default = 512)]
    pub claims_per_segment: usize,
    /// The most requests that may await a decision; more are refused.
    #[builder(default = 8192)]
    pub claim_requests_max: usize,
}
