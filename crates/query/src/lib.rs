//! One lookup's life, and the engine that runs all of a process's lookups.
//!
//! The engine is a plain state machine: [`Event`]s in, [`Action`]s out, `now` passed in, no I/O and
//! no random source of its own. A process, a replayed trace and a fuzzer all drive the same code.

mod action;
mod arrive;
mod attempt;
mod canary;
mod claim;
mod core;
mod counters;
mod dump;
mod engine;
mod event;
mod finish;
mod heard;
mod keyed;
mod life;
mod lookup;
mod losses;
mod merge;
mod options;
mod orphan;
mod place;
mod policies;
mod queue;
mod reply;
mod shortfall;
mod signs;
mod suspects;
mod timers;
mod waiting;

pub use action::Action;
pub use action::Dispatch;
pub use action::LookupClaim;
pub use action::Notice;
pub use attempt::AttemptEvent;
pub use attempt::AttemptState;
pub use attempt::attempt_chart;
pub use counters::Counters;
pub use counters::RefusalCount;
pub use dump::EngineDump;
pub use dump::GroupDump;
pub use dump::LOOKUPS_SHOWN;
pub use dump::LookupDump;
pub use dump::SuspectDump;
pub use engine::Engine;
pub use event::Arrival;
pub use event::ClaimDecision;
pub use event::Event;
pub use event::NoticeSource;
pub use event::PartReply;
pub use event::ServerReport;
pub use keyed::shard_of_key;
pub use options::EngineOptions;
pub use options::PolicyName;
