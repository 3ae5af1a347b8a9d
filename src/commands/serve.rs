//! `serve`: runs one entry VM's process.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use gs_settings::Settings;
use gs_types::prelude::*;
use tokio::runtime;

use super::after_help;
use super::check;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::logging;

const RECORD: &str = "record";

/// Declares the command.
pub(crate) fn command() -> Command {
    Command::new("serve")
        .about("Runs one entry VM's process until SIGTERM or SIGINT, then leaves gracefully")
        .arg(check::settings_arg().required(true))
        .arg(
            Arg::new(RECORD)
                .long("record")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Record the events that the engine processes as a trace for `replay`"),
        )
        .after_help(after_help(
            "  gentiansill serve --settings vm.toml\n  \
             gentiansill serve --settings vm.toml --record vm.trace",
        ))
}

/// Runs the command.
pub(crate) fn run(m: &ArgMatches) -> Result<Exit, Failure> {
    let mut settings = check::load(m)?;
    if let Some(file) = m.get_one::<PathBuf>(RECORD) {
        settings.record.file = Some(file.clone());
    }
    let log = logging::start(settings.log.level)?;
    serve(settings)?;
    log.flush();
    Ok(Exit::Done)
}

fn serve(settings: Settings) -> Result<()> {
    let rt = runtime::Builder::new_multi_thread()
        .worker_threads(settings.runtime.workers as usize)
        .enable_all()
        .build()
        .map_err(|e| Error::new(ErrorKind::Io, e.to_string()).at("start threads"))?;
    rt.block_on(gs_node::serve(settings))
}
