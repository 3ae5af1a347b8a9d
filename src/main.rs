//! The `gentiansill` program: runs the VM's process and offers the commands for operators.

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
