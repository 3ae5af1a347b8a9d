//! State of a request in flight and of its parts.

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
use crate::route::RepeatPolicy;
use crate::route::Route;
use crate::unanswered::UnansweredPart;

/// State of one part of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PartState {
    /// Waits in the queue of its service.
    Waiting(Cause),
    /// Its retry waits until a server has executed another part of the request.
    Held(Cause),
    /// Delegated to a peer.
    Bundled,
    /// An attempt is in flight.
    Running,
    /// Its answer has arrived.
    Complete,
    /// No further attempt is made, and no answer is accepted; it stays in this state.
    Abandoned,
}

/// One part of a request: a shard of a fan-out, or the complete request otherwise.
#[derive(Clone, Debug)]
pub(crate) struct Part {
    /// Its number among the route's shards; 0 if there is only one part.
    pub(crate) shard: u16,
    pub(crate) service: ServiceName,
    pub(crate) state: PartState,
    pub(crate) attempts: SmallVec<[Attempt; 2]>,
    /// The servers that may have executed it for a peer.
    pub(crate) possible_servers: PossibleServers,
    /// Why it was abandoned, if it was.
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

    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Returns whether it is neither complete nor abandoned.
    pub(crate) fn is_unfinished(&self) -> bool {
        !matches!(self.state, PartState::Complete | PartState::Abandoned)
    }
}

/// A request in flight.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) seq: LookupSeq,
    pub(crate) req: CallerRequest,
    /// Identifies the request among its repeats.
    pub(crate) fingerprint: Fingerprint,
    pub(crate) route: Arc<Route>,
    pub(crate) arrived_at: Instant,
    /// When an answer must be sent to meet the objective.
    pub(crate) objective_at: Instant,
    /// When the final response must be sent at the latest.
    pub(crate) answer_by: Instant,
    /// How long the caller waits, limited by the route's timeout.
    pub(crate) caller_timeout: Duration,
    /// The shards wanted, if another VM has delegated parts.
    pub(crate) shards_wanted: Option<Vec<u16>>,
    /// How many times it has been delegated on the way to this VM.
    pub(crate) hops: u8,
    /// The fewest parts that make an answer.
    pub(crate) parts_min: usize,
    /// The fewest parts that are of use to the caller or the delegating VM.
    pub(crate) parts_wanted: usize,
    /// Parts delegated to peers.
    pub(crate) bundles: SmallVec<[Bundle; 2]>,
    pub(crate) parts: Vec<Part>,
    /// Number of complete parts.
    pub(crate) complete: usize,
    /// Number of abandoned parts.
    pub(crate) abandoned: usize,
    /// Number of parts whose retry is held.
    pub(crate) held: usize,
    /// Hedges and retries of its parts so far.
    pub(crate) extra_attempts: u32,
    /// Attempts at its parts so far that were repeated without the budget.
    pub(crate) resent_attempts: u32,
    /// Attempts at its parts so far that reached a server and were rejected.
    pub(crate) rejected_attempts: u32,
    /// Whether a server has answered an attempt at one of its parts, and so executed it without
    /// crashing.
    pub(crate) executed_without_crash: bool,
    /// Attempts that servers did not answer; only of a fan-out.
    pub(crate) unanswered: Vec<UnansweredPart>,
    /// When it is checked next.
    pub(crate) timer: Option<Instant>,
    /// When to retry, if a peer had no capacity for it.
    pub(crate) retry_after: Option<Duration>,
}

impl ActiveRequest {
    pub(crate) fn is_once(&self) -> bool {
        self.route.repeat == RepeatPolicy::Once
    }

    /// Returns all attempts in flight, at servers and at peers.
    pub(crate) fn attempts_in_flight(&self) -> Vec<(AttemptKey, Attempt)> {
        let bundles = self.bundles.iter().enumerate();
        let bundles = bundles.map(|(n, b)| (BUNDLE_PART_NUMBER, n, b.attempt));
        let parts = self.parts.iter().enumerate().flat_map(|(at, part)| {
            // A fan-out has far fewer than 2^16 shards.
            let attempts = part.attempts.iter().enumerate();
            attempts.map(move |(n, a)| (at as u16, n, *a))
        });
        let live = bundles.chain(parts).filter(|(_, _, a)| a.is_in_flight());
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

    /// Returns whether a server has executed any part of it or may have.
    pub(crate) fn may_have_run(&self) -> bool {
        let attempts = self.parts.iter().flat_map(|p| &p.attempts);
        let bundles = self.bundles.iter().map(|b| &b.attempt);
        { attempts }.chain(bundles).any(Attempt::may_have_run)
    }

    /// Returns the time until the final response must be sent.
    pub(crate) fn time_to_answer(&self, now: Instant) -> Duration {
        self.answer_by.saturating_duration_since(now)
    }
}
