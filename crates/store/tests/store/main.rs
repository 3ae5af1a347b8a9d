//! Tests of the platform client against the test rig's stand-in for the platform.

mod common;
mod lost_answer;
mod malformed_replies;
mod objects;
mod watch;
