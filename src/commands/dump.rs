//! `dump`: the whole state of one process, or of all through one.

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
/// Where the process tells its own state.
const OWN: &str = "/dump";
/// Where it tells every VM's.
const ALL: &str = "/dump/fleet";

/// Declares the command.
pub(crate) fn command() -> Command {
    let c = Command::new("dump")
        .about("Shows the whole state of a process, or of the fleet through it")
        .arg(
            Arg::new(FLEET)
                .long("fleet")
                .action(ArgAction::SetTrue)
                .help("Show every VM's; one that does not answer stands with its error"),
        )
        .after_help(after_help(
            "  gentiansill dump --admin 10.0.0.1:8002 --key-file team.key\n  \
             gentiansill dump --admin 10.0.0.1:8002 --key-file team.key --fleet --json",
        ));
    admin::options(c, "15s")
}

/// Runs the command.
pub(crate) fn run(m: &ArgMatches) -> Result<Exit, Failure> {
    let path = match m.get_flag(FLEET) {
        true => ALL,
        false => OWN,
    };
    let dump = admin::client(m)?.get(path)?;
    match wants_json(m) {
        true => output::json(&dump),
        false => output::flat(&dump),
    }
    Ok(Exit::Done)
}
