//! Tests of the membership and of the division of connections.

mod chart;
mod fuzz;
mod gossip;
mod shares;
mod table;
mod world;
