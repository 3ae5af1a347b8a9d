//! What a mesh counts.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde::Deserialize;
use serde::Serialize;

use crate::frame::RejectReason;

/// Declares the live counters and their snapshot in one place.
macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// The live counters of a mesh.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: AtomicU64,)*
        }

        /// The counters at one moment, for dumps and metrics.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
        pub struct Counts {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl Counters {
            /// Reads every counter.
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
    /// Messages handed to the network.
    sent,
    /// Bytes of frames handed to the network.
    sent_bytes,
    /// Messages dropped because the peer does not take them.
    send_full,
    /// Messages dropped for any other reason before they left.
    send_failed,
    /// Messages received and handed over.
    received,
    /// Bytes of frames received, refused ones included.
    received_bytes,
    /// Received messages dropped because the program did not take them.
    inbox_full,
    /// Frames that are no frame of ours, or cut short.
    garbled,
    /// Frames of another protocol version.
    other_version,
    /// Frames that a wrong secret, or none, made.
    bad_secret,
    /// Frames meant for another VM.
    misdirected,
    /// Frames seen before, or of an earlier run of their sender.
    replayed,
    /// Frames meant for an earlier run of this process; their sender was told of this one.
    stale,
    /// Frames whose message does not decode.
    undecodable,
}

impl Counters {
    /// Counts one refused frame.
    pub fn refuse(&self, why: RejectReason) {
        add(self.of(why), 1);
    }

    /// How many frames were refused for one reason.
    #[must_use]
    pub fn refused(&self, why: RejectReason) -> u64 {
        self.of(why).load(Ordering::Relaxed)
    }

    fn of(&self, why: RejectReason) -> &AtomicU64 {
        match why {
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

/// Adds to one counter.
pub(crate) fn add(c: &AtomicU64, n: u64) {
    c.fetch_add(n, Ordering::Relaxed);
}
