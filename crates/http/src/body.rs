//! Reads the body of a request within bounds on size and time, and on the memory of all bodies.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gs_types::prelude::*;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::body_budget::BodyBudget;
use crate::body_budget::BodyCharge;

/// How long the rest of a refused body is read, so that a client that is still sending it sees the response.
const LINGER: Duration = Duration::from_secs(1);

/// Reads a body of at most `bytes_max` bytes that arrives within `timeout`; `budget` is charged until the last copy of
/// the body is dropped.
///
/// Without these bounds, a client that sends a body slowly or never ends it would hold memory and a connection
/// indefinitely.
///
/// # Errors
///
/// [`ErrorKind::TooMuch`] if the bound on size or time is exceeded, [`ErrorKind::Unavailable`] as soon as the budget has
/// no room for the body, [`ErrorKind::BadInput`] if the body is incomplete or malformed.
pub async fn read_body(
    mut body: Incoming,
    bytes_max: usize,
    timeout: Duration,
    budget: &Arc<BodyBudget>,
) -> Result<Bytes> {
    let read = tokio::time::timeout(timeout, receive(&mut body, bytes_max, budget));
    let result = read.await.unwrap_or_else(|_| {
        let text = "the body did not arrive in time";
        Err(Error::new(ErrorKind::TooMuch, text))
    });
    if let Err(e) = &result
        && e.kind() == ErrorKind::Unavailable
    {
        tokio::spawn(discard(body, bytes_max));
    }
    result.map_err(|e| e.at("read body"))
}

async fn receive(body: &mut Incoming, bytes_max: usize, budget: &Arc<BodyBudget>) -> Result<Bytes> {
    let no_room = || Error::new(ErrorKind::Unavailable, "other bodies use up the memory");
    let announced = body.size_hint().exact();
    let announced = announced.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    // A longer body is too large whenever it comes; it must not be told to come again.
    let fits = |bytes: usize| bytes > bytes_max || budget.has_room_for(bytes);
    if !announced.is_none_or(fits) {
        return Err(no_room());
    }
    let capacity_max = announced.map_or(bytes_max, |bytes| bytes.min(bytes_max));
    let mut received = ReceivedBody {
        bytes: Vec::new(),
        charge: BodyCharge::new(budget),
    };
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| Error::new(ErrorKind::BadInput, e.to_string()))?;
        // Trailers mean nothing to this process.
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        if received.bytes.len() + chunk.len() > bytes_max {
            let text = format!("the body is over {bytes_max} bytes");
            return Err(Error::new(ErrorKind::TooMuch, text));
        }
        if !received.push(&chunk, capacity_max) {
            return Err(no_room());
        }
    }
    Ok(received.into_bytes())
}

/// Reads and drops the rest of a refused body.
///
/// A connection that is closed with unread bytes is reset, and the client may lose the response.
async fn discard(mut body: Incoming, bytes_max: usize) {
    let discard_all = async {
        let mut discarded = 0;
        while let Some(Ok(frame)) = body.frame().await {
            discarded += frame.data_ref().map_or(0, Bytes::len);
            if discarded > bytes_max {
                return;
            }
        }
    };
    // The connection is closed either way.
    let _ = tokio::time::timeout(LINGER, discard_all).await;
}

/// A body, and what it holds of its budget.
///
/// The chunks are copied: each would keep the whole buffer in which it arrived.
struct ReceivedBody {
    bytes: Vec<u8>,
    charge: BodyCharge,
}

impl ReceivedBody {
    /// Appends a chunk; returns `false` if the budget has no room for it.
    fn push(&mut self, chunk: &[u8], capacity_max: usize) -> bool {
        let len = self.bytes.len() + chunk.len();
        let capacity = self.bytes.capacity();
        if len > capacity {
            let doubled = capacity.saturating_mul(2).min(capacity_max);
            let wanted = len.max(doubled);
            if !self.charge.grow_to(wanted) {
                return false;
            }
            self.bytes.reserve_exact(wanted - self.bytes.len());
        }
        self.bytes.extend_from_slice(chunk);
        true
    }

    fn into_bytes(self) -> Bytes {
        match self.charge.is_free() {
            true => Bytes::from(self.bytes),
            false => Bytes::from_owner(self),
        }
    }
}

impl AsRef<[u8]> for ReceivedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
