//! Tests of claims, by feature.

mod asks;
mod chart;
mod fuzz;
mod part;
mod world;
