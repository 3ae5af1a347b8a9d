//! Tests of the command line: output and exit codes of the program.

mod check;
mod common;
mod explain;
mod help;
mod operators;
mod replay;
mod serve;
mod traces;
