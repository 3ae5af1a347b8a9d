//! The state of one request in flight.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::abandon::AbandonReason;
use crate::attempt::Attempt;
use crate::attempt::AttemptKey;
use crate::attempt::Cause;
use crate::bundle::BUNDLE_PART_NUMBER;
use crate::bundle::Bundle;
use crate::possible_servers::PossibleServers;
use crate::reply::ServerAnswer;
use crate::request::CallerRequest;
use crate::route::Repeat;
use crate::route::Route;

/// What one part of a request is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PartState {
    /// Waits for a connection.
    Waiting(Cause),
    /// A peer asks for it.
    Bundled,
    /// An attempt is under way.
    Running,
    /// Its answer is in.
    Whole,
    /// Given up.
    Missing,
}

/// One part of a request: a shard of a fan-out, or the whole of any other.
#[derive(Clone, Debug)]
pub(crate) struct Part {
    /// Its number among the route's shards; 0 where there is but one part.
    pub(crate) shard: u16,
    pub(crate) service: ServiceName,
    pub(crate) state: PartState,
    pub(crate) attempts: SmallVec<[Attempt; 2]>,
    /// The servers that may have run it for a peer.
    pub(crate) possible_servers: PossibleServers,
    /// Why it was given up, if it was.
    pub(crate) abandon_reason: Option<AbandonReason>,
    /// The answer that counts, or the last failure that a server answered with.
    pub(crate) answer: Option<Box<ServerAnswer>>,
}

impl Part {
    pub(crate) fn new(shard: u16, service: ServiceName) -> Self {
        Self {
            shard,
            service,
            state: PartState::Waiting(Cause::First),
            attempts: SmallVec::new(),
            possible_servers: PossibleServers::None,
            abandon_reason: None,
            answer: None,
        }
    }

    pub(crate) fn has_live(&self) -> bool {
        self.attempts.iter().any(Attempt::is_live)
    }

    /// Whether it is neither whole nor given up.
    pub(crate) fn is_open(&self) -> bool {
        !matches!(self.state, PartState::Whole | PartState::Missing)
    }
}

/// One request in flight.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) seq: LookupSeq,
    pub(crate) req: CallerRequest,
    pub(crate) route: Arc<Route>,
    pub(crate) arrived: Instant,
    /// When an answer that is to come within the objective must leave.
    pub(crate) objective_at: Instant,
    /// When its final word leaves at the latest.
    pub(crate) answer_by: Instant,
    /// How long the caller and the route give it.
    pub(crate) caller_timeout: Duration,
    /// The shards wanted, if another VM asks for parts.
    pub(crate) only: Option<Vec<u16>>,
    /// VMs that it has passed.
    pub(crate) hops: u8,
    /// The fewest parts that make an answer.
    pub(crate) parts_min: usize,
    /// The fewest parts that are of use to whoever asks.
    pub(crate) parts_wanted: usize,
    /// Parts that peers ask for.
    pub(crate) bundles: SmallVec<[Bundle; 2]>,
    pub(crate) parts: Vec<Part>,
    pub(crate) whole: usize,
    pub(crate) missing: usize,
    pub(crate) extra: u32,
    /// Whether a server has run something of it and lived.
    pub(crate) survived: bool,
    pub(crate) timer: Option<Instant>,
    /// When to come back, if a peer had no room for it.
    pub(crate) retry_after: Option<Duration>,
}

impl ActiveRequest {
    pub(crate) fn is_once(&self) -> bool {
        self.route.repeat == Repeat::Once
    }

    /// Every attempt under way, at servers and at peers.
    pub(crate) fn live_attempts(&self) -> Vec<(AttemptKey, Attempt)> {
        let bundles = self.bundles.iter().enumerate();
        let bundles = bundles.map(|(n, b)| (BUNDLE_PART_NUMBER, n, b.attempt));
        let parts = self.parts.iter().enumerate().flat_map(|(at, part)| {
            // A fan-out has far fewer than 2^16 shards.
            let attempts = part.attempts.iter().enumerate();
            attempts.map(move |(n, a)| (at as u16, n, *a))
        });
        let live = bundles.chain(parts).filter(|(_, _, a)| a.is_live());
        let named = live.map(|(part, n, a)| {
            let id = AttemptKey {
                lookup: self.seq,
                part,
                attempt: n as u16,
            };
            (id, a)
        });
        named.collect()
    }

    /// Whether any server has run something of it, or may have.
    pub(crate) fn may_have_run(&self) -> bool {
        let attempts = self.parts.iter().flat_map(|p| &p.attempts);
        let bundles = self.bundles.iter().map(|b| &b.attempt);
        { attempts }.chain(bundles).any(Attempt::may_have_run)
    }

    pub(crate) fn left(&self, now: Instant) -> Duration {
        self.answer_by.saturating_duration_since(now)
    }
}
