//! Collects the bodies of replies, and bounds the memory of all that this process is receiving.
//!
//! A bound on each reply is not enough: some hundred replies without an end would each grow to it. Small replies are
//! always received; what exceeds that size is taken from a total that all replies share.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use bytes::BytesMut;

/// The size up to which a reply is received whatever the others hold, in bytes.
const FREE_BYTES: usize = 64 << 10;

/// The most that all replies may hold beyond [`FREE_BYTES`] each, in bytes.
const SHARED_BYTES_MAX: usize = 16 << 20;

/// The number of chunks in which any reply may come.
const FREE_CHUNKS: usize = 4096;

/// The least mean size of the chunks beyond those, in bytes: each costs processor time.
const MEAN_CHUNK_BYTES_MIN: usize = 1024;

/// The bytes that all replies of this process hold beyond [`FREE_BYTES`] each.
static SHARED_BYTES: AtomicUsize = AtomicUsize::new(0);

/// Collects the body of one reply.
#[derive(Debug)]
pub(crate) struct BodyCollector {
    bytes_max: usize,
    chunks: usize,
    /// The only chunk so far, which is kept as it is.
    first: Bytes,
    /// All chunks, from the second on.
    all: BytesMut,
    /// How much of the shared bytes it holds.
    shared: usize,
}

impl BodyCollector {
    /// Creates a collector of a body of at most `bytes_max` bytes.
    pub(crate) fn new(bytes_max: usize) -> Self {
        Self {
            bytes_max,
            chunks: 0,
            first: Bytes::new(),
            all: BytesMut::new(),
            shared: 0,
        }
    }

    /// Adds a chunk; returns `false` if the body is larger or in more chunks than allowed, or if all replies hold too
    /// much together.
    pub(crate) fn push(&mut self, chunk: Bytes) -> bool {
        let len = self.len() + chunk.len();
        self.chunks += 1;
        if self.chunks > FREE_CHUNKS + len / MEAN_CHUNK_BYTES_MIN {
            return false;
        }
        if len > self.bytes_max || !self.share(len.saturating_sub(FREE_BYTES)) {
            return false;
        }
        if self.len() == 0 {
            self.first = chunk;
            return true;
        }
        if self.all.is_empty() {
            self.all.extend_from_slice(&self.first);
        }
        self.all.extend_from_slice(&chunk);
        true
    }

    /// Returns the complete body.
    pub(crate) fn into_bytes(mut self) -> Bytes {
        match self.all.is_empty() {
            true => std::mem::take(&mut self.first),
            false => std::mem::take(&mut self.all).freeze(),
        }
    }

    fn len(&self) -> usize {
        self.first.len().max(self.all.len())
    }

    /// Raises what it holds of the shared bytes; returns `false` if there are not enough.
    fn share(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.shared);
        if more == 0 {
            return true;
        }
        let held = SHARED_BYTES.fetch_add(more, Ordering::Relaxed);
        self.shared += more;
        held + more <= SHARED_BYTES_MAX
    }
}

impl Drop for BodyCollector {
    fn drop(&mut self) {
        SHARED_BYTES.fetch_sub(self.shared, Ordering::Relaxed);
    }
}
