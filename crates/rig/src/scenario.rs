//! The scenarios of the policy comparison; each injects its faults while the load runs.

use std::time::Duration;

use gs_rig::control::Command;
use gs_rig::deployment::Deployment;
use gs_types::prelude::*;
use strum::EnumIter;
use strum::IntoStaticStr;

/// The factor by which the service time of a straggler grows.
const STRAGGLER_FACTOR: f64 = 10.0;

/// The word that crashes servers; of all indexed files, only this one contains it.
const POISON_WORD: &str = "crashingword";

/// The time until a crashed server restarts, in milliseconds.
const POISON_DOWN_MS: u64 = 1000;

/// The false load that misleading servers report, higher than any true load.
const MISLEADING_LOAD: u32 = 1000;

/// A scenario of the comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Scenario {
    /// No fault.
    NoFault,
    /// One request in a hundred takes ten times as long.
    Stragglers1,
    /// Five requests in a hundred take ten times as long.
    Stragglers5,
    /// All servers of the scatter groups in the first data centre are down.
    ReplicaLost,
    /// One server after another drains and restarts.
    RollingDrain,
    /// Every scatter group gets a new snapshot with other shards, and drops the old one.
    Repartition,
    /// One replica of each service reports a high load, and the other reports none.
    MisleadingLoad,
    /// The servers take twenty times as long, and the load is 0.9 of their capacity.
    AtCapacity,
    /// The same with a load of twice the capacity.
    TwiceCapacity,
    /// A lookup crashes servers, and callers resend it.
    Poison,
    /// One request in a hundred is a straggler while the replicas of a data centre are down.
    StragglersAndReplicaLost,
    /// Drains during a repartition.
    DrainAndRepartition,
}

impl Scenario {
    /// Returns its name.
    pub fn name(self) -> &'static str {
        self.into()
    }

    /// Returns the mean service time of the servers.
    pub fn service_time(self) -> Duration {
        match self {
            Self::AtCapacity | Self::TwiceCapacity => Duration::from_millis(80),
            _ => Duration::from_millis(4),
        }
    }

    /// Returns the arrivals per second. The capacity scenarios load one group, whose shards can run
    /// 2 servers × 2 slots / 80 ms = 50 lookups per second.
    pub fn rate(self) -> f64 {
        match self {
            Self::AtCapacity => 45.0,
            Self::TwiceCapacity => 100.0,
            _ => 60.0,
        }
    }

    /// Whether the load consists of one lookup of the deployment only.
    pub fn is_one_lookup(self) -> bool {
        matches!(self, Self::AtCapacity | Self::TwiceCapacity)
    }

    /// Whether callers resend requests that got no page.
    pub fn has_resends(self) -> bool {
        self == Self::Poison
    }

    /// Returns the word that crashes servers, if the scenario has one.
    pub fn poison_word(self) -> Option<&'static str> {
        (self == Self::Poison).then_some(POISON_WORD)
    }

    /// Injects the faults, over at most `length`.
    pub async fn inject(self, d: &Deployment, length: Duration) -> Result<()> {
        match self {
            Self::NoFault | Self::AtCapacity | Self::TwiceCapacity => Ok(()),
            Self::Stragglers1 => inject_stragglers(d, 0.01).await,
            Self::Stragglers5 => inject_stragglers(d, 0.05).await,
            Self::ReplicaLost => kill_replicas(d).await,
            Self::RollingDrain => drain_in_turn(d, length).await,
            Self::Repartition => repartition(d, length).await,
            Self::MisleadingLoad => inject_false_load(d).await,
            Self::Poison => inject_poison(d, self.poison_word()).await,
            Self::StragglersAndReplicaLost => {
                inject_stragglers(d, 0.01).await?;
                kill_replicas(d).await
            }
            Self::DrainAndRepartition => {
                let (a, b) = tokio::join!(drain_in_turn(d, length), repartition(d, length));
                a.and(b)
            }
        }
    }
}

async fn inject_stragglers(d: &Deployment, share: f64) -> Result<()> {
    d.servers
        .apply(Command::Stragglers {
            server: None,
            share,
            factor: STRAGGLER_FACTOR,
        })
        .await
}

async fn inject_poison(d: &Deployment, word: Option<&str>) -> Result<()> {
    d.servers
        .apply(Command::Poison {
            word: word.map(str::to_owned),
            down_ms: POISON_DOWN_MS,
        })
        .await
}

async fn kill_replicas(d: &Deployment) -> Result<()> {
    for server in scatter_servers(d, &|i, r| (i + r) % 3 == 0) {
        d.servers.apply(Command::Kill { server }).await?;
    }
    Ok(())
}

async fn inject_false_load(d: &Deployment) -> Result<()> {
    for server in scatter_servers(d, &|_, r| r == 0) {
        let load = Some(MISLEADING_LOAD);
        let server = Some(server);
        d.servers.apply(Command::Mislead { server, load }).await?;
    }
    for server in scatter_servers(d, &|_, r| r == 1) {
        let load = Some(0);
        let server = Some(server);
        d.servers.apply(Command::Mislead { server, load }).await?;
    }
    Ok(())
}

/// Drains and restarts one server of each of the first services, one after another.
async fn drain_in_turn(d: &Deployment, length: Duration) -> Result<()> {
    let servers = scatter_servers(d, &|i, r| i < 4 && r == 0);
    let each = length / u32::try_from(servers.len() + 1).unwrap_or(1);
    for server in servers {
        let name = server.clone();
        d.servers.apply(Command::Drain { server: name }).await?;
        tokio::time::sleep(each).await;
        d.servers.apply(Command::Restart { server }).await?;
    }
    Ok(())
}

/// Publishes a new snapshot after a third of the run, and drops the old one after two thirds.
async fn repartition(d: &Deployment, length: Duration) -> Result<()> {
    let (old, new) = (SnapshotId(1), SnapshotId(2));
    tokio::time::sleep(length / 3).await;
    let groups = d.shape.groups.iter().filter(|g| g.services > 1);
    for g in groups.clone() {
        d.publish(g.name, new, g.services - g.services / 4)?;
    }
    tokio::time::sleep(length / 3).await;
    for server in scatter_servers(d, &|_, _| true) {
        let (server, snapshot) = (Some(server), old);
        d.servers
            .apply(Command::Forget { server, snapshot })
            .await?;
    }
    Ok(())
}

/// Returns the servers of the scatter groups whose service and replica numbers are wanted.
fn scatter_servers(d: &Deployment, is_wanted: &dyn Fn(u32, u32) -> bool) -> Vec<ServerName> {
    let mut out = Vec::new();
    for g in d.shape.groups.iter().filter(|g| g.services > 1) {
        for i in 0..g.services {
            for r in (0..g.replicas).filter(|r| is_wanted(i, *r)) {
                let name = format!("{}-{i}-{r}", g.name);
                out.extend(name.parse::<ServerName>());
            }
        }
    }
    out
}
