//! The messages that processes send each other over the mesh.

use std::sync::Arc;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// A message between two processes, which may be lost, delayed or duplicated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A heartbeat.
    Beat(gs_member::Heartbeat),
    /// A message between the configuration managers.
    Conf(gs_conf::Message),
    /// A message about claims.
    Claim(gs_once::Message),
    /// A notice of a drain or a quarantine.
    Sign(gs_query::Notice),
    /// A request for every shard map that the receiver knows.
    WantGroups,
    /// A shard map.
    Group(Arc<GroupMap>),
    /// A request for the receiver's state, with a number that the sender assigned.
    WantDump(u64),
    /// The sender's state as JSON, with the number of the request.
    Dump(u64, String),
}
