//! `dump`: the complete state of one process, or of the fleet through one process.

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;

use super::admin;
use super::after_help;
use super::wants_json;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::output;

const FLEET: &str = "fleet";
/// The path of the process's own state.
const DUMP_PATH: &str = "/dump";
/// The path of the states of all VMs.
const FLEET_DUMP_PATH: &str = "/dump/fleet";

/// Declares the command.
pub(crate) fn command() -> Command {
    let c = Command::new("dump")
        .about("Shows the whole state of a process, or of the fleet through it")
        .arg(
            Arg::new(FLEET)
                .long("fleet")
                .action(ArgAction::SetTrue)
                .help(
                    "Show the state of every VM; one that does not answer is listed with its error",
                ),
        )
        .after_help(after_help(
            "  gentiansill dump --admin 10.0.0.1:8002 --key-file team.key\n  \
             gentiansill dump --admin 10.0.0.1:8002 --key-file team.key --fleet --json",
        ));
    admin::add_options(c, "15s")
}

/// Runs the command.
pub(crate) fn run(m: &ArgMatches) -> Result<Exit, Failure> {
    let path = match m.get_flag(FLEET) {
        true => FLEET_DUMP_PATH,
        false => DUMP_PATH,
    };
    let dump = admin::client(m)?.get(path)?;
    match wants_json(m) {
        true => output::print_json(&dump),
        false => output::print_flat(&dump),
    }
    Ok(Exit::Done)
}
