//! The `gentiansill` program: the command line in front of the process and of what an operator does.

mod client;
mod commands;
mod exit;
mod failure;
mod input;
mod logging;
mod output;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = commands::command().get_matches();
    commands::run(&matches).into()
}
