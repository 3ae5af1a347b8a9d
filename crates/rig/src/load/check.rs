//! Checks answers against the reference search and the servers' counts.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use gs_types::prelude::*;

use super::caller::CallerAnswer;
use super::caller::Reply;
use super::mix::LookupRequest;
use crate::deploy::Snapshots;
use crate::reference::ReferenceSearch;
use crate::reference::SearchRequest;
use crate::server::Servers;

/// A fault of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// It is for another front or lookup.
    Crossed,
    /// Its coverage does not add up, or its snapshot is unknown.
    Coverage,
    /// Its page differs from the reference search over the shards that it claims.
    Page,
    /// The page of a complete lookup does not cover every shard.
    Thin,
    /// It is refused as "not run" although a backend server ran it.
    NotRunButRan,
    /// It ended early although the lookup does not allow that, or without enough hits.
    EarlyEnd,
    /// The connection broke, or the request timed out.
    Cut,
    /// It is not a lookup's outcome.
    NoOutcome,
}

/// Checks answers against the text, the snapshots and the servers' counts.
#[derive(Clone, Debug)]
pub struct Checker {
    reference: Arc<ReferenceSearch>,
    snapshots: Arc<Snapshots>,
    servers: Servers,
}

impl Checker {
    /// Creates a checker for this text, these snapshots and these servers.
    #[must_use]
    pub fn new(
        reference: Arc<ReferenceSearch>,
        snapshots: Arc<Snapshots>,
        servers: Servers,
    ) -> Self {
        Self {
            reference,
            snapshots,
            servers,
        }
    }

    /// Returns the first fault found in a reply, if any.
    #[must_use]
    pub fn check(&self, request: &LookupRequest, reply: &Reply) -> Option<Fault> {
        match reply {
            Reply::Outcome { answer, .. } => self.check_answer(request, answer),
            Reply::Cut(_) => Some(Fault::Cut),
            Reply::Other { .. } => Some(Fault::NoOutcome),
            Reply::Unreachable => None,
        }
    }

    /// Returns the time of the slowest part of a page, as measured by its server.
    #[must_use]
    pub fn slowest_part(&self, reply: &Reply) -> Option<Duration> {
        reply.page()?;
        match reply {
            Reply::Outcome { answer, .. } => self.servers.counts().slowest_part(&answer.request_id),
            _ => None,
        }
    }

    fn check_answer(&self, request: &LookupRequest, answer: &CallerAnswer) -> Option<Fault> {
        if answer.front != request.front || answer.lookup != request.lookup.name {
            return Some(Fault::Crossed);
        }
        match &answer.outcome {
            Outcome::Answered(page) => self.check_page(request, page),
            Outcome::NotRun(_) => self.check_not_run(&answer.request_id),
            Outcome::Unknown(_) => None,
        }
    }

    /// Checks that no server ran a request that was refused as not run.
    ///
    /// A server counts an attempt before it runs it, so a count that is present when the refusal
    /// arrives proves the refusal wrong.
    fn check_not_run(&self, id: &str) -> Option<Fault> {
        let ran = self.servers.counts().runs_of_request(id) > 0;
        ran.then_some(Fault::NotRunButRan)
    }

    fn check_page(&self, request: &LookupRequest, page: &Answer) -> Option<Fault> {
        let shards = self.snapshots.shards(request.lookup.group, page.snapshot);
        let queried = match request.lookup.scope {
            Scope::Scatter => shards,
            Scope::Keyed => 1,
        };
        let missing: BTreeSet<ShardId> = page.coverage.missing.iter().map(|m| m.shard).collect();
        let c = &page.coverage;
        let adds_up = shards > 0
            && c.shards == queried
            && missing.len() == c.missing.len()
            && c.whole as usize + missing.len() == queried as usize;
        if !adds_up {
            return Some(Fault::Coverage);
        }
        if request.lookup.promise == Promise::Complete && !c.is_complete() {
            return Some(Fault::Thin);
        }
        let early_ok = request
            .lookup
            .enough_at
            .is_some_and(|n| page.hits.len() >= n as usize);
        if page.ended_early && !early_ok {
            return Some(Fault::EarlyEnd);
        }
        self.check_hits(request, page, shards, &missing)
    }

    fn check_hits(
        &self,
        request: &LookupRequest,
        page: &Answer,
        shards: u32,
        missing: &BTreeSet<ShardId>,
    ) -> Option<Fault> {
        let reference = SearchRequest {
            query: &request.query,
            key: request.key.as_deref(),
            snapshot: page.snapshot,
            shards,
            page: request.lookup.page as usize,
        };
        let part = self
            .reference
            .search(&reference, &|shard| !missing.contains(&shard));
        let same = part.hits == page.hits && part.matched == page.matched;
        (!same).then_some(Fault::Page)
    }
}
