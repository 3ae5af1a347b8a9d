//! What the sending side and the receiving callback share.

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

/// Shortest time between two greetings of one peer.
const GREET_EVERY: Duration = Duration::from_millis(50);

pub(crate) struct Hub {
    pub(crate) counters: Counters,
    cfg: MeshSettings,
    advertised: SocketAddr,
    codec: Codec,
    seq: AtomicU64,
    links: Mutex<Links>,
    guard: Mutex<ReplayGuard>,
}

impl Hub {
    pub(crate) fn new(cfg: MeshSettings, listening: SocketAddr) -> Self {
        Self {
            counters: Counters::default(),
            advertised: cfg.advertised.unwrap_or(listening),
            codec: Codec::new(&cfg.secret),
            seq: AtomicU64::new(0),
            links: Mutex::new(Links::new(cfg.source, cfg.queue)),
            guard: Mutex::default(),
            cfg,
        }
    }

    pub(crate) fn send(&self, to: &VmId, body: &[u8]) -> Result<(), SendError> {
        let mut links = self.links();
        let link = links.find(to).ok_or(SendError::NoSuchPeer)?;
        self.put(link, to, FrameKind::Message, body)
    }

    /// Connects to the listed peers, greets the new ones and gives the sockets now unused.
    pub(crate) fn list(&self, peers: &[(VmId, SocketAddr)]) -> Vec<Socket> {
        let mut links = self.links();
        let (fresh, unused) = links.list(peers);
        for vm in &fresh {
            if let Some(link) = links.find(vm) {
                self.greet(link, vm);
            }
        }
        unused
    }

    pub(crate) fn close(&self) -> Vec<Socket> {
        self.links().clear()
    }

    /// Handles one frame as it came.
    pub(crate) fn take<M: DeserializeOwned>(&self, buf: &[u8], tx: &mpsc::Sender<Received<M>>) {
        add(&self.counters.received_bytes, buf.len() as u64);
        if let Err(why) = self.try_take(buf, tx) {
            self.counters.refuse(why);
            self.log_refusal(why);
        }
    }

    fn try_take<M: DeserializeOwned>(
        &self,
        buf: &[u8],
        tx: &mpsc::Sender<Received<M>>,
    ) -> Result<(), RejectReason> {
        let (frame, body) = self.codec.read(buf)?;
        if frame.to != self.cfg.vm {
            return Err(RejectReason::Misdirected);
        }
        let knows_us = frame.to_incarnation == self.cfg.incarnation;
        if frame.kind == FrameKind::Message && !knows_us {
            self.answer_greeting(&frame);
            return Err(RejectReason::Stale);
        }
        self.guard
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .admit(&frame)?;
        if !knows_us {
            self.answer_greeting(&frame);
        }
        self.learn(&frame);
        match frame.kind {
            FrameKind::Hello => Ok(()),
            FrameKind::Message => self.hand_over(frame, body, tx),
        }
    }

    fn hand_over<M: DeserializeOwned>(
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

    /// Remembers the run of a peer, so that frames to it name that run.
    fn learn(&self, frame: &Frame) {
        let mut links = self.links();
        if let Some(link) = links.find(&frame.from) {
            link.incarnation = link.incarnation.max(frame.incarnation);
        }
    }

    /// Tells a peer which run of ours it should speak to. A VM that just joined is told too, before
    /// the platform's list shows it.
    fn answer_greeting(&self, frame: &Frame) {
        let mut links = self.links();
        let Some(link) = links.guest(&frame.from, frame.addr) else {
            return;
        };
        link.incarnation = link.incarnation.max(frame.incarnation);
        let due = link.greeted.is_none_or(|t| t.elapsed() >= GREET_EVERY);
        if due {
            self.greet(link, &frame.from);
        }
    }

    fn greet(&self, link: &mut Link, to: &VmId) {
        link.greeted = Some(Instant::now());
        let _ = self.put(link, to, FrameKind::Hello, &[]);
    }

    fn put(&self, link: &Link, to: &VmId, kind: FrameKind, body: &[u8]) -> Result<(), SendError> {
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
            .write(&frame, body)
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

    /// Logs the 1st, 2nd, 4th and so on refusal of a kind, so that a hostile peer cannot fill the log.
    fn log_refusal(&self, why: RejectReason) {
        let n = self.counters.refused(why);
        if n.is_power_of_two() && why != RejectReason::Stale {
            log::warn!("event=mesh-refused reason={why} count={n}");
        }
    }

    fn links(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
