//! Options of the configuration manager.

use std::time::Duration;

use bon::Builder;
use gs_types::prelude::*;

/// Options of the configuration manager.
///
/// ```
/// let options = gs_conf::ConfigManagerOptions::builder()
///     .vm("vm-1".parse()?)
///     .incarnation(gs_types::prelude::Incarnation(1))
///     .seed(7)
///     .build();
/// assert!(options.bootstrap.is_none());
/// # Ok::<(), gs_types::error::Error>(())
/// ```
#[derive(Builder, Clone, Debug)]
pub struct ConfigManagerOptions {
    /// This VM.
    pub vm: VmId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Seeds nonces and jitter; different in every incarnation.
    pub seed: u64,
    /// The configuration to create if the platform reports that there is none.
    pub bootstrap: Option<Bootstrap>,
    /// How long VMs may take to acknowledge a patch before it is refused naming them.
    #[builder(default = Duration::from_millis(1_500))]
    pub ack_timeout: Duration,
    /// How long a VM that acknowledged a patch continues to serve the lookups that it changes without
    /// a message from the proposer or the platform.
    #[builder(default = Duration::from_millis(1_500))]
    pub in_doubt_after: Duration,
    /// How long a patch may stay prepared before any VM withdraws it for its proposer.
    #[builder(default = Duration::from_secs(3))]
    pub withdraw_after: Duration,
    /// The longest time that an operator's call waits for an outcome.
    #[builder(default = Duration::from_secs(10))]
    pub outcome_timeout: Duration,
}

/// The first configuration, with one admin team and no front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bootstrap {
    /// The name of the first admin team.
    pub team: TeamName,
    /// The SHA-256 of its key in hexadecimal.
    pub key_sha256: String,
}
