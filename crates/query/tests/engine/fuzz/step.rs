//! The steps of the fuzzer and their generators.

use gs_query::ClaimDecision;
use proptest::prelude::*;
use proptest::strategy::BoxedStrategy;

/// How the fuzzer ends an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    Whole,
    WholeDraining,
    WrongSnapshot(u64),
    Shed,
    Draining,
    NoSnapshot(u8),
    NotSent,
    Broken,
    Garbled,
    Failed,
}

/// A step; numbers select among the existing items by their remainder.
#[derive(Clone, Debug)]
pub enum Step {
    Arrive {
        lookup: usize,
        query: usize,
        floor: Option<u64>,
        deadline_ms: Option<u64>,
    },
    Claim {
        pick: usize,
        decision: ClaimDecision,
    },
    /// The first byte of an open attempt is sent.
    Sent(usize),
    /// An open attempt ends.
    Reply(usize, AttemptEnd),
    /// All open attempts end with a complete part, in an order derived from this number.
    ReplyAll(usize),
    /// A reply that matches no attempt in flight arrives: a duplicate, or one with another id.
    Stray(usize, StrayId),
    Pass(u64),
    Report {
        server: usize,
        is_outdated: bool,
        holds: u8,
    },
    BeginDrain(usize),
    Restart(usize),
    DrainSign {
        server: usize,
        named: bool,
        is_outdated: bool,
    },
    Quarantine {
        query: usize,
        crashes: u32,
        rest_ms: u64,
    },
    Repartition(u32),
    Share(usize, u32),
    Gone(usize),
    /// A connection to a server is lost.
    Lost(usize),
    /// A server accepts a connection that was begun this many milliseconds ago.
    Accepted(usize, u64),
    /// The address of a server refuses a connection.
    Refused(usize),
}

/// How a stray reply differs from the attempt's own.
#[derive(Clone, Copy, Debug)]
pub enum StrayId {
    Duplicate,
    OtherVm,
    EarlierIncarnation,
    NextAttempt,
    OtherLookup,
}

/// The frequency of each kind of step.
#[derive(Clone, Copy, Debug)]
pub struct Weights {
    pub arrive: u32,
    pub claims: u32,
    pub replies: u32,
    pub strays: u32,
    pub drains: u32,
    pub snapshots: u32,
    pub suspicion: u32,
}

fn end() -> impl Strategy<Value = AttemptEnd> {
    prop_oneof![
        8 => Just(AttemptEnd::Whole),
        1 => Just(AttemptEnd::WholeDraining),
        2 => (1..5_u64).prop_map(AttemptEnd::WrongSnapshot),
        2 => Just(AttemptEnd::Shed),
        1 => Just(AttemptEnd::Draining),
        4 => any::<u8>().prop_map(AttemptEnd::NoSnapshot),
        1 => Just(AttemptEnd::NotSent),
        2 => Just(AttemptEnd::Broken),
        1 => Just(AttemptEnd::Garbled),
        2 => Just(AttemptEnd::Failed),
    ]
}

fn decision() -> impl Strategy<Value = ClaimDecision> {
    prop_oneof![
        6 => Just(ClaimDecision::Granted),
        1 => Just(ClaimDecision::Taken),
        1 => Just(ClaimDecision::Expired),
        1 => Just(ClaimDecision::Refused),
        1 => Just(ClaimDecision::Unknown),
    ]
}

fn arrive() -> impl Strategy<Value = Step> {
    (
        any::<usize>(),
        any::<usize>(),
        prop::option::weighted(0.2, 1..5_u64),
        prop::option::weighted(0.2, 0..300_u64),
    )
        .prop_map(|(lookup, query, floor, deadline_ms)| Step::Arrive {
            lookup,
            query,
            floor,
            deadline_ms,
        })
}

fn stray_id() -> impl Strategy<Value = StrayId> {
    prop_oneof![
        4 => Just(StrayId::Duplicate),
        1 => Just(StrayId::OtherVm),
        1 => Just(StrayId::EarlierIncarnation),
        1 => Just(StrayId::NextAttempt),
        1 => Just(StrayId::OtherLookup),
    ]
}

/// Generates steps by these weights.
pub fn weighted(w: Weights) -> BoxedStrategy<Step> {
    prop_oneof![
        w.arrive => arrive(),
        w.claims => (any::<usize>(), decision())
            .prop_map(|(pick, decision)| Step::Claim { pick, decision }),
        w.replies => any::<usize>().prop_map(Step::Sent),
        w.replies * 2 => (any::<usize>(), end()).prop_map(|(n, end)| Step::Reply(n, end)),
        w.replies => any::<usize>().prop_map(Step::ReplyAll),
        w.strays => (any::<usize>(), stray_id()).prop_map(|(n, stray_id)| Step::Stray(n, stray_id)),
        4 => (0..80_u64).prop_map(Step::Pass),
        w.drains + w.snapshots => (any::<usize>(), any::<bool>(), any::<u8>())
            .prop_map(|(server, is_outdated, holds)| Step::Report { server, is_outdated, holds }),
        w.drains => any::<usize>().prop_map(Step::BeginDrain),
        w.drains => any::<usize>().prop_map(Step::Restart),
        w.drains => (any::<usize>(), any::<bool>(), any::<bool>())
            .prop_map(|(server, named, is_outdated)| Step::DrainSign { server, named, is_outdated }),
        w.suspicion => (any::<usize>(), 0..3_u32, prop_oneof![Just(0), 0..2_000_u64])
            .prop_map(|(query, crashes, rest_ms)| Step::Quarantine { query, crashes, rest_ms }),
        w.snapshots => (1..7_u32).prop_map(Step::Repartition),
        1 => (any::<usize>(), 0..5_u32).prop_map(|(server, n)| Step::Share(server, n)),
        1 => any::<usize>().prop_map(Step::Gone),
        w.suspicion => any::<usize>().prop_map(Step::Lost),
        w.suspicion => (any::<usize>(), 0..5_u64).prop_map(|(server, ms)| Step::Accepted(server, ms)),
        w.suspicion => any::<usize>().prop_map(Step::Refused),
    ]
    .boxed()
}
