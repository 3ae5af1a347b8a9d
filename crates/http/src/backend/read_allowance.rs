//! Bounds the bytes that are read from a connection for one reply.
//!
//! A faulty server may send bytes that are no reply and never end: a head, interim responses, chunk headers, a body or
//! trailers. hyper bounds some of these and skips others, so the bytes themselves are counted where they are read.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// The bytes that may still be read from a connection, shared by its driver and its exchanges.
#[derive(Clone, Debug)]
pub(crate) struct ReadAllowance(Arc<AtomicUsize>);

impl ReadAllowance {
    /// Creates an allowance of this many bytes.
    pub(crate) fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Allows this many bytes from now on, whatever was left.
    pub(crate) fn reset(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Returns whether no byte may be read any more.
    pub(crate) fn is_used_up(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    fn take(&self, bytes: usize) {
        let left = self.0.load(Ordering::Relaxed);
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
    }
}

/// A stream that fails to read once its allowance is used up.
pub(crate) struct LimitedStream {
    tcp: TcpStream,
    allowance: ReadAllowance,
}

impl LimitedStream {
    pub(crate) fn new(tcp: TcpStream, allowance: ReadAllowance) -> Self {
        Self { tcp, allowance }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.is_used_up() {
            let text = "more bytes than a reply may have";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.tcp).poll_read(cx, buf))?;
        self.allowance.take(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}
