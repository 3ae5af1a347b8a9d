//! The platform client against the stand-in.

mod common;
mod garbage;
mod lost_answer;
mod objects;
mod watch;
