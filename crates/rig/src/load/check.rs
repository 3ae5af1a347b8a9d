//! Checks one answer against brute force and against what the servers saw.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use gs_types::prelude::*;

use super::ask::LookupRequest;
use super::caller::CallerAnswer;
use super::caller::Reply;
use crate::deploy::Snapshots;
use crate::server::Servers;
use crate::truth::Ask;
use crate::truth::Truth;

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// It is for another front or lookup.
    Crossed,
    /// Its coverage does not add up, or names a snapshot that was never published.
    Coverage,
    /// Its page is not the one that brute force finds in the shards that it claims.
    Page,
    /// A complete lookup's page does not cover every shard.
    Thin,
    /// It says "not run" although a backend server ran it.
    NotRunButRan,
    /// It ended early without the right to.
    EarlyEnd,
    /// The request was cut off.
    Cut,
    /// It is no lookup's outcome at all.
    NoOutcome,
}

/// Checks answers.
#[derive(Clone, Debug)]
pub struct Checker {
    truth: Arc<Truth>,
    snapshots: Arc<Snapshots>,
    servers: Servers,
}

impl Checker {
    /// Checks against this text, these snapshots and these servers.
    #[must_use]
    pub fn new(truth: Arc<Truth>, snapshots: Arc<Snapshots>, servers: Servers) -> Self {
        Self {
            truth,
            snapshots,
            servers,
        }
    }

    /// Finds the first thing wrong with a reply, if any.
    #[must_use]
    pub fn check(&self, ask: &LookupRequest, reply: &Reply) -> Option<Fault> {
        match reply {
            Reply::Outcome { answer, .. } => self.check_answer(ask, answer),
            Reply::Cut(_) => Some(Fault::Cut),
            Reply::Other { .. } => Some(Fault::NoOutcome),
            Reply::Unreachable => None,
        }
    }

    /// The longest that a part of this page took, as its server saw it.
    #[must_use]
    pub fn slowest_part(&self, reply: &Reply) -> Option<Duration> {
        reply.page()?;
        match reply {
            Reply::Outcome { answer, .. } => self.servers.counts().slowest_part(&answer.request_id),
            _ => None,
        }
    }

    fn check_answer(&self, ask: &LookupRequest, answer: &CallerAnswer) -> Option<Fault> {
        if answer.front != ask.front || answer.lookup != ask.lookup.name {
            return Some(Fault::Crossed);
        }
        match &answer.outcome {
            Outcome::Answered(page) => self.check_page(ask, page),
            Outcome::NotRun(_) => self.check_not_run(&answer.request_id),
            Outcome::Unknown(_) => None,
        }
    }

    /// A server counts an attempt before it works on it, so a count that is there when the refusal
    /// arrives shows that the refusal lies.
    fn check_not_run(&self, id: &str) -> Option<Fault> {
        let ran = self.servers.counts().runs_of_request(id) > 0;
        ran.then_some(Fault::NotRunButRan)
    }

    fn check_page(&self, ask: &LookupRequest, page: &Answer) -> Option<Fault> {
        let shards = self.snapshots.shards(ask.lookup.group, page.snapshot);
        let asked = match ask.lookup.scope {
            Scope::Scatter => shards,
            Scope::Keyed => 1,
        };
        let missing: BTreeSet<ShardId> = page.coverage.missing.iter().map(|m| m.shard).collect();
        let c = &page.coverage;
        let adds_up = shards > 0
            && c.shards == asked
            && missing.len() == c.missing.len()
            && c.whole as usize + missing.len() == asked as usize;
        if !adds_up {
            return Some(Fault::Coverage);
        }
        if ask.lookup.promise == Promise::Complete && !c.is_full() {
            return Some(Fault::Thin);
        }
        let early_ok = ask
            .lookup
            .enough_at
            .is_some_and(|n| page.hits.len() >= n as usize);
        if page.ended_early && !early_ok {
            return Some(Fault::EarlyEnd);
        }
        self.check_hits(ask, page, shards, &missing)
    }

    fn check_hits(
        &self,
        ask: &LookupRequest,
        page: &Answer,
        shards: u32,
        missing: &BTreeSet<ShardId>,
    ) -> Option<Fault> {
        let truth = Ask {
            query: &ask.query,
            key: ask.key.as_deref(),
            snapshot: page.snapshot,
            shards,
            page: ask.lookup.page as usize,
        };
        let part = self
            .truth
            .brute_force(&truth, &|shard| !missing.contains(&shard));
        let same = part.hits == page.hits && part.matched == page.matched;
        (!same).then_some(Fault::Page)
    }
}
