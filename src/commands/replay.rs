//! `replay`: replays a trace through the engine and checks the result.

use std::fs::File;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;
use std::time::Instant;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use gs_trace::Checker;
use gs_trace::Divergence;
use gs_trace::Expectations;
use gs_trace::Header;
use gs_trace::OutcomeKind;
use gs_trace::Reader;
use gs_trace::Record;
use gs_trace::Replay;
use gs_trace::Script;
use gs_types::prelude::*;
use serde_json::Value;
use serde_json::json;

use super::JSON;
use super::after_help;
use super::json_arg;
use super::steps;
use super::wants_json;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::input;
use crate::output;

const TRACE: &str = "trace";
const EXPECT: &str = "expect";
const PARTIAL: &str = "partial";
const STEPS: &str = "steps";
const EXACT: &str = "exact";

/// The records of a trace or a script, in order.
type Records = Box<dyn Iterator<Item = Result<Record>>>;

/// Declares the command.
pub(crate) fn command() -> Command {
    Command::new("replay")
        .about("Replays a trace through the engine and compares the outcomes with the stated ones")
        .long_about(
            "Replays a trace through the engine and compares the outcomes with the stated ones.\n\n\
             The invariants of every trace are checked in any case: each lookup has one outcome, \
             each page comes from one snapshot with a correct coverage, the outcome `not-run` is \
             correct, an at-most-once lookup runs at most once, and a draining server gets no new \
             work. The first step that differs is shown.",
        )
        .arg(
            Arg::new(TRACE)
                .value_name("TRACE")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("A trace from `serve --record`, or a script that ends in `.toml`"),
        )
        .arg(
            Arg::new(EXPECT)
                .long("expect")
                .value_name("OUTCOMES")
                .value_parser(value_parser!(PathBuf))
                .help("The stated outcomes (TOML); docs/TRACES.md lists the keys"),
        )
        .arg(
            Arg::new(PARTIAL)
                .long("partial")
                .action(ArgAction::SetTrue)
                .help("Replay the complete records of a trace that is cut short or corrupt further on"),
        )
        .arg(
            Arg::new(EXACT)
                .long("exact")
                .action(ArgAction::SetTrue)
                .help("Also compare the actions of each step with the recorded ones; for the same build"),
        )
        .arg(
            Arg::new(STEPS)
                .long("steps")
                .conflicts_with(JSON)
                .action(ArgAction::SetTrue)
                .help("Show each step: its number, time, event and actions"),
        )
        .arg(json_arg())
        .after_help(after_help(
            "  gentiansill replay vm.trace --expect vm.expect.toml\n  \
             gentiansill replay traces/one-snapshot.toml --expect traces/one-snapshot.expect.toml\n  \
             gentiansill replay vm.trace --exact\n  \
             gentiansill replay vm.trace --steps | less",
        ))
}

/// Runs the command.
pub(crate) fn run(m: &ArgMatches) -> Result<Exit, Failure> {
    let path = m.get_one::<PathBuf>(TRACE).cloned().unwrap_or_default();
    let mut checker = checker(m)?;
    let (header, records) = open_trace(&path)?;
    let records: Records = match m.get_flag(PARTIAL) {
        true => Box::new(records.map_while(until_unreadable)),
        false => records,
    };
    let result = replay_and_check(&header, records, &mut checker, m.get_flag(STEPS))?;
    if m.get_flag(EXACT) && checker.compared_steps() == 0 {
        return Err(nothing_to_compare().into());
    }
    print_result(&checker, &result, wants_json(m));
    Ok(match result {
        Ok(_) => Exit::Done,
        Err(_) => Exit::Refused,
    })
}

/// Creates a checker for the expected outcomes and the flags.
fn checker(m: &ArgMatches) -> Result<Checker> {
    let expectations = match m.get_one::<PathBuf>(EXPECT) {
        Some(path) => Expectations::parse(&input::read_text(path, "read outcomes")?)?,
        None => Expectations::default(),
    };
    let checker = Checker::new(expectations);
    Ok(match m.get_flag(EXACT) {
        true => checker.exact(),
        false => checker,
    })
}

fn nothing_to_compare() -> Error {
    Error::new(
        ErrorKind::BadInput,
        "the trace contains no recorded actions",
    )
    .at("replay")
    .with_hint("leave out `--exact`; only a trace of `serve --record` can be compared")
}

/// Opens a trace or a script.
fn open_trace(path: &Path) -> Result<(Header, Records)> {
    if path.extension().is_some_and(|e| e == "toml") {
        let script = Script::parse(&input::read_text(path, "read script")?)?;
        let events = script.events()?.into_iter();
        let records = events.map(|(at, event)| Ok(Record::Event { at, event }));
        return Ok((script.header(), Box::new(records)));
    }
    let file = File::open(path).map_err(|e| {
        Error::new(ErrorKind::Io, format!("{}: {e}", path.display()))
            .at("open trace")
            .with_hint("check the path and its permissions")
    })?;
    let reader = Reader::new(BufReader::new(file))?;
    Ok((reader.header().clone(), Box::new(reader)))
}

/// Passes on readable records; prints the error of the first unreadable one and ends there.
fn until_unreadable(record: Result<Record>) -> Option<Result<Record>> {
    match record {
        Ok(r) => Some(Ok(r)),
        Err(e) => {
            eprintln!("replayed up to here: {e}");
            None
        }
    }
}

/// A divergence, with the text of its step if it belongs to one step.
struct Diverged {
    divergence: Divergence,
    step: Option<String>,
}

/// Replays and checks a trace; returns the number of steps, or the first divergence.
fn replay_and_check(
    header: &Header,
    records: Records,
    checker: &mut Checker,
    show_steps: bool,
) -> Result<Result<u64, Diverged>> {
    let engine = gs_trace::build_engine(header)?;
    let mut last = 0;
    for step in Replay::new(records, engine, Instant::now()) {
        let step = step?;
        if show_steps {
            output::print_line(&steps::format_step(&step));
        }
        last = step.number;
        if let Err(divergence) = checker.on(&step) {
            return Ok(Err(Diverged {
                divergence,
                step: Some(steps::format_step(&step)),
            }));
        }
    }
    let diverged = |divergence| Diverged {
        divergence,
        step: None,
    };
    Ok(checker.end().map(|()| last).map_err(diverged))
}

fn print_result(checker: &Checker, result: &Result<u64, Diverged>, json: bool) {
    let (answered, not_run, unknown, attempts) = (
        checker.count(OutcomeKind::Answered),
        checker.count(OutcomeKind::NotRun),
        checker.count(OutcomeKind::Unknown),
        checker.attempts(),
    );
    if json {
        output::print_json(&json!({
            "steps": result.as_ref().ok(),
            "diverges": result.as_ref().err().map(diverged_json),
            "answered": answered,
            "not-run": not_run,
            "unknown": unknown,
            "attempts": attempts,
        }));
        return;
    }
    match result {
        Ok(steps) => output::print_line(&format!(
            "as stated: {steps} steps, {answered} answered, {not_run} not run, {unknown} unknown, \
             {attempts} attempts"
        )),
        Err(d) => {
            output::print_line(&format!("diverges at {}", d.divergence));
            if let Some(step) = &d.step {
                output::print_line(step);
            }
        }
    }
}

fn diverged_json(d: &Diverged) -> Value {
    let Divergence { step, at, text } = &d.divergence;
    json!({ "step": step, "at-ms": at.as_secs_f64() * 1e3, "text": text, "told": d.step })
}
