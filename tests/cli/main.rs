//! The program as a person or a script runs it: what it prints and the code it exits with.

mod check;
mod common;
mod explain;
mod help;
mod operators;
mod replay;
mod serve;
mod traces;
