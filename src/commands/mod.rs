//! The commands; each is declared and run by the module of its name.

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

/// The id of the `--json` flag, for programs that read the output.
const JSON: &str = "json";

/// Declares the command line.
pub(crate) fn command() -> Command {
    Command::new("gentiansill")
        .version(env!("CARGO_PKG_VERSION"))
        .about("A query tier over many shards that answers for outcomes")
        .after_help(exit::EXIT_CODES_HELP)
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

/// Runs the selected command; reports a failure on stderr, or with `--json` as JSON on stdout.
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
            print_failure(&failure, wants_json(m));
            failure.exit()
        }
    }
}

fn print_failure(failure: &Failure, json: bool) {
    if json {
        output::print_json(&failure.to_json());
    } else {
        eprint!("{}", failure.render_report());
    }
}

/// Declares the `--json` flag.
fn json_arg() -> Arg {
    Arg::new(JSON)
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Write JSON, errors too, for a program to read")
}

/// Returns whether `--json` was given.
fn wants_json(m: &ArgMatches) -> bool {
    matches!(m.try_get_one(JSON), Ok(Some(true)))
}

/// Returns the text after a command's help: its examples and the exit codes.
fn after_help(examples: &str) -> String {
    format!("Examples:\n{examples}\n\n{}", exit::EXIT_CODES_HELP)
}
