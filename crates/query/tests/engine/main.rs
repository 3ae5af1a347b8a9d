//! Tests of the engine's guarantees, one behaviour per test.

mod charts;
mod connections;
mod coverage;
mod drain;
mod fuzz;
mod hedge;
mod once;
mod outcome;
mod poison;
mod replies;
mod shutdown;
mod silence;
mod snapshot;
mod world;
