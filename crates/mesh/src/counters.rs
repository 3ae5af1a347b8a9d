//! Counters of sent, received and rejected messages.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde::Deserialize;
use serde::Serialize;

use crate::frame::RejectReason;

/// Declares the live counters, and the struct of their values with the same fields.
macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// The live counters of a mesh.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: AtomicU64,)*
        }

        /// The values of the counters at one moment, for dumps and metrics.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
        pub struct Counts {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl Counters {
            /// Returns the current values.
            #[must_use]
            pub fn counts(&self) -> Counts {
                Counts {
                    $($name: self.$name.load(Ordering::Relaxed),)*
                }
            }
        }
    };
}

counters! {
    /// Messages accepted by the network library for sending.
    sent,
    /// Bytes of frames accepted by the network library for sending.
    sent_bytes,
    /// Messages dropped because the send queue of the peer was full.
    send_full,
    /// Messages dropped before sending for any other reason.
    send_failed,
    /// Messages received and delivered to the program.
    received,
    /// Bytes of frames received, including rejected ones.
    received_bytes,
    /// Received messages dropped because the inbox of the program was full.
    inbox_full,
    /// Messages that do not have the format of a frame, or are too short for one.
    garbled,
    /// Frames of another protocol version.
    other_version,
    /// Frames authenticated with a wrong secret, or with none.
    bad_secret,
    /// Frames addressed to another VM.
    misdirected,
    /// Frames received before, or sent by an earlier incarnation of their sender.
    replayed,
    /// Frames not addressed to the current incarnation of this process; their sender receives a hello that names it.
    stale,
    /// Frames whose message cannot be decoded.
    undecodable,
}

impl Counters {
    /// Counts a rejected frame.
    pub fn count_rejected(&self, reason: RejectReason) {
        add(self.counter(reason), 1);
    }

    /// Returns the number of frames rejected for one reason.
    #[must_use]
    pub fn rejected(&self, reason: RejectReason) -> u64 {
        self.counter(reason).load(Ordering::Relaxed)
    }

    /// Returns the counter for a reason.
    fn counter(&self, reason: RejectReason) -> &AtomicU64 {
        match reason {
            RejectReason::Garbled => &self.garbled,
            RejectReason::OtherVersion => &self.other_version,
            RejectReason::BadSecret => &self.bad_secret,
            RejectReason::Misdirected => &self.misdirected,
            RejectReason::Replayed => &self.replayed,
            RejectReason::Stale => &self.stale,
            RejectReason::Undecodable => &self.undecodable,
        }
    }
}

/// Adds `n` to a counter.
pub(crate) fn add(c: &AtomicU64, n: u64) {
    c.fetch_add(n, Ordering::Relaxed);
}
