//! Timeouts for the phases of a server connection: idle, receiving the headers and writing the response.
//!
//! hyper's own header timeout also runs while a keep-alive connection is idle, and would close it at the same time as
//! the caller's next request arrives. Here the header timeout starts with the first byte of a request. The idle timeout
//! starts when the kernel has the whole response; while it is written, it bounds the time without progress.

use std::io::ErrorKind;
use std::io::Result;
use std::mem::MaybeUninit;
use std::ops::RangeInclusive;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use socket2::SockRef;
use strum::Display;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::Sleep;

/// The number of low bits that hold the phase; the others hold the time.
const PHASE_BITS: u64 = 2;

/// Stands for the length of a request that only its end tells.
const UNKNOWN_BYTES: u64 = u64::MAX;

/// The longest that the rest of a request is waited for after its response.
const LINGERING_TIMEOUT: Duration = Duration::from_secs(2);

/// The most bytes of the rest of a request that are read after its response.
const LINGERING_BYTES_MAX: usize = 16 << 20;

/// The phase of a connection.
#[derive(Clone, Copy, PartialEq, Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Phase {
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
    shared: Arc<Shared>,
    head_timeout: Duration,
    idle_timeout: Duration,
}

/// What the stream and the service of a connection share.
#[derive(Default)]
struct Shared {
    /// The phase and its start in milliseconds, in one integer so that both change together.
    packed: AtomicU64,
    /// Notified when a request begins: its header timeout can expire before the idle timeout being waited for.
    head_started: Notify,
    /// Whether the connection is to be closed once it is idle.
    is_closing: AtomicBool,
    /// The bytes received since the first one of the current request.
    received_bytes: AtomicU64,
    /// The bounds of the length of the current request, or [`UNKNOWN_BYTES`].
    request_bytes_min: AtomicU64,
    request_bytes_max: AtomicU64,
    /// Whether the next request may have begun with bytes that were received together with the current one.
    is_next_begun: AtomicBool,
}

impl PhaseClock {
    pub(crate) fn new(head_timeout: Duration, idle_timeout: Duration) -> Self {
        Self {
            start: Instant::now(),
            shared: Arc::default(),
            head_timeout,
            idle_timeout,
        }
    }

    /// Starts the handler phase: the headers of a request are complete.
    ///
    /// `request_bytes` are the bounds of the request's length, or `None` if only its end tells its length.
    pub(crate) fn start_handler(&self, request_bytes: Option<RangeInclusive<u64>>) {
        let is_counted =
            self.read().0 == Phase::Head && !self.shared.is_next_begun.load(Ordering::Relaxed);
        let (min, max) = request_bytes
            .filter(|_| is_counted)
            .map_or((UNKNOWN_BYTES, UNKNOWN_BYTES), RangeInclusive::into_inner);
        self.shared.request_bytes_min.store(min, Ordering::Relaxed);
        self.shared.request_bytes_max.store(max, Ordering::Relaxed);
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
        self.shared.is_closing.store(true, Ordering::Relaxed);
    }

    /// Returns whether the connection is closed once it is idle.
    pub(crate) fn is_closing(&self) -> bool {
        self.shared.is_closing.load(Ordering::Relaxed)
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
                () = self.shared.head_started.notified() => {}
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

    /// Returns whether bytes of the current request are still to come; `None` if this is unknown.
    pub(crate) fn is_request_incomplete(&self) -> Option<bool> {
        let min = self.shared.request_bytes_min.load(Ordering::Relaxed);
        let received = self.shared.received_bytes.load(Ordering::Relaxed);
        (min != UNKNOWN_BYTES).then_some(received < min)
    }

    /// Counts received bytes, and starts the header phase if the connection was idle.
    fn on_received(&self, bytes: usize) {
        let is_first = self.read().0 == Phase::Idle;
        if is_first {
            self.shared.received_bytes.store(0, Ordering::Relaxed);
        }
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.shared
            .received_bytes
            .fetch_add(bytes, Ordering::Relaxed);
        if is_first {
            self.set(Phase::Head);
            self.shared.head_started.notify_one();
        }
    }

    /// Notes the progress of a response; what is written while a request is handled is an interim response.
    fn on_written(&self) {
        match self.read().0 {
            Phase::Handler => {}
            Phase::Idle | Phase::Response => self.set(Phase::Response),
            // hyper rejects the request.
            Phase::Head => {
                let min = &self.shared.request_bytes_min;
                min.store(UNKNOWN_BYTES, Ordering::Relaxed);
                self.set(Phase::Response);
            }
        }
    }

    /// Starts the idle phase if a response was being written, and returns whether it was.
    fn on_flushed(&self) -> bool {
        let is_written = self.read().0 == Phase::Response;
        if is_written {
            let max = self.shared.request_bytes_max.load(Ordering::Relaxed);
            let received = self.shared.received_bytes.load(Ordering::Relaxed);
            let is_next_begun = max == UNKNOWN_BYTES || received > max;
            let shared = &self.shared.is_next_begun;
            shared.store(is_next_begun, Ordering::Relaxed);
            if max != UNKNOWN_BYTES && received > max {
                self.set(Phase::Head);
                self.shared.head_started.notify_one();
            } else {
                self.set(Phase::Idle);
            }
        }
        is_written
    }

    fn set(&self, phase: Phase) {
        let ms = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX >> PHASE_BITS);
        self.shared
            .packed
            .store((ms << PHASE_BITS) | phase as u64, Ordering::Relaxed);
    }

