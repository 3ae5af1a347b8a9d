//! The envelope of a message: magic, protocol version, header, body and authentication code.
//!
//! ```text
//! "GSMH" | version u16 LE | header (postcard) | body (postcard) | HMAC-SHA256 of all before, 16 bytes
//! ```

use std::net::SocketAddr;

use gs_types::prelude::*;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;

use crate::secret::Secret;

/// The version of the envelope and of the messages in it.
pub const PROTOCOL: u16 = 1;

/// The first bytes of every frame.
const MAGIC: [u8; 4] = *b"GSMH";

/// Bytes before the header.
const PREFIX: usize = MAGIC.len() + size_of::<u16>();

/// Bytes to set aside for a header; a guess that only saves a reallocation.
const HEADER_GUESS: usize = 128;

/// Bytes of the authentication code: SHA-256 cut to half, as RFC 2104 section 5 allows.
const TAG: usize = 16;

/// What a frame carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrameKind {
    /// A message in the body.
    Message,
    /// Nothing but the sender's address and run; sent to a peer that spoke to an earlier run.
    Hello,
}

/// The header of a frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// What it carries.
    pub kind: FrameKind,
    /// The VM that sent it.
    pub from: VmId,
    /// The run of the process that sent it.
    pub incarnation: Incarnation,
    /// Where that VM takes answers, so that it can be greeted before the list shows it.
    pub addr: SocketAddr,
    /// The VM that it is for.
    pub to: VmId,
    /// The run of the process that it is for; 0 while that is not known.
    pub to_incarnation: Incarnation,
    /// Counts the frames of this run of the sender, to whichever VM.
    pub seq: u64,
}

/// Why a frame was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RejectReason {
    /// It is no frame of ours, or cut short.
    Garbled,
    /// It is of a protocol version that this process does not speak.
    OtherVersion,
    /// It was not made with our secret.
    BadSecret,
    /// It is meant for another VM.
    Misdirected,
    /// It was seen before, or an earlier run of its sender made it.
    Replayed,
    /// It is meant for an earlier run of this process, or its sender does not know this run yet.
    Stale,
    /// Its message does not decode.
    Undecodable,
}

/// Writes and reads frames with one secret.
#[derive(Clone, Debug)]
pub struct Codec {
    mac: Hmac<Sha256>,
}

impl Codec {
    /// Readies the codec.
    #[must_use]
    pub fn new(secret: &Secret) -> Self {
        Self {
            mac: Hmac::new(&secret.key().into()),
        }
    }

    /// Writes a frame with an encoded message.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if the header does not encode.
    pub fn write(&self, f: &Frame, body: &[u8]) -> Result<Vec<u8>> {
        let mut buf = Vec::with_capacity(PREFIX + HEADER_GUESS + body.len() + TAG);
        buf.extend_from_slice(&MAGIC);
        buf.extend_from_slice(&PROTOCOL.to_le_bytes());
        let mut buf = postcard::to_extend(f, buf)
            .map_err(|e| Error::new(ErrorKind::BadInput, e.to_string()).at("encode frame"))?;
        buf.extend_from_slice(body);
        let tag = self.mac.clone().chain_update(&buf).finalize().into_bytes();
        buf.extend_from_slice(&tag[..TAG]);
        Ok(buf)
    }

    /// Checks a frame's form, version and authentication code, in this order.
    ///
    /// Gives the header and the encoded message.
    ///
    /// # Errors
    ///
    /// [`RejectReason::Garbled`], [`RejectReason::OtherVersion`] or [`RejectReason::BadSecret`].
    pub fn read<'a>(&self, buf: &'a [u8]) -> Result<(Frame, &'a [u8]), RejectReason> {
        let rest = buf.strip_prefix(&MAGIC).ok_or(RejectReason::Garbled)?;
        let (version, rest) = rest.split_first_chunk::<2>().ok_or(RejectReason::Garbled)?;
        if u16::from_le_bytes(*version) != PROTOCOL {
            return Err(RejectReason::OtherVersion);
        }
        let (inner, tag) = rest
            .split_last_chunk::<TAG>()
            .ok_or(RejectReason::Garbled)?;
        // `verify_truncated_left` compares in constant time, so that a forger learns nothing from
        // how long the refusal takes.
        self.mac
            .clone()
            .chain_update(&buf[..buf.len() - TAG])
            .verify_truncated_left(tag)
            .map_err(|_| RejectReason::BadSecret)?;
        postcard::take_from_bytes(inner).map_err(|_| RejectReason::Garbled)
    }
}
