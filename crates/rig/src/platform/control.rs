//! How a test makes the stand-in misbehave.

use std::net::IpAddr;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use super::vms::Vm;

/// An order to the stand-in; what is `None` stays as it is.
///
/// As JSON over `POST /control`, for example `{"down": true}` or
/// `{"lose": {"count": 2, "prefix": "claims/"}}`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Answer every call with 503.
    pub down: Option<bool>,
    /// Hold every call without an answer until this ends, then drop its connection.
    pub silent: Option<bool>,
    /// Answer so many milliseconds late; a write takes effect before the delay.
    pub delay_ms: Option<u64>,
    /// Drop the connection in place of an answer for the next writes that take effect.
    pub lose: Option<AnswerLoss>,
    /// Take writes, but let them take effect only when this is set to false again. The caller's
    /// connection is dropped at once.
    pub stall_writes: Option<bool>,
    /// Calls a second above which 429 is answered.
    pub limits: Option<Limits>,
    /// Hold calls from these addresses without an answer; replaces the list.
    pub cut: Option<Vec<IpAddr>>,
    /// Hold calls from the addresses of VMs in these data centres; replaces the list.
    pub cut_data_centres: Option<Vec<DataCentre>>,
    /// Add a VM to the list, or replace it.
    pub vm_add: Option<Vm>,
    /// Remove a VM from the list.
    pub vm_remove: Option<VmId>,
    /// Mark a VM as leaving.
    pub vm_leaving: Option<VmId>,
    /// How late the VM list shows changes.
    pub vm_lag_ms: Option<u64>,
    /// Forget all changes so far: watches from before are answered 410.
    pub forget: Option<bool>,
}

/// Which answers of writes to lose.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnswerLoss {
    /// How many.
    pub count: u32,
    /// Only of objects under this prefix; empty for all.
    #[serde(default)]
    pub prefix: String,
}

/// Calls a second above which 429 is answered; 0 for no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Reads, lists, watches and reads of the VM list.
    pub reads: u32,
    /// Writes and deletes.
    pub writes: u32,
}