    /// Returns the phase, and when it began or a write last made progress.
    pub(crate) fn read(&self) -> (Phase, Instant) {
        let packed = self.shared.packed.load(Ordering::Relaxed);
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
    /// Whether the connection is closed for being idle.
    is_closed_idle: bool,
    /// Set from when the last response is written until the caller has sent the rest of its request.
    lingering: Option<Lingering>,
}

/// The rest of a request that is discarded before its connection is closed.
///
/// Closing a socket with unread bytes resets the connection, which ends a caller that is still sending before it has read
/// its response.
struct Lingering {
    timeout: Pin<Box<Sleep>>,
    bytes_left: usize,
}

impl Lingering {
    fn new() -> Self {
        Self {
            timeout: Box::pin(tokio::time::sleep(LINGERING_TIMEOUT)),
            bytes_left: LINGERING_BYTES_MAX,
        }
    }

    /// Discards what arrives until the caller has closed its side; gives up beyond the bounds on time and bytes.
    fn poll(&mut self, tcp: &mut TcpStream, cx: &mut Context<'_>) -> Poll<()> {
        let mut discarded = [0; 16 * 1024];
        while self.bytes_left > 0 && self.timeout.as_mut().poll(cx).is_pending() {
            let mut buf = ReadBuf::new(&mut discarded);
            match Pin::new(&mut *tcp).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {
                    self.bytes_left = self.bytes_left.saturating_sub(buf.filled().len());
                }
                // The caller has closed its side or the whole connection.
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Ready(())
    }
}

impl PhaseStream {
    pub(crate) fn new(tcp: TcpStream, clock: PhaseClock) -> Self {
        Self {
            tcp,
            clock,
            is_closed_idle: false,
            lingering: None,
        }
    }

    /// Returns whether the caller may still be sending the request that has been answered.
    fn may_receive_more(&self) -> bool {
        let is_incomplete = self.clock.is_request_incomplete();
        is_incomplete.unwrap_or(!self.is_closed_idle) || self.peek().is_ok_and(|n| n > 0)
    }

    /// Returns how many bytes are in the socket buffer, at most one.
    ///
    /// The socket itself is asked, as the runtime learns of received bytes with a delay.
    fn peek(&self) -> Result<usize> {
        SockRef::from(&self.tcp).peek(&mut [MaybeUninit::uninit()])
    }

    /// Returns whether the connection is to be closed now: it is idle and its socket buffer is empty.
    fn is_closable(&self) -> bool {
        // An error other than an empty buffer is left to the next read.
        self.clock.is_closing()
            && self.clock.is_idle()
            && matches!(self.peek(), Err(e) if e.kind() == ErrorKind::WouldBlock)
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
        let received = buf.filled().len() - before;
        if received > 0 {
            self.clock.on_received(received);
        }
        if polled.is_pending() && self.is_closable() {
            // The end of the stream makes hyper close an idle connection.
            self.is_closed_idle = true;
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

    /// Closes this side, then waits for the rest of a request that was answered before it was received.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let this = &mut *self;
        if this.lingering.is_none() {
            ready!(Pin::new(&mut this.tcp).poll_shutdown(cx))?;
            if !this.may_receive_more() {
                return Poll::Ready(Ok(()));
            }
        }
        let lingering = this.lingering.get_or_insert_with(Lingering::new);
        ready!(lingering.poll(&mut this.tcp, cx));
        Poll::Ready(Ok(()))
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
