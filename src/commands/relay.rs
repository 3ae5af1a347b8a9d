//! `relay`: runs one entry VM's process on the platform.

use std::path::PathBuf;

use clap::ArgMatches;
use clap::Command;
use gs_edge::EdgeSettings;
use gs_types::prelude::*;
use tokio::runtime;

use super::after_help;
use super::check;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::logging;

/// Declares the command.
pub(crate) fn command() -> Command {
    Command::new("relay")
        .about("Relays requests on the platform's routes until SIGTERM or SIGINT, then leaves gracefully")
        .arg(check::settings_arg().required(true))
        .after_help(after_help("  gentiansill relay --settings relay.toml"))
}

/// Runs the command.
pub(crate) fn run(m: &ArgMatches) -> Result<Exit, Failure> {
    let path = check::settings_path(m);
    let settings = EdgeSettings::load(&path)?;
    let log = logging::start_on_stdout(settings.log.level)?;
    serve(settings, path)?;
    log.flush();
    Ok(Exit::Done)
}

/// Runs the relay on a single thread: a VM has a fraction of one core, and each hand-off between
/// threads costs a wake-up.
fn serve(settings: EdgeSettings, path: PathBuf) -> Result<()> {
    let rt = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Error::new(ErrorKind::Io, e.to_string()).at("start runtime"))?;
    let protocols = gs_platform::protocols(settings.platform.addr);
    rt.block_on(gs_edge::serve(settings, path, protocols))
}
