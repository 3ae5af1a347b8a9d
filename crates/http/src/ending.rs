//! Logs the connections that end although a request was received and not answered.

use std::error::Error as _;
use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;

use strum::Display;

use crate::phase::Phase;
use crate::phase::PhaseClock;

/// Why a connection ended.
#[derive(Clone, Copy, Display)]
#[strum(serialize_all = "kebab-case")]
enum Cause {
    /// The caller closed or reset it.
    CallerClosed,
    /// The phase exceeded its timeout.
    Timeout,
    /// The server was dropped, as at the end of the process.
    Stop,
    /// Another error.
    Error,
}

/// The end of a connection, logged when dropped unless the connection is idle.
pub(crate) struct Ending {
    peer: SocketAddr,
    clock: PhaseClock,
    cause: Cause,
    error: Option<hyper::Error>,
}

impl Ending {
    /// Creates the ending of a connection that has just begun; dropping it stands for the end of the process.
    pub(crate) fn new(peer: SocketAddr, clock: PhaseClock) -> Self {
        Self {
            peer,
            clock,
            cause: Cause::Stop,
            error: None,
        }
    }

    /// Notes that the connection has exceeded the timeout of its phase.
    pub(crate) fn set_timeout(&mut self) {
        self.cause = Cause::Timeout;
    }

    /// Notes how hyper ended the connection.
    pub(crate) fn set_ended(&mut self, ended: hyper::Result<()>) {
        self.error = ended.err();
        self.cause = match &self.error {
            Some(e) if !is_caller_closed(e) => Cause::Error,
            _ => Cause::CallerClosed,
        };
    }
}

impl Drop for Ending {
    fn drop(&mut self) {
        let (peer, cause) = (self.peer, self.cause);
        let error = self.error.as_ref().map(ToString::to_string);
        let error = error.unwrap_or_default();
        let (phase, since) = self.clock.read();
        if phase == Phase::Idle {
            log::debug!("event=connection-ended peer={peer} error={error:?}");
            return;
        }
        log::info!(
            "event=request-unanswered peer={peer} phase={phase} after_ms={} cause={cause} error={error:?}",
            since.elapsed().as_millis()
        );
    }
}

/// Returns whether the caller closed or reset the connection.
fn is_caller_closed(e: &hyper::Error) -> bool {
    let kind = e
        .source()
        .and_then(|s| s.downcast_ref::<io::Error>())
        .map(io::Error::kind);
    e.is_incomplete_message()
        || matches!(
            kind,
            Some(ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted | ErrorKind::BrokenPipe)
        )
}
