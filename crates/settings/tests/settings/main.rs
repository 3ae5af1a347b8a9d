//! Settings files: what is accepted, what is refused and how the report reads.

mod accept;
mod common;
mod docs;
mod fuzz;
mod refuse;
