//! Traces: what a process's decisions were told, recorded, read back and run again.
//!
//! A [`Recorder`] writes every [`gs_query::Event`] of a process with its time; a [`Reader`] reads
//! them back, and [`Replay`] drives a fresh engine with them. Since the engine has no other inputs,
//! it does again what it did. [`Checker`] compares that with the outcomes stated for the trace and
//! with what must hold for every trace, and names the first step that differs.
//!
//! A trace for a test can be written by hand as a [`Script`], a TOML file with a story.

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
