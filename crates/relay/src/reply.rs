//! How an attempt ended, and the answer of its server.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;

use crate::outcome::Page;

/// The load that a server reports with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that it is executing.
    pub running: u32,
    /// Requests that wait in its queue.
    pub waiting: u32,
    /// Requests that it can execute concurrently.
    pub slots: u32,
}

/// A server's complete answer.
#[derive(Clone, Debug)]
pub struct ServerAnswer {
    /// The status.
    pub status: StatusCode,
    /// The server's stamp, which proves that the answer is its own; `None` if it sent none.
    pub stamp: Option<Bytes>,
    /// The end-to-end headers, without the stamp.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl ServerAnswer {
    /// Returns whether it is a success that may be forwarded or counted as a part.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.status.is_success() && self.stamp.is_some()
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptEnd {
    /// The server executed it and answered completely, with a success or a failure of its own.
    Answered(Box<ServerAnswer>, Option<Load>),
    /// The server refused it for load and reports that it was not executed.
    Shed(Option<Load>),
    /// A peer has no capacity for the parts and reports when to retry; nothing was executed.
    Overloaded(Duration),
    /// Another server has the address; nothing was executed.
    WrongServer,
    /// Nothing was sent: no connection was available, the idle one was found closed, the request
    /// could not be built, or the attempt was cancelled before.
    NotSent,
    /// The connection broke after the request was sent; it may have been executed.
    Broken,
    /// The answer was truncated, malformed or that of another attempt; it may have been executed.
    Garbled,
    /// No answer arrived within the attempt's timeout, which is given; it may have been executed.
    Late(Duration),
    /// A peer returned a page of the parts that it received, with the time for which it held the
    /// request, if it reports that.
    Paged(Box<Page>, Option<Duration>),
    /// Stopped by [`crate::Action::Cancel`] after it was sent; it may have been executed.
    Cancelled,
}
