//! Tests of membership and shares, by feature.

mod chart;
mod fuzz;
mod gossip;
mod shares;
mod table;
mod world;
