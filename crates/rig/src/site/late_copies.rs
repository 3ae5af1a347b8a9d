//! A connection on which copies of answers arrive late, where the next answer is expected.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use super::http::RequestHandler;

/// The server's side of a connection.
///
/// While the handler asks for copies, each answer is sent again as soon as the next request arrives, before the answer
/// to that request.
pub(super) struct LateCopies<S> {
    stream: S,
    handler: Arc<dyn RequestHandler>,
    /// The answer that was written last.
    answer: Vec<u8>,
    /// The rest of a copy that is to be written before anything else.
    copy: Vec<u8>,
}

impl<S: AsyncWrite + Unpin> LateCopies<S> {
    pub(super) fn new(stream: S, handler: Arc<dyn RequestHandler>) -> Self {
        Self {
            stream,
            handler,
            answer: Vec::new(),
            copy: Vec::new(),
        }
    }

    /// Begins the copy of the last answer when a request has arrived.
    fn on_request(&mut self) {
        let answer = std::mem::take(&mut self.answer);
        if self.handler.sends_late_copies() {
            self.copy.extend(answer);
        }
    }

    fn poll_write_copy(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.copy.is_empty() {
            let n = ready!(Pin::new(&mut self.stream).poll_write(cx, &self.copy))?;
            self.copy.drain(..n);
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncRead for LateCopies<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if buf.filled().len() > before && !self.answer.is_empty() {
            self.on_request();
        }
        match self.poll_write_copy(cx) {
            Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
            // What could not be written yet precedes the next answer.
            Poll::Ready(Ok(())) | Poll::Pending => Poll::Ready(Ok(())),
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LateCopies<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_write_copy(cx))?;
        let n = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.answer.extend_from_slice(&buf[..n]);
        Poll::Ready(Ok(n))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
