//! Reloads the settings on SIGHUP.

use std::path::PathBuf;

use gs_actor::Feed;
use gs_relay::Event;
use tokio::signal::unix::Signal;

use crate::settings::EdgeSettings;

/// Reloads the settings at each signal.
///
/// If the file cannot be read or is invalid, the settings in force stay.
pub(crate) async fn run(
    mut hup: Signal,
    path: PathBuf,
    feed: Feed<Event>,
    mut current: EdgeSettings,
) {
    while hup.recv().await.is_some() {
        match EdgeSettings::load(&path) {
            Ok(new) if new == current => log::info!("event=settings-reloaded changed=false"),
            Ok(new) => {
                if new.listen != current.listen || new.platform != current.platform {
                    log::warn!("event=settings-need-restart keys=listen,platform");
                }
                feed.push(Event::Options(new.relay()));
                log::info!("event=settings-reloaded changed=true");
                current = new;
            }
            Err(e) => log::error!("event=settings-refused error=\"{e}\" stay=\"those in force\""),
        }
    }
}
