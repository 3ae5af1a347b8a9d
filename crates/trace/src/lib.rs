//! Records the input events of a query engine, replays them and checks the replay.
//!
//! A [`Recorder`] writes every [`gs_query::Event`] of a process with its time; a [`Reader`] reads
//! them back, and [`Replay`] feeds them to a new engine. Since the engine has no other inputs, it
//! produces the same actions again. [`Checker`] compares them with the outcomes expected for the
//! trace and with the invariants of every trace, and reports the first step that differs.
//!
//! A trace for a test can be written by hand as a [`Script`], a TOML file with a description.

mod checker;
mod digest;
mod divergence;
mod expectations;
mod frame;
mod header;
mod invariants;
mod machine;
mod observed_outcome;
mod reader;
mod record;
mod recorder;
mod replay;
mod script;

pub use checker::Checker;
pub use divergence::Divergence;
pub use expectations::Expectations;
pub use expectations::LookupExpectation;
pub use expectations::OutcomeKind;
pub use expectations::ServerExpectation;
pub use frame::RECORD_MAX_BYTES;
pub use header::FORMAT_VERSION;
pub use header::Header;
pub use machine::Machine;
pub use machine::build_engine;
pub use reader::Reader;
pub use record::Record;
pub use recorder::Recorder;
pub use recorder::RecordingStats;
pub use replay::Replay;
pub use replay::Step;
pub use script::Script;
