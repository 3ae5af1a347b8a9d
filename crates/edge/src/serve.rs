//! Runs a process from its settings to its graceful shutdown.

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

/// The protocols at the process's interfaces.
#[derive(Clone)]
pub struct Protocols {
    /// The protocol of callers.
    pub callers: Arc<dyn CallerCodec>,
    /// The protocol of backend servers.
    pub servers: Arc<dyn ServerCodec>,
    /// The directory where routes are declared and servers registered.
    pub directory: Arc<dyn Directory>,
}

/// Runs a process until SIGTERM or SIGINT has shut it down.
///
/// `path` is the settings file, which is reloaded on SIGHUP.
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
    let (mut stop_signals, hup) = Signals::install()?.split();
    let process = Process::start(settings.clone(), protocols, Arc::new(SystemClock), seed)?;
    let shutdown = process.open().await?;
    tokio::spawn(reload::run(hup, path, process.feed.clone(), settings));
    stop_signals.recv().await;
    shutdown.run().await;
    log::info!("event=exit vm={vm}");
    Ok(())
}
