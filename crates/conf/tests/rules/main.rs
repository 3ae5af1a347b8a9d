//! Tests of the rules of configurations and patches, without a configuration manager.

mod bytes;
mod changes;
mod chart;
mod check;
mod samples;
mod teams;
