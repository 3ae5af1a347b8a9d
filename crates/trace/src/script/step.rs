//! One step of a script: a time and an event, or several events of the same kind.

use std::sync::Arc;
use std::time::Duration;

use gs_query::ClaimDecision;
use gs_query::Event;
use gs_types::prelude::*;
use serde::Deserialize;

use super::Script;
use super::event_specs::ArriveSpec;
use super::event_specs::ConfigSpec;
use super::event_specs::DrainSpec;
use super::event_specs::LeaveSpec;
use super::event_specs::QuarantineSpec;
use super::event_specs::ReportSpec;
use super::event_specs::SharesSpec;
use super::event_specs::TickSpec;
use super::map_spec::MapSpec;
use super::reply_spec::ReplySpec;

/// One `[[step]]`; exactly one of the events is present.
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
    accepted: Option<Vec<ServerName>>,
    refused: Option<Vec<ServerName>>,
    drain: Option<DrainSpec>,
    quarantine: Option<QuarantineSpec>,
    arrive: Option<ArriveSpec>,
    claim: Option<(LookupSeq, ClaimDecision)>,
    sent: Option<Vec<String>>,
    reply: Option<ReplySpec>,
    gone: Option<LookupSeq>,
    tick: Option<TickSpec>,
    leave: Option<LeaveSpec>,
}

impl ScriptStep {
    /// Appends the events of the step.
    pub(crate) fn events(&self, s: &Script, out: &mut Vec<(Duration, Event)>) -> Result<()> {
        let before = out.len();
        self.append_control_events(s, out)?;
        self.append_lookup_events(s, out)?;
        self.append_server_events(out);
        let kinds = self.count_kinds();
        if kinds != 1 {
            let text = format!("the step names {kinds} events, not one");
            return Err(Error::new(ErrorKind::BadInput, text)
                .with_hint("write one `[[step]]` for each event"));
        }
        if out.len() == before {
            return Err(Error::new(
                ErrorKind::BadInput,
                "the step produces no event",
            ));
        }
        Ok(())
    }

    /// Returns how many kinds of events the step names.
    fn count_kinds(&self) -> usize {
        [
            self.config.is_some(),
            self.map.is_some(),
            self.report.is_some(),
            self.shares.is_some(),
            self.open.is_some(),
            self.close.is_some(),
            self.accepted.is_some(),
            self.refused.is_some(),
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
        .filter(|is_present| **is_present)
        .count()
    }

    /// Appends configurations, maps, notices, ticks and the shutdown.
    fn append_control_events(&self, s: &Script, out: &mut Vec<(Duration, Event)>) -> Result<()> {
        let at = self.at;
        if let Some(c) = &self.config {
            out.push((at, c.build(s)));
        }
        if let Some(m) = &self.map {
            out.push((at, Event::Group(Arc::new(m.build(&s.data_centre)?))));
        }
        if let Some(d) = &self.drain {
            out.push((at, d.build()));
        }
        if let Some(q) = &self.quarantine {
            out.push((at, q.build(s)));
        }
        if let Some(t) = &self.tick {
            t.build(at, out)?;
        }
        if let Some(l) = &self.leave {
            out.push((at, l.build()));
        }
        Ok(())
    }

    /// Appends the events of callers, claims and attempts.
    fn append_lookup_events(&self, s: &Script, out: &mut Vec<(Duration, Event)>) -> Result<()> {
        let at = self.at;
        if let Some(a) = &self.arrive {
            out.push((at, a.build(s)));
        }
        if let Some((seq, decision)) = &self.claim {
            out.push((at, Event::Claim(*seq, *decision)));
        }
        for short_id in self.sent.iter().flatten() {
            out.push((at, Event::Sent(s.parse_attempt(short_id)?)));
        }
        if let Some(r) = &self.reply {
            for short_id in &r.to {
                out.push((at, Event::Reply(s.parse_attempt(short_id)?, r.build())));
            }
        }
        if let Some(seq) = &self.gone {
            out.push((at, Event::Gone(*seq)));
        }
        Ok(())
    }

    /// Appends the events of reports, shares and connections.
    fn append_server_events(&self, out: &mut Vec<(Duration, Event)>) {
        let at = self.at;
        if let Some(r) = &self.report {
            out.extend(r.build().map(|event| (at, event)));
        }
        if let Some(shares) = &self.shares {
            out.push((at, shares.build()));
        }
        for name in self.open.iter().flatten() {
            out.push((at, Event::Connection(name.clone(), true)));
        }
        for name in self.close.iter().flatten() {
            out.push((at, Event::Connection(name.clone(), false)));
        }
        for name in self.accepted.iter().flatten() {
            out.push((at, Event::Accepted(name.clone(), Duration::ZERO)));
        }
        for name in self.refused.iter().flatten() {
            out.push((at, Event::Refused(name.clone())));
        }
    }
}
