//! Tests that record, read, replay and check traces.

mod common;
mod expectations;
mod fuzz;
mod invariants;
mod reading;
mod recording;
mod replaying;
mod samples;
mod scripts;
