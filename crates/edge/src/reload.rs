//! Reads the settings again when SIGHUP says that the file has changed.

use std::path::PathBuf;

use gs_actor::Feed;
use gs_relay::Event;
use tokio::signal::unix::Signal;

use crate::settings::EdgeSettings;

/// Reads the settings again at each signal.
///
/// A file that cannot be read or is wrong changes nothing: the settings in force stay.
pub(crate) async fn run(
    mut hup: Signal,
    path: PathBuf,
    feed: Feed<Event>,
    mut inforce: EdgeSettings,
) {
    while hup.recv().await.is_some() {
        match EdgeSettings::load(&path) {
            Ok(new) if new == inforce => log::info!("event=settings-reloaded changed=false"),
            Ok(new) => {
                if new.listen != inforce.listen || new.platform != inforce.platform {
                    log::warn!("event=settings-need-restart keys=listen,platform");
                }
                feed.push(Event::Options(new.relay()));
                log::info!("event=settings-reloaded changed=true");
                inforce = new;
            }
            Err(e) => log::error!("event=settings-refused error=\"{e}\" stay=\"those in force\""),
        }
    }
}
