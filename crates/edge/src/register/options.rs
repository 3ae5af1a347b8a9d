//! The options of a [`Register`](crate::register::Register).

use std::time::Duration;

use bon::Builder;
use gs_types::prelude::*;

/// The options of a [`Register`](crate::register::Register).
#[derive(Builder)]
pub(crate) struct RegisterOptions {
    pub(crate) vm: VmId,
    pub(crate) data_centre: DataCentre,
    /// Whether the whole fleet starts for the first time.
    pub(crate) first_start: bool,
    /// How long a server that was removed from the register continues to serve.
    pub(crate) drain: Duration,
    /// Whether this VM may follow a peer.
    pub(crate) may_follow: bool,
}
