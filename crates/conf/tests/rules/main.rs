//! The rules of configurations and patches, without a book.

mod bytes;
mod changes;
mod chart;
mod check;
mod samples;
mod teams;
