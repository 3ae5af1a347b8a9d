//! Tests of claims, by feature.

mod asks;
mod chart;
mod fuzz;
mod segment;
mod world;
