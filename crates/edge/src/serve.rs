//! Runs a process from its settings to its graceful end.

use std::path::PathBuf;
use std::sync::Arc;

use gs_clock::SystemClock;
use gs_types::prelude::*;

use crate::callers::CallerCodec;
use crate::directory::Directory;
use crate::process::Process;
use crate::reload;
use crate::servers::ServerCodec;
use crate::settings::EdgeSettings;
use crate::shutdown::Signals;

/// What is spoken at the process's borders.
#[derive(Clone)]
pub struct Protocols {
    /// Towards callers.
    pub callers: Arc<dyn CallerCodec>,
    /// Towards backend servers.
    pub servers: Arc<dyn ServerCodec>,
    /// Towards whoever declares routes and registers servers.
    pub directory: Arc<dyn Directory>,
}

/// Runs a process until it is told to leave by SIGTERM or SIGINT and has finished its work.
///
/// `path` is the settings' file, which is read again at SIGHUP.
///
/// # Errors
///
/// [`ErrorKind::Io`] if an address cannot be listened on.
pub async fn serve(settings: EdgeSettings, path: PathBuf, protocols: Protocols) -> Result<()> {
    let seed = rand::random();
    let vm = settings.vm.name.clone();
    log::info!(
        "event=start vm={vm} seed={seed} version={}",
        env!("CARGO_PKG_VERSION")
    );
    let (mut ending, hup) = Signals::install()?.split();
    let process = Process::start(settings.clone(), protocols, Arc::new(SystemClock), seed)?;
    let leaver = process.open().await?;
    tokio::spawn(reload::run(hup, path, process.feed.clone(), settings));
    ending.first().await;
    leaver.leave().await;
    log::info!("event=exit vm={vm}");
    Ok(())
}
