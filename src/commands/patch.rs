//! `patch`: a change of the configuration, to its verdict.

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
/// Where the process takes patches.
const PATH: &str = "/admin/v1/patches";
/// Where it only checks them.
const DRY_PATH: &str = "/admin/v1/patches?dry-run=true";
/// The time between two sendings of the same patch under `--wait`.
const AGAIN: Duration = Duration::from_millis(500);

/// Declares the command.
pub(crate) fn command() -> Command {
    let c = Command::new("patch")
        .about("Sends a patch against a numbered version, and shows its verdict")
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
    admin::options(c, "15s")
}

/// Runs the command.
pub(crate) fn run(m: &ArgMatches) -> Result<Exit, Failure> {
    let path = m.get_one::<PathBuf>(FILE).cloned().unwrap_or_default();
    let patch = patch_file::read(&path)?;
    let body = serde_json::to_string(&patch)
        .map_err(|e| Error::new(ErrorKind::BadInput, e.to_string()).at("write patch"))?;
    let client = admin::client(m)?;
    let path = match m.get_flag(DRY_RUN) {
        true => DRY_PATH,
        false => PATH,
    };
    let verdict = match m.get_flag(WAIT) {
        true => wait(&client, path, &body, admin::timeout(m))?,
        false => send(&client, path, &body)?,
    };
    show(&verdict, wants_json(m));
    Ok(exit(&verdict))
}

/// Sends the patch once. A verdict comes with any status; an answer without one is about the call
/// and no word on the patch.
fn send(client: &Client, path: &str, body: &str) -> Result<PatchOutcome> {
    let reply = client.post(path, body.to_owned())?;
    match serde_json::from_value(reply.body.clone()) {
        Ok(verdict) => Ok(verdict),
        Err(e) if reply.status.is_success() => {
            let text = format!("the answer is no verdict: {e}");
            Err(Error::new(ErrorKind::Unknown, text).at("read verdict"))
        }
        Err(_) => Err(reply.into_error()),
    }
}

/// Sends the patch until its verdict is final and no VM is awaited, or the time is over.
///
/// The platform keeps the patch's id with the version that it made, so a patch whose answer was lost
/// is recognised and not applied a second time.
fn wait(client: &Client, path: &str, body: &str, timeout: Duration) -> Result<PatchOutcome> {
    let start = Instant::now();
    loop {
        let last = send(client, path, body);
        if settled(&last) || start.elapsed() + AGAIN > timeout {
            return last;
        }
        thread::sleep(AGAIN);
    }
}

fn settled(last: &Result<PatchOutcome>) -> bool {
    match last {
        Ok(PatchOutcome::Accepted { awaiting, .. }) => awaiting.is_empty(),
        Ok(PatchOutcome::Checked { .. } | PatchOutcome::Refused { .. }) => true,
        Ok(PatchOutcome::Undecided { .. }) => false,
        Err(e) => !matches!(e.kind(), ErrorKind::Unavailable | ErrorKind::Unknown),
    }
}

fn exit(verdict: &PatchOutcome) -> Exit {
    match verdict {
        PatchOutcome::Accepted { .. } | PatchOutcome::Checked { .. } => Exit::Done,
        PatchOutcome::Refused { .. } => Exit::Refused,
        PatchOutcome::Undecided { .. } => Exit::Unknown,
    }
}

fn show(verdict: &PatchOutcome, json: bool) {
    if json {
        output::json(&serde_json::to_value(verdict).unwrap_or_default());
        return;
    }
    match verdict {
        PatchOutcome::Accepted {
            version,
            in_force,
            awaiting,
            warnings,
        } => {
            output::line(&format!("accepted: version {version}"));
            output::line(&format!("in force on: {}", names(in_force)));
            if !awaiting.is_empty() {
                output::line(&format!("awaiting: {}", names(awaiting)));
            }
            warn(warnings);
        }
        PatchOutcome::Checked { version, warnings } => {
            output::line(&format!("would be accepted: version {version}"));
            warn(warnings);
        }
        PatchOutcome::Refused { error, against } => {
            output::line(&format!("refused: {error}"));
            for o in against {
                output::line(&format!("against it: {}: {}", o.vm, o.reason));
            }
            hint(error);
        }
        PatchOutcome::Undecided { error } => {
            output::line(&format!("undecided: {error}"));
            output::line("send the same file again to learn its verdict; `--wait` does so");
            hint(error);
        }
    }
}

fn warn(warnings: &[String]) {
    for w in warnings {
        output::line(&format!("warning: {w}"));
    }
}

fn hint(error: &Error) {
    if let Some(hint) = error.hint() {
        output::line(&format!("hint: {hint}"));
    }
}

fn names(vms: &[VmId]) -> String {
    let names: Vec<_> = vms.iter().map(VmId::as_str).collect();
    names.join(", ")
}
