//! The control commands by which a test injects faults into the stand-in.

use std::net::IpAddr;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use super::vms::Vm;

/// A control command to the stand-in; fields that are `None` change nothing.
///
/// Sent as JSON by `POST /control`, for example `{"down": true}` or
/// `{"lose": {"count": 2, "prefix": "claims/"}}`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Answer every call with 503.
    pub down: Option<bool>,
    /// Hold every call without an answer until this is set to false, then drop its connection.
    pub silent: Option<bool>,
    /// Never answer the watches that arrive until this is set to false; their connections stay open for good.
    pub lose_watches: Option<bool>,
    /// Delay every answer by this number of milliseconds; a write takes effect before the delay.
    pub delay_ms: Option<u64>,
    /// Drop the connection instead of answering the next writes that take effect.
    pub lose: Option<AnswerLoss>,
    /// Accept writes, but apply them only when this is set to false again. The caller's
    /// connection is dropped at once.
    pub stall_writes: Option<bool>,
    /// The calls per second above which calls are answered with 429.
    pub limits: Option<Limits>,
    /// Hold calls from these addresses without an answer; replaces the previous list.
    pub cut: Option<Vec<IpAddr>>,
    /// Hold calls from the addresses of VMs in these data centres; replaces the previous list.
    pub cut_data_centres: Option<Vec<DataCentre>>,
    /// Add a VM to the VM list, or replace it.
    pub vm_add: Option<Vm>,
    /// Remove a VM from the VM list.
    pub vm_remove: Option<VmId>,
    /// Mark a VM as leaving.
    pub vm_leaving: Option<VmId>,
    /// The delay in milliseconds until changes appear in the VM list.
    pub vm_lag_ms: Option<u64>,
    /// Drop the history of changes: watches from an earlier revision are answered with 410.
    pub forget: Option<bool>,
}

/// Selects the answers of writes that are lost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnswerLoss {
    /// The number of answers.
    pub count: u32,
    /// Only writes of objects under this prefix; empty for all.
    #[serde(default)]
    pub prefix: String,
}

/// The calls per second above which calls are answered with 429; 0 for no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// The limit of object reads, lists, watches and VM list reads.
    pub reads: u32,
    /// The limit of writes and deletes.
    pub writes: u32,
}
