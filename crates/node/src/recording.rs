//! Records the events and actions of the query engine if the settings enable it.

use std::fs::File;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

use gs_query::Action;
use gs_query::Event;
use gs_trace::Header;
use gs_trace::Recorder;
use gs_types::prelude::*;

use gs_actor::lock;

/// A recording in progress, or none.
#[derive(Default)]
pub(crate) struct Recording(Mutex<Option<Recorder>>);

impl Recording {
    /// Starts recording to `file`; `now` is time zero of the trace.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if the file cannot be written.
    pub(crate) fn start(file: &Path, header: &Header, now: Instant) -> Result<Self> {
        let out = File::create(file).map_err(|e| {
            Error::new(ErrorKind::Io, format!("{}: {e}", file.display()))
                .at("start recording")
                .with_hint("check `record.file`")
        })?;
        Ok(Self(Mutex::new(Some(Recorder::start(out, header, now)?))))
    }

    /// Records one event; called just before the engine processes it.
    pub(crate) fn record_event(&self, now: Instant, ev: &Event) {
        if let Some(recorder) = lock(&self.0).as_mut() {
            recorder.record_event(now, ev);
        }
    }

    /// Records one action of the engine.
    pub(crate) fn record_action(&self, action: &Action) {
        if let Some(recorder) = lock(&self.0).as_mut() {
            recorder.record_action(action);
        }
    }

    /// Ends the recording and waits until it is written completely.
    pub(crate) fn finish(&self) {
        let Some(recorder) = lock(&self.0).take() else {
            return;
        };
        match recorder.finish() {
            Ok(r) => log::info!(
                "event=recorded events={} lost={} size={}",
                r.events,
                r.lost,
                r.size
            ),
            Err(e) => log::error!("event=recording-failed error=\"{e}\""),
        }
    }
}
