//! Tests of settings files: accepted ones, refused ones, their reports and the documentation.

mod accept;
mod common;
mod docs;
mod fuzz;
mod refuse;
