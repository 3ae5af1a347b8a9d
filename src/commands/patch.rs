//! `patch`: sends a configuration patch and shows its outcome.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use gs_conf::PatchOutcome;
use gs_types::prelude::*;

use super::admin;
use super::after_help;
use super::patch_file;
use super::wants_json;
use crate::client::Client;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::output;

const FILE: &str = "file";
const DRY_RUN: &str = "dry-run";
const WAIT: &str = "wait";
/// The path to which patches are sent.
const PATCHES_PATH: &str = "/admin/v1/patches";
/// The path to which patches are sent that are only checked.
const DRY_RUN_PATH: &str = "/admin/v1/patches?dry-run=true";
/// The interval at which `--wait` sends the same patch again.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Declares the command.
pub(crate) fn command() -> Command {
    let c = Command::new("patch")
        .about("Sends a patch against a numbered version, and shows its outcome")
        .arg(
            Arg::new(FILE)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("The patch (JSON): its id, the version it is against, and its changes"),
        )
        .arg(
            Arg::new(DRY_RUN)
                .long("dry-run")
                .action(ArgAction::SetTrue)
                .help("Check it against the version in force and change nothing"),
        )
        .arg(
            Arg::new(WAIT)
                .long("wait")
                .action(ArgAction::SetTrue)
                .conflicts_with(DRY_RUN)
                .help("Send it again, which is safe, until it is decided and in force everywhere"),
        )
        .after_help(after_help(
            "  gentiansill patch --admin 10.0.0.1:8002 --key-file team.key change.json --dry-run\n  \
             gentiansill patch --admin 10.0.0.1:8002 --key-file team.key change.json --wait",
        ));
    admin::add_options(c, "15s")
}

/// Runs the command.
pub(crate) fn run(m: &ArgMatches) -> Result<Exit, Failure> {
    let path = m.get_one::<PathBuf>(FILE).cloned().unwrap_or_default();
    let patch = patch_file::read(&path)?;
    let body = serde_json::to_string(&patch)
        .map_err(|e| Error::new(ErrorKind::BadInput, e.to_string()).at("write patch"))?;
    let client = admin::client(m)?;
    let path = match m.get_flag(DRY_RUN) {
        true => DRY_RUN_PATH,
        false => PATCHES_PATH,
    };
    let outcome = match m.get_flag(WAIT) {
        true => wait(&client, path, &body, admin::timeout(m))?,
        false => send(&client, path, &body)?,
    };
    print_outcome(&outcome, wants_json(m));
    Ok(exit_status(&outcome))
}

/// Sends the patch once. A response with any status can contain the outcome of the patch; one
/// without it concerns only the call and says nothing about the patch.
fn send(client: &Client, path: &str, body: &str) -> Result<PatchOutcome> {
    let reply = client.post(path, body.to_owned())?;
    match serde_json::from_value(reply.body.clone()) {
        Ok(outcome) => Ok(outcome),
        Err(e) if reply.status.is_success() => {
            let text = format!("the response is not a patch outcome: {e}");
            Err(Error::new(ErrorKind::Unknown, text).at("read verdict"))
        }
        Err(_) => Err(reply.into_error()),
    }
}

/// Sends the patch until its outcome is final and no VM is awaited, or the timeout expires.
///
/// The platform stores the patch's id with the version that the patch created, so a patch whose
/// response was lost is recognised and not applied a second time.
fn wait(client: &Client, path: &str, body: &str, timeout: Duration) -> Result<PatchOutcome> {
    let start = Instant::now();
    loop {
        let last = send(client, path, body);
        if is_final(&last) || start.elapsed() + RESEND_INTERVAL > timeout {
            return last;
        }
        thread::sleep(RESEND_INTERVAL);
    }
}

/// Returns whether sending the patch again cannot change its outcome.
fn is_final(last: &Result<PatchOutcome>) -> bool {
    match last {
        Ok(PatchOutcome::Accepted { awaiting, .. }) => awaiting.is_empty(),
        Ok(PatchOutcome::Checked { .. } | PatchOutcome::Refused { .. }) => true,
        Ok(PatchOutcome::Undecided { .. }) => false,
        Err(e) => !matches!(e.kind(), ErrorKind::Unavailable | ErrorKind::Unknown),
    }
}

fn exit_status(outcome: &PatchOutcome) -> Exit {
    match outcome {
        PatchOutcome::Accepted { .. } | PatchOutcome::Checked { .. } => Exit::Done,
        PatchOutcome::Refused { .. } => Exit::Refused,
        PatchOutcome::Undecided { .. } => Exit::Unknown,
    }
}

fn print_outcome(outcome: &PatchOutcome, json: bool) {
    if json {
        output::print_json(&serde_json::to_value(outcome).unwrap_or_default());
        return;
    }
    match outcome {
        PatchOutcome::Accepted {
            version,
            in_force,
            awaiting,
            warnings,
        } => {
            output::print_line(&format!("accepted: version {version}"));
            output::print_line(&format!("in force on: {}", join_names(in_force)));
            if !awaiting.is_empty() {
                output::print_line(&format!("awaiting: {}", join_names(awaiting)));
            }
            print_warnings(warnings);
        }
        PatchOutcome::Checked { version, warnings } => {
            output::print_line(&format!("would be accepted: version {version}"));
            print_warnings(warnings);
        }
        PatchOutcome::Refused { error, against } => {
            output::print_line(&format!("refused: {error}"));
            for o in against {
                output::print_line(&format!("against it: {}: {}", o.vm, o.reason));
            }
            print_hint(error);
        }
        PatchOutcome::Undecided { error } => {
            output::print_line(&format!("undecided: {error}"));
            output::print_line("send the same file again to learn its outcome; `--wait` does so");
            print_hint(error);
        }
    }
}

fn print_warnings(warnings: &[String]) {
    for w in warnings {
        output::print_line(&format!("warning: {w}"));
    }
}

fn print_hint(error: &Error) {
    if let Some(hint) = error.hint() {
        output::print_line(&format!("hint: {hint}"));
    }
}

fn join_names(vms: &[VmId]) -> String {
    let names: Vec<_> = vms.iter().map(VmId::as_str).collect();
    names.join(", ")
}
