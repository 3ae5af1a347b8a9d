//! `version`: the versions of the program and of the trace format.

use clap::ArgMatches;
use clap::Command;
use serde_json::json;

use super::after_help;
use super::json_arg;
use super::wants_json;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::output;

/// Declares the command.
pub(crate) fn command() -> Command {
    Command::new("version")
        .about("Shows the version, and that of the trace format")
        .arg(json_arg())
        .after_help(after_help("  gentiansill version --json"))
}

/// Runs the command.
pub(crate) fn run(m: &ArgMatches) -> Result<Exit, Failure> {
    let (version, format) = (env!("CARGO_PKG_VERSION"), gs_trace::FORMAT_VERSION);
    match wants_json(m) {
        true => output::print_json(&json!({ "version": version, "trace-format": format })),
        false => output::print_line(&format!("gentiansill {version}, trace format {format}")),
    }
    Ok(Exit::Done)
}
