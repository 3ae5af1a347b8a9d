//! What processes tell each other over the mesh.

use std::sync::Arc;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// One message between two processes; any may be lost, late or doubled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A heartbeat.
    Beat(gs_member::Heartbeat),
    /// About patches.
    Conf(gs_conf::Message),
    /// About claims.
    Claim(gs_once::Message),
    /// A drain or a quarantine.
    Sign(gs_query::Notice),
    /// Asks for every shard map that the receiver holds.
    WantGroups,
    /// A shard map.
    Group(Arc<GroupMap>),
    /// Asks for the receiver's state, under a number of the sender's.
    WantDump(u64),
    /// The sender's state as JSON, under the number that asked for it.
    Dump(u64, String),
}
