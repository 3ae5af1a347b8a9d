//! Runs a process from its settings to its graceful end.

use std::sync::Arc;
use std::time::Duration;

use gs_clock::SystemClock;
use gs_settings::Settings;
use gs_types::prelude::*;

use crate::options::Start;
use crate::process::Listeners;
use crate::process::Process;
use crate::shutdown;

/// The longest that the operators' interface may take to finish its calls.
const ADMIN_STOP_MAX: Duration = Duration::from_secs(1);

/// Runs a process until it is told to leave by SIGTERM or SIGINT and has finished its work.
///
/// # Errors
///
/// [`ErrorKind::Io`] if an address cannot be listened on; [`ErrorKind::BadInput`] if a setting does
/// not fit another. Each names the step and the address.
pub async fn serve(settings: Settings) -> Result<()> {
    let start = Start::new(settings, Arc::new(SystemClock));
    let (vm, incarnation) = (start.vm(), start.incarnation);
    log::info!(
        "event=start vm={vm} incarnation={incarnation} seed={}",
        start.seed
    );
    let told = shutdown::Signals::install()?;
    let listeners = Listeners::bind(&start).await?;
    let (process, inbox) = Process::start(start)?;
    let (admin, leaver) = process.open(listeners, inbox)?;
    told.first().await;
    leaver.leave().await;
    // An operator's client that never reads its answer must not keep the process.
    let _ = tokio::time::timeout(ADMIN_STOP_MAX, admin.stop()).await;
    process.finish();
    log::info!("event=exit vm={vm} incarnation={incarnation}");
    Ok(())
}
