//! Bounds how long a connection may stay in each phase of a request.
//!
//! hyper's own bound on the headers also runs while a kept connection is idle, and would close it
//! under the caller's next request. Here the bound starts with the first byte of a head.

use std::io::Result;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The low bits that hold the phase beside the time.
const PHASE_BITS: u64 = 2;

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Idle,
    Head,
    Busy,
}

/// The phase of one connection and when it began, in one word so that both change together.
#[derive(Clone)]
pub(crate) struct PhaseClock {
    start: Instant,
    word: Arc<AtomicU64>,
    /// Told when a head begins, as its bound ends before that of the idle time that is waited for.
    begun: Arc<Notify>,
    head_max: Duration,
    idle_max: Duration,
}

impl PhaseClock {
    pub(crate) fn new(head_max: Duration, idle_max: Duration) -> Self {
        Self {
            start: Instant::now(),
            word: Arc::default(),
            begun: Arc::default(),
            head_max,
            idle_max,
        }
    }

    /// A request's head is in; its body has a bound of its own.
    pub(crate) fn busy(&self) {
        self.set(Phase::Busy);
    }

    /// The response is handed over.
    pub(crate) fn idle(&self) {
        self.set(Phase::Idle);
    }

    /// Returns when the connection has stayed in a phase for too long.
    pub(crate) async fn expired(&self) {
        loop {
            let until = self.until();
            if until <= Instant::now() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep_until(until) => {}
                () = self.begun.notified() => {}
            }
        }
    }

    fn until(&self) -> Instant {
        let (phase, since) = self.read();
        match phase {
            Phase::Idle => since + self.idle_max,
            Phase::Head => since + self.head_max,
            Phase::Busy => Instant::now() + self.head_max,
        }
    }

    fn arrived(&self) {
        if self.read().0 == Phase::Idle {
            self.set(Phase::Head);
            self.begun.notify_one();
        }
    }

    fn set(&self, phase: Phase) {
        let ms = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX >> PHASE_BITS);
        self.word
            .store((ms << PHASE_BITS) | phase as u64, Ordering::Relaxed);
    }

    fn read(&self) -> (Phase, Instant) {
        let word = self.word.load(Ordering::Relaxed);
        let phase = match word & 3 {
            0 => Phase::Idle,
            1 => Phase::Head,
            _ => Phase::Busy,
        };
        (
            phase,
            self.start + Duration::from_millis(word >> PHASE_BITS),
        )
    }
}

/// A TCP stream that tells its [`PhaseClock`] of the first byte of a head.
pub(crate) struct Watched {
    tcp: TcpStream,
    clock: PhaseClock,
}

impl Watched {
    pub(crate) fn new(tcp: TcpStream, clock: PhaseClock) -> Self {
        Self { tcp, clock }
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.tcp).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.clock.arrived();
        }
        polled
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }
}
