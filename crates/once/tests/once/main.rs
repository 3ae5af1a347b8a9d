//! Tests of the claims.

mod chart;
mod decisions;
mod fuzz;
mod segment;
mod world;
