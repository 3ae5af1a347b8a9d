//! Runs a process from its settings to its graceful shutdown.

use std::sync::Arc;

use gs_clock::SystemClock;
use gs_settings::Settings;
use gs_types::prelude::*;

use crate::options::StartContext;
use crate::process::Listeners;
use crate::process::Process;
use crate::shutdown;

/// Runs a process until it has received SIGTERM or SIGINT and has shut down gracefully.
///
/// # Errors
///
/// [`ErrorKind::Io`] if an address cannot be bound; [`ErrorKind::BadInput`] if two settings contradict each other.
/// Each error names the step and the address.
pub async fn serve(settings: Settings) -> Result<()> {
    let start = StartContext::new(settings, Arc::new(SystemClock));
    let (vm, incarnation) = (start.vm(), start.incarnation);
    log::info!(
        "event=start vm={vm} incarnation={incarnation} seed={}",
        start.seed
    );
    let stop_signals = shutdown::StopSignals::install()?;
    let listeners = Listeners::bind(&start).await?;
    let (process, inbox) = Process::start(start)?;
    let (admin, shutdown) = process.open(listeners, inbox)?;
    stop_signals.recv().await;
    shutdown.run(admin).await;
    process.finish_recording();
    log::info!("event=exit vm={vm} incarnation={incarnation}");
    Ok(())
}
