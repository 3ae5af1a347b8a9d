//! How a register is set up.

use std::time::Duration;

use bon::Builder;
use gs_types::prelude::*;

/// How a register is set up.
#[derive(Builder)]
pub(crate) struct RegisterOptions {
    pub(crate) vm: VmId,
    pub(crate) data_centre: DataCentre,
    /// Whether the whole fleet starts for the first time.
    pub(crate) first_start: bool,
    /// How long a server that is gone from the register goes on serving.
    pub(crate) drain: Duration,
    /// Whether this VM may hear of the register from a peer.
    pub(crate) may_follow: bool,
}
