//! How an attempt ended.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;

use crate::outcome::Page;

/// The load that a server tells with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait in its queue.
    pub waiting: u32,
    /// Requests that it can run at the same time.
    pub slots: u32,
}

/// A server's whole answer.
#[derive(Clone, Debug)]
pub struct ServerAnswer {
    /// The status.
    pub status: StatusCode,
    /// The server's stamp, which proves that the answer is its own; `None` if it sent none.
    pub stamp: Option<Bytes>,
    /// The headers that go end to end, without the stamp.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl ServerAnswer {
    /// Whether it is a success that may be handed on or counted as a part.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.status.is_success() && self.stamp.is_some()
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptEnd {
    /// The server ran it and answered whole, with a success or a failure of its own.
    Answered(Box<ServerAnswer>, Option<Load>),
    /// The server refused for load and says that it did not run it.
    Shed(Option<Load>),
    /// A peer has no room for the parts, and says when it may; nothing ran.
    Overloaded(Duration),
    /// Another server has the address; nothing ran.
    WrongServer,
    /// No connection could be had; nothing was sent.
    NotSent,
    /// The connection broke after the request was sent; it may have run.
    Broken,
    /// What came was cut short, no answer, or another attempt's answer; it may have run.
    Garbled,
    /// No answer came in the attempt's time; it may have run.
    Late(Duration),
    /// A peer asked for parts and sent a page of what came; it had the request for so long, if it says so.
    Paged(Box<Page>, Option<Duration>),
    /// Stopped by [`crate::Action::Cancel`] after it was sent; it may have run.
    Cancelled,
}
