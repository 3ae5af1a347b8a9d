//! Traces: recorded, read back, replayed and judged.

mod common;
mod fuzz;
mod judge;
mod reading;
mod recording;
mod replaying;
mod samples;
mod scripts;
mod stated;
