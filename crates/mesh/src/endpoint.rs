//! State and frame handling shared by the sending side of [`NngMesh`](crate::NngMesh) and its receive callback.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use nng::Socket;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

use crate::counters::Counters;
use crate::counters::add;
use crate::frame::Codec;
use crate::frame::Frame;
use crate::frame::FrameKind;
use crate::frame::RejectReason;
use crate::link::Link;
use crate::link::Links;
use crate::mesh::Received;
use crate::mesh::SendError;
use crate::replay::ReplayGuard;
use crate::settings::MeshSettings;

/// The shortest time between two hellos to a peer in response to its frames.
const HELLO_INTERVAL_MIN: Duration = Duration::from_millis(50);

/// This VM's end of the mesh: sends frames to peers, and checks and delivers received ones.
pub(crate) struct Endpoint {
    pub(crate) counters: Counters,
    cfg: MeshSettings,
    advertised: SocketAddr,
    codec: Codec,
    seq: AtomicU64,
    links: Mutex<Links>,
    replay_guard: Mutex<ReplayGuard>,
}

impl Endpoint {
    pub(crate) fn new(cfg: MeshSettings, listener_addr: SocketAddr) -> Self {
        Self {
            counters: Counters::default(),
            advertised: cfg.advertised.unwrap_or(listener_addr),
            codec: Codec::new(&cfg.secret),
            seq: AtomicU64::new(0),
            links: Mutex::new(Links::new(cfg.source, cfg.send_queue_max)),
            replay_guard: Mutex::default(),
            cfg,
        }
    }

    /// Sends an encoded message to a peer.
    pub(crate) fn send(&self, to: &VmId, body: &[u8]) -> Result<(), SendError> {
        let mut links = self.links();
        let link = links.find(to).ok_or(SendError::NoSuchPeer)?;
        self.send_frame(link, to, FrameKind::Message, body)
    }

    /// Connects to the listed peers, sends a hello to the new ones and returns the sockets that are no longer used.
    pub(crate) fn set_peers(&self, peers: &[(VmId, SocketAddr)]) -> Vec<Socket> {
        let mut links = self.links();
        let (added, unused) = links.set_peers(peers);
        for vm in &added {
            if let Some(link) = links.find(vm) {
                self.send_hello(link, vm);
            }
        }
        unused
    }

    /// Removes all connections and returns their sockets, to close them.
    pub(crate) fn take_sockets(&self) -> Vec<Socket> {
        self.links().take_sockets()
    }

    /// Handles a received frame; counts and logs it if it is rejected.
    pub(crate) fn on_frame<M: DeserializeOwned>(&self, buf: &[u8], tx: &mpsc::Sender<Received<M>>) {
        add(&self.counters.received_bytes, buf.len() as u64);
        if let Err(reason) = self.try_receive(buf, tx) {
            self.counters.count_rejected(reason);
            self.log_rejected(reason);
        }
    }

    /// Checks a frame and delivers its message.
    ///
    /// Replies with a hello if the frame is not addressed to the current incarnation.
    fn try_receive<M: DeserializeOwned>(
        &self,
        buf: &[u8],
        tx: &mpsc::Sender<Received<M>>,
    ) -> Result<(), RejectReason> {
        let (frame, body) = self.codec.decode(buf)?;
        if frame.to != self.cfg.vm {
            return Err(RejectReason::Misdirected);
        }
        let is_for_this_incarnation = frame.to_incarnation == self.cfg.incarnation;
        if frame.kind == FrameKind::Message && !is_for_this_incarnation {
            self.reply_with_hello(&frame);
            return Err(RejectReason::Stale);
        }
        self.replay_guard
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .admit(&frame)?;
        if !is_for_this_incarnation {
            self.reply_with_hello(&frame);
        }
        self.note_incarnation(&frame);
        match frame.kind {
            FrameKind::Hello => Ok(()),
            FrameKind::Message => self.deliver(frame, body, tx),
        }
    }

    /// Passes a message to the program, or drops it if the inbox is full.
    fn deliver<M: DeserializeOwned>(
        &self,
        frame: Frame,
        body: &[u8],
        tx: &mpsc::Sender<Received<M>>,
    ) -> Result<(), RejectReason> {
        let msg = postcard::from_bytes(body).map_err(|_| RejectReason::Undecodable)?;
        let received = Received {
            from: frame.from,
            incarnation: frame.incarnation,
            msg,
        };
        match tx.try_send(received) {
            Ok(()) => add(&self.counters.received, 1),
            Err(_) => add(&self.counters.inbox_full, 1),
        }
        Ok(())
    }

    /// Records the incarnation of a peer, so that frames to the peer are addressed to it.
    fn note_incarnation(&self, frame: &Frame) {
        let mut links = self.links();
        if let Some(link) = links.find(&frame.from) {
            link.incarnation = link.incarnation.max(frame.incarnation);
        }
    }

    /// Sends a hello with the current incarnation to the sender of a frame that addressed another one.
    ///
    /// Also replies to a VM that has just joined and is not in the platform's list yet.
    fn reply_with_hello(&self, frame: &Frame) {
        let mut links = self.links();
        let Some(link) = links.find_or_open_unlisted(&frame.from, frame.addr) else {
            return;
        };
        link.incarnation = link.incarnation.max(frame.incarnation);
        let due = link
            .last_hello
            .is_none_or(|t| t.elapsed() >= HELLO_INTERVAL_MIN);
        if due {
            self.send_hello(link, &frame.from);
        }
    }

    /// Sends a hello to a peer; like any frame, it may be lost.
    fn send_hello(&self, link: &mut Link, to: &VmId) {
        link.last_hello = Some(Instant::now());
        let _ = self.send_frame(link, to, FrameKind::Hello, &[]);
    }

    fn send_frame(
        &self,
        link: &Link,
        to: &VmId,
        kind: FrameKind,
        body: &[u8],
    ) -> Result<(), SendError> {
        let frame = Frame {
            kind,
            from: self.cfg.vm.clone(),
            incarnation: self.cfg.incarnation,
            addr: self.advertised,
            to: to.clone(),
            to_incarnation: link.incarnation,
            seq: self.seq.fetch_add(1, Ordering::Relaxed) + 1,
        };
        let buf = self
            .codec
            .encode(&frame, body)
            .map_err(|_| SendError::Failed)?;
        let res = match buf.len() as u64 > self.cfg.message_max.0 {
            true => Err(SendError::TooLarge),
            false => link.socket.try_send(&buf[..]).map_err(|(_, e)| match e {
                nng::Error::TryAgain | nng::Error::TimedOut => SendError::Full,
                _ => SendError::Failed,
            }),
        };
        self.count_sent(res, buf.len());
        res
    }

    fn count_sent(&self, res: Result<(), SendError>, bytes: usize) {
        match res {
            Ok(()) => {
                add(&self.counters.sent, 1);
                add(&self.counters.sent_bytes, bytes as u64);
            }
            Err(SendError::Full) => add(&self.counters.send_full, 1),
            Err(_) => add(&self.counters.send_failed, 1),
        }
    }

    /// Logs the 1st, 2nd, 4th, 8th and so on rejected frame per reason, so that a hostile peer cannot fill the log.
    fn log_rejected(&self, reason: RejectReason) {
        let n = self.counters.rejected(reason);
        if n.is_power_of_two() && reason != RejectReason::Stale {
            log::warn!("event=mesh-refused reason={reason} count={n}");
        }
    }

    fn links(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
