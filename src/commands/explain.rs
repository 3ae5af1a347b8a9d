//! `explain`: what happened to one request, from the logs of all VMs.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use gs_types::prelude::*;

use super::after_help;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::output;

const ID: &str = "id";
const FILES: &str = "files";

/// A line of a log about the request.
struct LogLine {
    time: String,
    /// The name of the log file without its extension, which names the VM.
    from: String,
    text: String,
}

/// Declares the command.
pub(crate) fn command() -> Command {
    Command::new("explain")
        .about("Shows what happened to one request, in the order of time, from the logs of all VMs")
        .arg(
            Arg::new(ID)
                .value_name("ID")
                .required(true)
                .help("The caller's id of the request"),
        )
        .arg(
            Arg::new(FILES)
                .value_name("FILE")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("The logs, one file a VM"),
        )
        .after_help(after_help(
            "  gentiansill explain 9c41d07be2a35f68 vm-1.log vm-2.log",
        ))
}

/// Runs the command.
pub(crate) fn run(m: &ArgMatches) -> Result<Exit, Failure> {
    let id = m.get_one::<String>(ID).cloned().unwrap_or_default();
    let files = m.get_many::<PathBuf>(FILES).into_iter().flatten();
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read_lines(file, &id)?);
    }
    if lines.is_empty() {
        let text = format!("no line about `{id}`");
        return Err(Error::new(ErrorKind::NotFound, text)
            .at("explain")
            .with_hint(
                "complete requests that ended on time are not logged; of many failures in one \
                 second only some are: look for `left_out=` near its time",
            )
            .into());
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    for line in &lines {
        output::print_line(&format!("{} {} {}", line.time, line.from, line.text));
    }
    output::print_line(&summarize(&lines));
    Ok(Exit::Done)
}

/// Returns the lines of a log about the request.
fn read_lines(file: &Path, id: &str) -> Result<Vec<LogLine>> {
    let failed = |e: std::io::Error| {
        Error::new(ErrorKind::Io, e.to_string())
            .at("read log")
            .from_peer(file.display().to_string())
            .with_hint("name the logs that the VMs wrote on standard output")
    };
    let bytes = fs::read(file).map_err(failed)?;
    // A log that is cut off within a character is still read.
    let text = String::from_utf8_lossy(&bytes);
    let from = file
        .file_stem()
        .map_or_else(String::new, |s| s.to_string_lossy().into_owned());
    let wanted = format!(" id={id} ");
    let about = text.lines().filter(|l| l.contains(&wanted));
    Ok(about.filter_map(|l| parse_line(l, &from)).collect())
}

/// Parses a line of the form `time=… level=… event=…`; returns `None` for a damaged one.
fn parse_line(line: &str, from: &str) -> Option<LogLine> {
    let at = line.find("time=")?;
    let (time, rest) = line[at + "time=".len()..].split_once(' ')?;
    let text = rest.split_once("event=")?.1;
    Some(LogLine {
        time: time.to_owned(),
        from: from.to_owned(),
        text: text.to_owned(),
    })
}

/// Returns a line with the final response to the request and the attempts that did not answer.
fn summarize(lines: &[LogLine]) -> String {
    let value = |l: &LogLine, key: &str| {
        let mut words = l.text.split(' ');
        let found = words.find_map(|w| w.strip_prefix(key)?.strip_prefix('='));
        found.unwrap_or("").to_owned()
    };
    let is_end = |l: &&LogLine| l.text.starts_with("request-end ") && value(l, "handed") != "true";
    let Some(end) = lines.iter().rfind(is_end) else {
        return "conclusion: the final response is not in these logs".to_owned();
    };
    let is_bad = |l: &&LogLine| {
        let how = value(l, "end");
        l.text.starts_with("request-attempt ") && how != "answered" && how != "paged"
    };
    let servers: Vec<String> = lines
        .iter()
        .filter(is_bad)
        .map(|l| format!("{} ({})", value(l, "server"), value(l, "end")))
        .collect();
    let unanswered = if servers.is_empty() {
        String::new()
    } else {
        format!("; attempts that did not answer: {}", servers.join(", "))
    };
    format!(
        "conclusion: {} {} after {} ms, objective {} ms, parts {}, routes of version {}{unanswered}",
        value(end, "outcome"),
        value(end, "reason"),
        value(end, "took_ms"),
        value(end, "objective_ms"),
        value(end, "parts"),
        value(end, "version"),
    )
}
