//! Timeouts for the phases of a server connection: idle, receiving the headers and writing the response.
//!
//! hyper's own header timeout also runs while a keep-alive connection is idle, and would close it at the same time as
//! the caller's next request arrives. Here the header timeout starts with the first byte of a request. The idle timeout
//! starts when the kernel has the whole response; while it is written, it bounds the time without progress.

use std::io::ErrorKind;
use std::io::Result;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The number of low bits that hold the phase; the others hold the time.
const PHASE_BITS: u64 = 2;

/// The phase of a connection.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    /// No request has begun.
    Idle,
    /// The headers of a request are being received.
    Head,
    /// A request is being handled; its body has a timeout of its own.
    Handler,
    /// The response is being written.
    Response,
}

/// The phase of one connection, and when it began or a write last made progress.
#[derive(Clone)]
pub(crate) struct PhaseClock {
    start: Instant,
    /// The phase and its start in milliseconds, in one integer so that both change together.
    packed: Arc<AtomicU64>,
    /// Notified when a request begins: its header timeout can expire before the idle timeout being waited for.
    head_started: Arc<Notify>,
    /// Whether the connection is to be closed once it is idle.
    is_closing: Arc<AtomicBool>,
    head_timeout: Duration,
    idle_timeout: Duration,
}

impl PhaseClock {
    pub(crate) fn new(head_timeout: Duration, idle_timeout: Duration) -> Self {
        Self {
            start: Instant::now(),
            packed: Arc::default(),
            head_started: Arc::default(),
            is_closing: Arc::default(),
            head_timeout,
            idle_timeout,
        }
    }

    /// Starts the handler phase: the headers of a request are complete.
    pub(crate) fn start_handler(&self) {
        self.set(Phase::Handler);
    }

    /// Starts the response phase: the response is passed to hyper.
    pub(crate) fn start_response(&self) {
        self.set(Phase::Response);
    }

    /// Closes the connection once it is idle and no byte of a request is in its socket buffer.
    ///
    /// The connection has to be polled after this. A request whose first byte arrives after that poll is not answered;
    /// this cannot be avoided, as the caller may send it before it learns of the close.
    pub(crate) fn close_when_idle(&self) {
        self.is_closing.store(true, Ordering::Relaxed);
    }

    /// Returns whether the connection is closed once it is idle.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    /// Returns whether no request is being received or answered.
    pub(crate) fn is_idle(&self) -> bool {
        self.read().0 == Phase::Idle
    }

    /// Waits until the connection has exceeded the timeout of its phase.
    pub(crate) async fn wait_until_expired(&self) {
        loop {
            let deadline = self.deadline();
            if deadline <= Instant::now() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep_until(deadline) => {}
                () = self.head_started.notified() => {}
            }
        }
    }

    /// Returns when the current phase times out; always in the future while a request is handled, and while an idle
    /// connection is about to be closed.
    fn deadline(&self) -> Instant {
        let (phase, since) = self.read();
        match phase {
            Phase::Idle if self.is_closing() => Instant::now() + self.head_timeout,
            Phase::Idle | Phase::Response => since + self.idle_timeout,
            Phase::Head => since + self.head_timeout,
            Phase::Handler => Instant::now() + self.head_timeout,
        }
    }

    /// Starts the header phase if the connection was idle.
    fn on_bytes(&self) {
        if self.read().0 == Phase::Idle {
            self.set(Phase::Head);
            self.head_started.notify_one();
        }
    }

    /// Notes the progress of a response; bytes written earlier are an interim response.
    fn on_written(&self) {
        if matches!(self.read().0, Phase::Idle | Phase::Response) {
            self.set(Phase::Response);
        }
    }

    /// Starts the idle phase if a response was being written, and returns whether it was.
    fn on_flushed(&self) -> bool {
        let is_written = self.read().0 == Phase::Response;
        if is_written {
            self.set(Phase::Idle);
        }
        is_written
    }

    fn set(&self, phase: Phase) {
        let ms = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX >> PHASE_BITS);
        self.packed
            .store((ms << PHASE_BITS) | phase as u64, Ordering::Relaxed);
    }

    fn read(&self) -> (Phase, Instant) {
        let packed = self.packed.load(Ordering::Relaxed);
        let phase = match packed & 3 {
            0 => Phase::Idle,
            1 => Phase::Head,
            2 => Phase::Handler,
            _ => Phase::Response,
        };
        (
            phase,
            self.start + Duration::from_millis(packed >> PHASE_BITS),
        )
    }
}

/// A TCP stream that notifies its [`PhaseClock`] of received and written bytes.
pub(crate) struct PhaseStream {
    tcp: TcpStream,
    clock: PhaseClock,
}

impl PhaseStream {
    pub(crate) fn new(tcp: TcpStream, clock: PhaseClock) -> Self {
        Self { tcp, clock }
    }

    /// Returns whether the connection is to be closed now: it is idle and its socket buffer is empty.
    ///
    /// The socket itself is asked, as the runtime learns of received bytes with a delay.
    fn is_closable(&self) -> bool {
        if !self.clock.is_closing() || !self.clock.is_idle() {
            return false;
        }
        let mut buf = [MaybeUninit::uninit()];
        // An error other than an empty buffer is left to the next read.
        matches!(SockRef::from(&self.tcp).peek(&mut buf), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    fn note_written(&self, polled: &Poll<Result<usize>>) {
        if matches!(polled, Poll::Ready(Ok(n)) if *n > 0) {
            self.clock.on_written();
        }
    }
}

impl AsyncRead for PhaseStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.tcp).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.clock.on_bytes();
        }
        if polled.is_pending() && self.is_closable() {
            // The end of the stream makes hyper close an idle connection.
            return Poll::Ready(Ok(()));
        }
        polled
    }
}

impl AsyncWrite for PhaseStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let polled = Pin::new(&mut self.tcp).poll_write(cx, buf);
        self.note_written(&polled);
        polled
    }

    /// Notes that everything is written: hyper flushes when its own buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let polled = Pin::new(&mut self.tcp).poll_flush(cx);
        let is_written = matches!(polled, Poll::Ready(Ok(()))) && self.clock.on_flushed();
        if is_written && self.clock.is_closing() {
            // hyper waits for a read that is pending since before the connection became idle.
            cx.waker().wake_by_ref();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let polled = Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs);
        self.note_written(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }
}
