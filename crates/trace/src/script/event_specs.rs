//! Short forms of the events that have more than one value, a type for each kind of event.

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

/// A configuration version that comes into force.
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

/// The reports of the health endpoints of some servers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct ReportSpec {
    servers: Vec<ServerName>,
    /// The server's incarnation; absent if the server did not answer.
    incarnation: Option<Incarnation>,
    #[serde(default)]
    snapshots: Vec<SnapshotId>,
    #[serde(default)]
    load: u32,
    #[serde(default)]
    draining: bool,
}

impl ReportSpec {
    /// Returns the same report for each server.
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

/// The number of connections that this VM may hold to each of some servers.
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

/// A notice that a server drains.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct DrainSpec {
    server: ServerName,
    incarnation: Option<Incarnation>,
    from: NoticeSource,
}

impl DrainSpec {
    pub(super) fn build(&self) -> Event {
        let notice = Notice::Drain {
            server: self.server.clone(),
            incarnation: self.incarnation,
        };
        Event::Sign(notice, self.from)
    }
}

/// A notice from a peer that a lookup crashed servers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct QuarantineSpec {
    /// The lookup which, with the query text, identifies the quarantined request.
    lookup: LookupName,
    query: String,
    crashes: u32,
    #[serde(with = "humantime_serde")]
    rest: Duration,
}

impl QuarantineSpec {
    pub(super) fn build(&self, s: &Script) -> Event {
        let notice = Notice::Quarantine {
            fingerprint: request(s, &self.lookup, &self.query).fingerprint(),
            crashes: self.crashes,
            rest: self.rest,
        };
        Event::Sign(notice, NoticeSource::Peer)
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

/// Returns a request for a lookup with all optional values absent.
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

/// Ticks from the step's time until `until`, one every `every`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct TickSpec {
    #[serde(with = "humantime_serde")]
    every: Duration,
    #[serde(with = "humantime_serde")]
    until: Duration,
}

impl TickSpec {
    /// Appends a tick at `from`, and one after each period until `until`.
    pub(super) fn build(&self, from: Duration, out: &mut Vec<(Duration, Event)>) -> Result<()> {
        let periods = self.periods(from).filter(|n| *n < EVENTS_MAX);
        let Some(periods) = periods else {
            return Err(Error::new(
                ErrorKind::TooMuch,
                "`tick` produces too many events",
            ));
        };
        let mut at = from;
        for _ in 0..=periods {
            out.push((at, Event::Tick));
            at = at.saturating_add(self.every);
        }
        Ok(())
    }

    /// Returns the number of complete periods from `from` to `until`; `None` if the period is 0 or
    /// the number does not fit into a `usize`.
    fn periods(&self, from: Duration) -> Option<usize> {
        let span = self.until.saturating_sub(from);
        let periods = span.as_nanos().checked_div(self.every.as_nanos())?;
        usize::try_from(periods).ok()
    }
}

/// The graceful shutdown of the process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LeaveSpec {
    /// The time within which every lookup has its outcome; if it is absent, new lookups are refused
    /// instead.
    #[serde(default, with = "humantime_serde")]
    within: Option<Duration>,
}

impl LeaveSpec {
    pub(super) fn build(&self) -> Event {
        self.within.map_or(Event::Leave, Event::ShutDown)
    }
}
