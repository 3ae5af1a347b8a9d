//! The faults of the comparison, each put on while the load runs.

use std::time::Duration;

use gs_rig::control::Command;
use gs_rig::deployment::Deployment;
use gs_types::prelude::*;
use strum::EnumIter;
use strum::IntoStaticStr;

/// How many times the service time a straggler takes.
const STRAGGLER_FACTOR: f64 = 10.0;

/// The word that crashes servers, in no text that is indexed but this one.
const POISON: &str = "crashingword";

/// How long a poisoned server stays down, in milliseconds.
const POISON_DOWN_MS: u64 = 1000;

/// A load that no server can have, claimed by misleading ones.
const FALSE_LOAD: u32 = 1000;

/// One line of the comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Scenario {
    /// Nothing.
    NoFault,
    /// One request in a hundred takes ten times as long.
    Stragglers1,
    /// Five requests in a hundred do.
    Stragglers5,
    /// Every server of the scatter groups in the first data centre is down.
    ReplicaLost,
    /// One server after another drains and restarts.
    RollingDrain,
    /// Every scatter group gets a new snapshot with other shards, and drops the old one.
    Repartition,
    /// Idle servers claim a load, and every other one claims none.
    MisleadingLoad,
    /// The servers take twenty times as long, and the load is 0.9 of what they can do.
    AtCapacity,
    /// As before, with twice the load.
    TwiceCapacity,
    /// A lookup crashes servers and is sent again and again.
    Poison,
    /// Stragglers while the replicas of a data centre are lost.
    StragglersAndReplicaLost,
    /// Drains during a repartition.
    DrainAndRepartition,
}

impl Scenario {
    /// Its name.
    pub fn name(self) -> &'static str {
        self.into()
    }

    /// The mean service time of the servers under it.
    pub fn service_time(self) -> Duration {
        match self {
            Self::AtCapacity | Self::TwiceCapacity => Duration::from_millis(80),
            _ => Duration::from_millis(4),
        }
    }

    /// Arrivals a second: the capacity scenarios load one group, whose shards run 2 servers × 2
    /// slots / 80 ms = 50 lookups a second.
    pub fn rate(self) -> f64 {
        match self {
            Self::AtCapacity => 45.0,
            Self::TwiceCapacity => 100.0,
            _ => 60.0,
        }
    }

    /// Whether only the first lookup of the deployment is asked.
    pub fn one_lookup(self) -> bool {
        matches!(self, Self::AtCapacity | Self::TwiceCapacity)
    }

    /// Whether callers ask again after a refusal.
    pub fn resends(self) -> bool {
        self == Self::Poison
    }

    /// The word that poisons, if it does.
    pub fn poison(self) -> Option<&'static str> {
        (self == Self::Poison).then_some(POISON)
    }

    /// Puts the fault on, over at most `length`.
    pub async fn drive(self, d: &Deployment, length: Duration) -> Result<()> {
        match self {
            Self::NoFault | Self::AtCapacity | Self::TwiceCapacity => Ok(()),
            Self::Stragglers1 => stragglers(d, 0.01).await,
            Self::Stragglers5 => stragglers(d, 0.05).await,
            Self::ReplicaLost => lose_replicas(d).await,
            Self::RollingDrain => drain(d, length).await,
            Self::Repartition => repartition(d, length).await,
            Self::MisleadingLoad => mislead(d).await,
            Self::Poison => poison(d, self.poison()).await,
            Self::StragglersAndReplicaLost => {
                stragglers(d, 0.01).await?;
                lose_replicas(d).await
            }
            Self::DrainAndRepartition => {
                let (a, b) = tokio::join!(drain(d, length), repartition(d, length));
                a.and(b)
            }
        }
    }
}

async fn stragglers(d: &Deployment, share: f64) -> Result<()> {
    d.servers
        .apply(Command::Stragglers {
            server: None,
            share,
            factor: STRAGGLER_FACTOR,
        })
        .await
}

async fn poison(d: &Deployment, word: Option<&str>) -> Result<()> {
    d.servers
        .apply(Command::Poison {
            word: word.map(str::to_owned),
            down_ms: POISON_DOWN_MS,
        })
        .await
}

async fn lose_replicas(d: &Deployment) -> Result<()> {
    for server in scattered(d, &|i, r| (i + r) % 3 == 0) {
        d.servers.apply(Command::Kill { server }).await?;
    }
    Ok(())
}

async fn mislead(d: &Deployment) -> Result<()> {
    for server in scattered(d, &|_, r| r == 0) {
        let load = Some(FALSE_LOAD);
        let server = Some(server);
        d.servers.apply(Command::Mislead { server, load }).await?;
    }
    for server in scattered(d, &|_, r| r == 1) {
        let load = Some(0);
        let server = Some(server);
        d.servers.apply(Command::Mislead { server, load }).await?;
    }
    Ok(())
}

/// Drains and restarts one server of each of the first services, one after another.
async fn drain(d: &Deployment, length: Duration) -> Result<()> {
    let servers = scattered(d, &|i, r| i < 4 && r == 0);
    let each = length / u32::try_from(servers.len() + 1).unwrap_or(1);
    for server in servers {
        let name = server.clone();
        d.servers.apply(Command::Drain { server: name }).await?;
        tokio::time::sleep(each).await;
        d.servers.apply(Command::Restart { server }).await?;
    }
    Ok(())
}

/// A third into the run there is a new snapshot, two thirds into it the old one is gone.
async fn repartition(d: &Deployment, length: Duration) -> Result<()> {
    let (old, new) = (SnapshotId(1), SnapshotId(2));
    tokio::time::sleep(length / 3).await;
    let groups = d.shape.groups.iter().filter(|g| g.services > 1);
    for g in groups.clone() {
        d.publish(g.name, new, g.services - g.services / 4)?;
    }
    tokio::time::sleep(length / 3).await;
    for server in scattered(d, &|_, _| true) {
        let (server, snapshot) = (Some(server), old);
        d.servers
            .apply(Command::Forget { server, snapshot })
            .await?;
    }
    Ok(())
}

/// The servers of the scatter groups whose service and replica numbers fit.
fn scattered(d: &Deployment, fits: &dyn Fn(u32, u32) -> bool) -> Vec<ServerName> {
    let mut out = Vec::new();
    for g in d.shape.groups.iter().filter(|g| g.services > 1) {
        for i in 0..g.services {
            for r in (0..g.replicas).filter(|r| fits(i, *r)) {
                let name = format!("{}-{i}-{r}", g.name);
                out.extend(name.parse::<ServerName>());
            }
        }
    }
    out
}
