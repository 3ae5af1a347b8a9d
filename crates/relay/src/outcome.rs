//! What a caller gets back.

use std::time::Duration;

use bytes::Bytes;
use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::abandon::AbandonCounts;
use crate::attempt_log::AttemptRecord;
use crate::possible_servers::PossibleServers;
use crate::reply::ServerAnswer;

/// A shard whose part is not on a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Missing {
    /// Its number in the route.
    pub shard: u16,
    /// The servers that may have run the part in vain.
    pub possible_servers: PossibleServers,
}

/// A page merged from the parts of a fan-out.
#[derive(Clone, Debug)]
pub struct Page {
    /// The stamps of the parts that are in.
    pub stamps: SmallVec<[Bytes; 32]>,
    /// Shards whose part is not in.
    pub missing: SmallVec<[Missing; 4]>,
    /// The greatest records, greatest first.
    pub body: Bytes,
}

/// Why a request was refused before any server ran it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RefuseReason {
    /// No routes are known here yet.
    NotReady,
    /// No route takes it.
    NoRoute,
    /// It cannot be served in time as things stand.
    Overload,
    /// Too few of its shards, or no server of its service, can be reached.
    NoServer,
    /// The route is another here than at the VM that asks for parts.
    OtherRoute,
    /// It crashed servers, and is set aside for a while.
    Quarantined,
}

/// Why a request failed of which a server may have run something.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum FailReason {
    /// Its time was up.
    Late,
    /// Too many of its attempts failed.
    Failed,
}

/// The end of a request.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A server's answer, handed on unchanged.
    Relayed(Box<ServerAnswer>),
    /// A page.
    Page(Box<Page>),
    /// Refused; no server ran it or ever will.
    Refused(RefuseReason, Option<Duration>),
    /// Failed; a server may have run it.
    Failed(FailReason),
}

/// The end of a request with what an engineer wants to know of it.
#[derive(Clone, Debug)]
pub struct RequestReport {
    /// What the caller gets.
    pub outcome: Outcome,
    /// How long it took.
    pub took: Duration,
    /// The objective of its route; zero if it had none.
    pub objective: Duration,
    /// Parts that were in, and parts asked for.
    pub parts: (usize, usize),
    /// Parts that were given up, by reason.
    pub abandoned: AbandonCounts,
    /// Attempts made beyond the first of each part.
    pub extra: u32,
    /// The route, if one took it.
    pub route: Option<LookupName>,
    /// The version of the routes in force; `None` before the first.
    pub version: Option<ConfVersion>,
    /// The attempts that tell why it was not whole and on time; empty if it was.
    pub attempt_log: Vec<AttemptRecord>,
}
