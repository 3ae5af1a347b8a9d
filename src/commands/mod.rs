//! The commands: each module declares one and runs it.

mod admin;
mod check;
mod dump;
mod explain;
mod patch;
mod patch_file;
mod relay;
mod replay;
mod serve;
mod status;
mod steps;
mod version;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;

use crate::exit;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::output;

/// The flag for programs that read the output.
const JSON: &str = "json";

/// The whole command line.
pub(crate) fn command() -> Command {
    Command::new("gentiansill")
        .version(env!("CARGO_PKG_VERSION"))
        .about("A query tier over many shards that answers for outcomes")
        .after_help(exit::HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([
            serve::command(),
            relay::command(),
            check::command(),
            status::command(),
            dump::command(),
            patch::command(),
            explain::command(),
            replay::command(),
            version::command(),
        ])
}

/// Runs the command named; a failure is reported on stderr, and as JSON on stdout if asked.
pub(crate) fn run(matches: &ArgMatches) -> Exit {
    let Some((name, m)) = matches.subcommand() else {
        return Exit::BadInput;
    };
    let done = match name {
        "serve" => serve::run(m),
        "relay" => relay::run(m),
        "check" => check::run(m),
        "status" => status::run(m),
        "dump" => dump::run(m),
        "patch" => patch::run(m),
        "explain" => explain::run(m),
        "replay" => replay::run(m),
        _ => version::run(m),
    };
    match done {
        Ok(exit) => exit,
        Err(failure) => {
            tell(&failure, wants_json(m));
            failure.exit()
        }
    }
}

fn tell(failure: &Failure, json: bool) {
    if json {
        output::json(&failure.json());
    } else {
        eprint!("{}", failure.report());
    }
}

/// The `--json` flag.
fn json_arg() -> Arg {
    Arg::new(JSON)
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Write JSON, errors too, for a program to read")
}

fn wants_json(m: &ArgMatches) -> bool {
    matches!(m.try_get_one(JSON), Ok(Some(true)))
}

/// A command's help: its examples and the exit codes.
fn after_help(examples: &str) -> String {
    format!("Examples:\n{examples}\n\n{}", exit::HELP)
}
