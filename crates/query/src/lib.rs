//! The query engine of `gentiansill serve`: runs every lookup of a process over the shards of its
//! group.
//!
//! The engine is a pure state machine: it takes [`Event`]s and the current time, returns
//! [`Action`]s, and has no I/O and no random source of its own. A process, a replayed trace and a
//! fuzzer run the same code.

mod action;
mod arrival;
mod attempt;
mod canary;
mod claim;
mod connection_losses;
mod counters;
mod crash_suspects;
mod dump;
mod engine;
mod engine_state;
mod event;
mod finish;
mod incomplete_log;
mod lifecycle;
mod lookup;
mod merge;
mod notices;
mod options;
mod orphan;
mod placement;
mod policies;
mod queue;
mod reply;
mod server_ends;
mod server_reply;
mod shard_key;
mod shutdown;
mod timers;
mod wait_queues;

pub use action::Action;
pub use action::Dispatch;
pub use action::LookupClaim;
pub use action::Notice;
pub use attempt::AttemptEvent;
pub use attempt::AttemptState;
pub use attempt::attempt_chart;
pub use counters::Counters;
pub use counters::RefusalCount;
pub use dump::DUMPED_LOOKUPS_MAX;
pub use dump::EngineDump;
pub use dump::GroupDump;
pub use dump::LookupDump;
pub use dump::SuspectDump;
pub use engine::Engine;
pub use event::Arrival;
pub use event::ClaimDecision;
pub use event::Event;
pub use event::NoticeSource;
pub use event::PartReply;
pub use event::ServerReport;
pub use options::EngineOptions;
pub use options::PolicyName;
pub use shard_key::shard_of_key;
