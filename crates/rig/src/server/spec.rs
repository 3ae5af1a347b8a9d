//! How one stand-in backend server is made.

use std::time::Duration;

use bon::Builder;
use gs_types::prelude::*;

use crate::net::Site;

/// One stand-in backend server.
#[derive(Clone, Debug, Builder)]
pub struct ServerSpec {
    /// Its name.
    pub name: ServerName,
    /// Its group.
    pub group: GroupName,
    /// Its service within the group.
    pub service: ServiceName,
    /// The number of its service; it holds the shards that are equal to it modulo `services`.
    #[builder(default)]
    pub service_index: u32,
    /// How many services the group has.
    #[builder(default = 1)]
    pub services: u32,
    /// The data centre that it stands in.
    pub site: Site,
    /// Lookups that it runs at the same time.
    pub slots: u32,
    /// Connections that it accepts; above, it closes at once.
    pub connections: u32,
    /// What a new connection costs before its first request is read.
    #[builder(default)]
    pub handshake: Duration,
    /// The mean service time: half fixed, half exponential.
    #[builder(default = Duration::from_millis(4))]
    pub service_time: Duration,
    /// Lookups that wait for a slot before it sheds.
    #[builder(default = 32)]
    pub queue: u32,
    /// How long it is slow after a restart.
    #[builder(default)]
    pub cold: Duration,
    /// The seed of its service times and faults.
    #[builder(default = 20_261_203)]
    pub seed: u64,
}

impl ServerSpec {
    /// Whether it holds this shard.
    #[must_use]
    pub fn holds(&self, shard: ShardId) -> bool {
        shard.0 % self.services.max(1) == self.service_index
    }
}
