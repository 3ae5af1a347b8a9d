//! Outcomes of a request, and the report on it.

use std::time::Duration;

use bytes::Bytes;
use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::abandon::AbandonCounts;
use crate::attempt_log::AttemptRecord;
use crate::possible_servers::PossibleServers;
use crate::reply::ServerAnswer;

/// A shard whose part is missing from a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingPart {
    /// Its number in the route.
    pub shard: u16,
    /// The servers that may have executed the part without success.
    pub possible_servers: PossibleServers,
}

/// A page merged from the parts of a fan-out.
#[derive(Clone, Debug)]
pub struct Page {
    /// The stamps of the parts on the page.
    pub stamps: SmallVec<[Bytes; 32]>,
    /// Shards whose part is missing.
    pub missing: SmallVec<[MissingPart; 4]>,
    /// The greatest records, in descending order.
    pub body: Bytes,
}

/// Why a request was refused before any server executed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RefuseReason {
    /// This VM has no routes yet.
    NotReady,
    /// No route matches it.
    NoRoute,
    /// Too many requests are in flight, it is not expected in time, or none of its attempts was
    /// executed, for example because every server refused it.
    Overload,
    /// Too few of its shards, or no server of its service, can be reached.
    NoServer,
    /// The route differs from that of the VM that delegated the parts.
    OtherRoute,
    /// It crashed servers and is in quarantine.
    Quarantined,
    /// The process shuts down before the request could be expected to end.
    ShuttingDown,
}

/// Why a request failed that a server may have executed in part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum FailReason {
    /// The final response was due before enough parts were complete.
    Late,
    /// Too many of its parts were abandoned before that.
    Failed,
}

/// The outcome of a request.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A server's answer, forwarded unchanged.
    Relayed(Box<ServerAnswer>),
    /// A page.
    Page(Box<Page>),
    /// Refused; no server has executed it or ever will.
    Refused(RefuseReason, Option<Duration>),
    /// Failed; a server may have executed it.
    Failed(FailReason),
}

/// The outcome of a request with figures for the log.
#[derive(Clone, Debug)]
pub struct RequestReport {
    /// What the caller receives.
    pub outcome: Outcome,
    /// How long it took.
    pub took: Duration,
    /// The objective of its route; zero if it had none.
    pub objective: Duration,
    /// Number of complete parts, and of all parts requested.
    pub parts: (usize, usize),
    /// Abandoned parts by reason.
    pub abandoned: AbandonCounts,
    /// Attempts made in addition to the initial one of each part.
    pub extra: u32,
    /// Attempts that were repeated without the budget.
    pub resent: u32,
    /// Attempts that reached a server and were rejected.
    pub rejected: u32,
    /// The matching route, if there is one.
    pub route: Option<LookupName>,
    /// The version of the routes in force; `None` before the first.
    pub version: Option<ConfVersion>,
    /// The attempts that explain why the request was not complete and on time; empty if it was.
    pub attempt_log: Vec<AttemptRecord>,
}
