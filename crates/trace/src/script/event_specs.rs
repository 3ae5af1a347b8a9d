//! Short forms for what the engine is told, one for each kind of event with more than one value.

use std::time::Duration;

use gs_query::Arrival;
use gs_query::Event;
use gs_query::Notice;
use gs_query::NoticeSource;
use gs_query::ServerReport;
use gs_types::prelude::*;
use serde::Deserialize;

use super::EVENTS_MAX;
use super::Script;

/// A configuration that comes into force.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct ConfigSpec {
    version: ConfVersion,
    lookup: Vec<Lookup>,
}

impl ConfigSpec {
    pub(super) fn build(&self, s: &Script) -> Event {
        s.config(self.version, &self.lookup)
    }
}

/// What the health endpoints of some servers say.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct ReportSpec {
    servers: Vec<ServerName>,
    /// Not there if the server did not answer.
    incarnation: Option<Incarnation>,
    #[serde(default)]
    snapshots: Vec<SnapshotId>,
    #[serde(default)]
    load: u32,
    #[serde(default)]
    draining: bool,
}

impl ReportSpec {
    /// The same report of each server.
    pub(super) fn build(&self) -> impl Iterator<Item = Event> {
        self.servers.iter().map(|name| {
            Event::Report(ServerReport {
                server: name.clone(),
                incarnation: self.incarnation,
                snapshots: self.snapshots.iter().copied().collect(),
                load: self.load,
                draining: self.draining,
            })
        })
    }
}

/// The connections that this VM may hold to some servers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct SharesSpec {
    servers: Vec<ServerName>,
    connections: Connections,
}

impl SharesSpec {
    pub(super) fn build(&self) -> Event {
        let shares = self.servers.iter().map(|n| (n.clone(), self.connections));
        Event::Shares(shares.collect())
    }
}

/// A sign that a server drains.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct DrainSpec {
    server: ServerName,
    incarnation: Option<Incarnation>,
    from: NoticeSource,
}

impl DrainSpec {
    pub(super) fn build(&self) -> Event {
        let sign = Notice::Drain {
            server: self.server.clone(),
            incarnation: self.incarnation,
        };
        Event::Sign(sign, self.from)
    }
}

/// A peer's sign that a lookup crashed servers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct QuarantineSpec {
    /// The lookup and the query text whose resends are meant.
    lookup: LookupName,
    query: String,
    crashes: u32,
    #[serde(with = "humantime_serde")]
    rest: Duration,
}

impl QuarantineSpec {
    pub(super) fn build(&self, s: &Script) -> Event {
        let sign = Notice::Quarantine {
            fingerprint: request(s, &self.lookup, &self.query).fingerprint(),
            crashes: self.crashes,
            rest: self.rest,
        };
        Event::Sign(sign, NoticeSource::Peer)
    }
}

/// A caller's lookup.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct ArriveSpec {
    seq: LookupSeq,
    lookup: LookupName,
    query: String,
    key: Option<String>,
    idempotency_key: Option<IdempotencyKey>,
    #[serde(default, with = "humantime_serde")]
    deadline: Option<Duration>,
    floor: Option<SnapshotId>,
}

impl ArriveSpec {
    pub(super) fn build(&self, s: &Script) -> Event {
        let req = LookupRequest {
            key: self.key.as_deref().map(Into::into),
            idempotency_key: self.idempotency_key.clone(),
            deadline: self.deadline,
            floor: self.floor,
            ..request(s, &self.lookup, &self.query)
        };
        Event::Arrive(Arrival { seq: self.seq, req })
    }
}

/// A request for a lookup with nothing else said.
fn request(s: &Script, lookup: &LookupName, query: &str) -> LookupRequest {
    LookupRequest {
        front: s.front.clone(),
        lookup: lookup.clone(),
        query: query.into(),
        key: None,
        idempotency_key: None,
        deadline: None,
        floor: None,
    }
}

/// Ticks from the step's time to `until`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct TickSpec {
    #[serde(with = "humantime_serde")]
    every: Duration,
    #[serde(with = "humantime_serde")]
    until: Duration,
}

impl TickSpec {
    /// Appends a tick at `from` and then one every period until the last time.
    pub(super) fn build(&self, from: Duration, out: &mut Vec<(Duration, Event)>) -> Result<()> {
        let periods = self.periods(from).filter(|n| *n < EVENTS_MAX);
        let Some(periods) = periods else {
            return Err(Error::new(
                ErrorKind::TooMuch,
                "`tick` comes to too many events",
            ));
        };
        let mut at = from;
        for _ in 0..=periods {
            out.push((at, Event::Tick));
            at = at.saturating_add(self.every);
        }
        Ok(())
    }

    /// The whole periods from `from` on; `None` if the period is 0 or there are too many to count.
    fn periods(&self, from: Duration) -> Option<usize> {
        let span = self.until.saturating_sub(from);
        let periods = span.as_nanos().checked_div(self.every.as_nanos())?;
        usize::try_from(periods).ok()
    }
}

/// The process is leaving.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LeaveSpec {}
