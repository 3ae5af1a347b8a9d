//! The steps that a fuzzer takes.

use gs_query::ClaimDecision;
use proptest::prelude::*;
use proptest::strategy::BoxedStrategy;

/// What came of an attempt, as far as the fuzzer decides it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
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

/// One step; numbers pick among what is there, by their remainder.
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
        verdict: ClaimDecision,
    },
    /// An open attempt passes the point of no return.
    Sent(usize),
    /// An open attempt ends.
    Reply(usize, End),
    /// The latest attempts all end whole, in this order of a shuffle.
    ReplyAll(usize),
    /// The reply of any attempt ever made comes again, or another process's.
    Stray(usize, Cross),
    Pass(u64),
    Report {
        server: usize,
        lag: bool,
        holds: u8,
    },
    BeginDrain(usize),
    Restart(usize),
    DrainSign {
        server: usize,
        named: bool,
        lag: bool,
    },
    Quarantine {
        query: usize,
        crashes: u32,
        rest_ms: u64,
    },
    Repartition(u32),
    Share(usize, u32),
    Gone(usize),
}

/// How a stray reply differs from the attempt's own.
#[derive(Clone, Copy, Debug)]
pub enum Cross {
    Again,
    OtherVm,
    EarlierRun,
    NextTry,
    OtherLookup,
}

/// How often each kind of step is taken.
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

fn end() -> impl Strategy<Value = End> {
    prop_oneof![
        8 => Just(End::Whole),
        1 => Just(End::WholeDraining),
        2 => (1..5_u64).prop_map(End::WrongSnapshot),
        2 => Just(End::Shed),
        1 => Just(End::Draining),
        4 => any::<u8>().prop_map(End::NoSnapshot),
        1 => Just(End::NotSent),
        2 => Just(End::Broken),
        1 => Just(End::Garbled),
        2 => Just(End::Failed),
    ]
}

fn verdict() -> impl Strategy<Value = ClaimDecision> {
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

fn cross() -> impl Strategy<Value = Cross> {
    prop_oneof![
        4 => Just(Cross::Again),
        1 => Just(Cross::OtherVm),
        1 => Just(Cross::EarlierRun),
        1 => Just(Cross::NextTry),
        1 => Just(Cross::OtherLookup),
    ]
}

/// Any step, by these weights.
pub fn weighted(w: Weights) -> BoxedStrategy<Step> {
    prop_oneof![
        w.arrive => arrive(),
        w.claims => (any::<usize>(), verdict())
            .prop_map(|(pick, verdict)| Step::Claim { pick, verdict }),
        w.replies => any::<usize>().prop_map(Step::Sent),
        w.replies * 2 => (any::<usize>(), end()).prop_map(|(n, end)| Step::Reply(n, end)),
        w.replies => any::<usize>().prop_map(Step::ReplyAll),
        w.strays => (any::<usize>(), cross()).prop_map(|(n, cross)| Step::Stray(n, cross)),
        4 => (0..80_u64).prop_map(Step::Pass),
        w.drains + w.snapshots => (any::<usize>(), any::<bool>(), any::<u8>())
            .prop_map(|(server, lag, holds)| Step::Report { server, lag, holds }),
        w.drains => any::<usize>().prop_map(Step::BeginDrain),
        w.drains => any::<usize>().prop_map(Step::Restart),
        w.drains => (any::<usize>(), any::<bool>(), any::<bool>())
            .prop_map(|(server, named, lag)| Step::DrainSign { server, named, lag }),
        w.suspicion => (any::<usize>(), 0..3_u32, prop_oneof![Just(0), 0..2_000_u64])
            .prop_map(|(query, crashes, rest_ms)| Step::Quarantine { query, crashes, rest_ms }),
        w.snapshots => (1..7_u32).prop_map(Step::Repartition),
        1 => (any::<usize>(), 0..5_u32).prop_map(|(server, n)| Step::Share(server, n)),
        1 => any::<usize>().prop_map(Step::Gone),
    ]
    .boxed()
}
