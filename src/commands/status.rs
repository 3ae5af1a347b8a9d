//! `status`: a summary of one process.

use clap::ArgMatches;
use clap::Command;

use super::admin;
use super::after_help;
use super::wants_json;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::output;

/// The path of the summary.
const STATUS_PATH: &str = "/status";

/// Declares the command.
pub(crate) fn command() -> Command {
    let c = Command::new("status")
        .about("Shows a summary of a process, one `key = value` a line")
        .after_help(after_help(
            "  gentiansill status --admin 10.0.0.1:8002 --key-file team.key\n  \
             gentiansill status --admin 10.0.0.1:8002 --key-file team.key --json",
        ));
    admin::add_options(c, "5s")
}

/// Runs the command.
pub(crate) fn run(m: &ArgMatches) -> Result<Exit, Failure> {
    let status = admin::client(m)?.get(STATUS_PATH)?;
    match wants_json(m) {
        true => output::print_json(&status),
        false => output::print_flat(&status),
    }
    Ok(Exit::Done)
}
