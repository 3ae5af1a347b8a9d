//! The parameters of one stand-in backend server.

use std::time::Duration;

use bon::Builder;
use gs_types::prelude::*;

use crate::net::SiteNumber;

/// The parameters of one stand-in backend server.
#[derive(Clone, Debug, Builder)]
pub struct ServerSpec {
    /// Its name.
    pub name: ServerName,
    /// Its group.
    pub group: GroupName,
    /// Its service within the group.
    pub service: ServiceName,
    /// The number of its service; it holds the shards whose number is equal to it modulo `services`.
    #[builder(default)]
    pub service_index: u32,
    /// The number of services of the group.
    #[builder(default = 1)]
    pub services: u32,
    /// Its data centre.
    pub site: SiteNumber,
    /// The number of lookups that it runs concurrently.
    pub slots: u32,
    /// The maximum number of connections; further ones are closed at once.
    pub connections: u32,
    /// The delay of a new connection before its first request is read.
    #[builder(default)]
    pub handshake: Duration,
    /// The mean service time: half fixed, half exponential.
    #[builder(default = Duration::from_millis(4))]
    pub service_time: Duration,
    /// The number of lookups that wait for a slot before it sheds.
    #[builder(default = 32)]
    pub queue: u32,
    /// The duration of slow service after a restart.
    #[builder(default)]
    pub cold: Duration,
    /// The seed of its service times and reply faults.
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
