//! One step of a script: a time and one event, or a few alike.

use std::sync::Arc;
use std::time::Duration;

use gs_query::Arrival;
use gs_query::ClaimVerdict;
use gs_query::Event;
use gs_query::ServerReport;
use gs_query::Sign;
use gs_query::SignSource;
use gs_types::prelude::*;
use serde::Deserialize;

use super::EVENTS_MAX;
use super::Script;
use super::fleet::MapSpec;
use super::reply::ReplySpec;

/// One `[[step]]`; names just one of the events.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct ScriptStep {
    #[serde(with = "humantime_serde")]
    at: Duration,
    config: Option<ConfigSpec>,
    map: Option<MapSpec>,
    report: Option<ReportSpec>,
    shares: Option<SharesSpec>,
    open: Option<Vec<ServerName>>,
    close: Option<Vec<ServerName>>,
    drain: Option<DrainSpec>,
    quarantine: Option<QuarantineSpec>,
    arrive: Option<ArriveSpec>,
    claim: Option<(LookupSeq, ClaimVerdict)>,
    sent: Option<Vec<String>>,
    reply: Option<ReplySpec>,
    gone: Option<LookupSeq>,
    tick: Option<TickSpec>,
    leave: Option<LeaveSpec>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct ConfigSpec {
    version: ConfVersion,
    lookup: Vec<Lookup>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct ReportSpec {
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

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct SharesSpec {
    servers: Vec<ServerName>,
    connections: Connections,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct DrainSpec {
    server: ServerName,
    incarnation: Option<Incarnation>,
    from: SignSource,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct QuarantineSpec {
    /// The lookup and the query text whose resends are meant.
    lookup: LookupName,
    query: String,
    crashes: u32,
    #[serde(with = "humantime_serde")]
    rest: Duration,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct ArriveSpec {
    seq: LookupSeq,
    lookup: LookupName,
    query: String,
    key: Option<String>,
    idempotency_key: Option<IdempotencyKey>,
    #[serde(default, with = "humantime_serde")]
    deadline: Option<Duration>,
    floor: Option<SnapshotId>,
}

/// Ticks from the step's time to `until`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct TickSpec {
    #[serde(with = "humantime_serde")]
    every: Duration,
    #[serde(with = "humantime_serde")]
    until: Duration,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
struct LeaveSpec {}

impl ScriptStep {
    /// Appends what the step comes to.
    pub(crate) fn events(&self, s: &Script, out: &mut Vec<(Duration, Event)>) -> Result<()> {
        let before = out.len();
        self.told(s, out)?;
        self.lookups(s, out)?;
        self.servers(out);
        let kinds = self.kinds();
        if kinds != 1 {
            let text = format!("the step names {kinds} events, not one");
            return Err(Error::new(ErrorKind::BadInput, text)
                .with_hint("write one `[[step]]` for each event"));
        }
        if out.len() == before {
            return Err(Error::new(
                ErrorKind::BadInput,
                "the step comes to no event",
            ));
        }
        Ok(())
    }

    fn kinds(&self) -> usize {
        [
            self.config.is_some(),
            self.map.is_some(),
            self.report.is_some(),
            self.shares.is_some(),
            self.open.is_some(),
            self.close.is_some(),
            self.drain.is_some(),
            self.quarantine.is_some(),
            self.arrive.is_some(),
            self.claim.is_some(),
            self.sent.is_some(),
            self.reply.is_some(),
            self.gone.is_some(),
            self.tick.is_some(),
            self.leave.is_some(),
        ]
        .iter()
        .filter(|there| **there)
        .count()
    }

    /// Configuration, maps, signs, time and the end.
    fn told(&self, s: &Script, out: &mut Vec<(Duration, Event)>) -> Result<()> {
        let at = self.at;
        if let Some(c) = &self.config {
            out.push((at, s.config(c.version, &c.lookup)));
        }
        if let Some(m) = &self.map {
            out.push((at, Event::Group(Arc::new(m.build(&s.data_centre)?))));
        }
        if let Some(d) = &self.drain {
            let sign = Sign::Drain {
                server: d.server.clone(),
                incarnation: d.incarnation,
            };
            out.push((at, Event::Sign(sign, d.from)));
        }
        if let Some(q) = &self.quarantine {
            let sign = Sign::Quarantine {
                fingerprint: request(s, &q.lookup, &q.query).fingerprint(),
                crashes: q.crashes,
                rest: q.rest,
            };
            out.push((at, Event::Sign(sign, SignSource::Peer)));
        }
        if let Some(t) = &self.tick {
            ticks(at, t, out)?;
        }
        if self.leave.is_some() {
            out.push((at, Event::Leave));
        }
        Ok(())
    }

    /// Callers, claims and attempts.
    fn lookups(&self, s: &Script, out: &mut Vec<(Duration, Event)>) -> Result<()> {
        let at = self.at;
        if let Some(a) = &self.arrive {
            out.push((at, Event::Arrive(a.build(s))));
        }
        if let Some((seq, verdict)) = &self.claim {
            out.push((at, Event::Claim(*seq, *verdict)));
        }
        for short in self.sent.iter().flatten() {
            out.push((at, Event::Sent(s.attempt(short)?)));
        }
        if let Some(r) = &self.reply {
            for short in &r.to {
                out.push((at, Event::Reply(s.attempt(short)?, r.build())));
            }
        }
        if let Some(seq) = &self.gone {
            out.push((at, Event::Gone(*seq)));
        }
        Ok(())
    }

    /// Reports, shares and connections.
    fn servers(&self, out: &mut Vec<(Duration, Event)>) {
        let at = self.at;
        if let Some(r) = &self.report {
            let reports = r.servers.iter().map(|name| r.build(name));
            out.extend(reports.map(|r| (at, Event::Report(r))));
        }
        if let Some(x) = &self.shares {
            let shares = x.servers.iter().map(|n| (n.clone(), x.connections));
            out.push((at, Event::Shares(shares.collect())));
        }
        for name in self.open.iter().flatten() {
            out.push((at, Event::Connection(name.clone(), true)));
        }
        for name in self.close.iter().flatten() {
            out.push((at, Event::Connection(name.clone(), false)));
        }
    }
}

fn ticks(at: Duration, t: &TickSpec, out: &mut Vec<(Duration, Event)>) -> Result<()> {
    let span = t.until.saturating_sub(at);
    let many = span.as_nanos().checked_div(t.every.as_nanos());
    let Some(n) = many
        .and_then(|n| usize::try_from(n).ok())
        .filter(|n| *n < EVENTS_MAX)
    else {
        return Err(Error::new(
            ErrorKind::TooMuch,
            "`tick` comes to too many events",
        ));
    };
    out.extend((0..=n).scan(at, |next, _| {
        let now = *next;
        *next = now.saturating_add(t.every);
        Some((now, Event::Tick))
    }));
    Ok(())
}

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

impl ArriveSpec {
    fn build(&self, s: &Script) -> Arrival {
        Arrival {
            seq: self.seq,
            req: LookupRequest {
                key: self.key.as_deref().map(Into::into),
                idempotency_key: self.idempotency_key.clone(),
                deadline: self.deadline,
                floor: self.floor,
                ..request(s, &self.lookup, &self.query)
            },
        }
    }
}

impl ReportSpec {
    fn build(&self, name: &ServerName) -> ServerReport {
        ServerReport {
            server: name.clone(),
            incarnation: self.incarnation,
            snapshots: self.snapshots.iter().copied().collect(),
            load: self.load,
            draining: self.draining,
        }
    }
}
