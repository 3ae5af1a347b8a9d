//! The frame format of messages: magic, protocol version, header, body and authentication code.
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

/// The version of the frame format and of the messages in frames.
pub const PROTOCOL_VERSION: u16 = 1;

/// The first bytes of every frame.
const MAGIC: [u8; 4] = *b"GSMH";

/// The number of bytes before the header.
const PREFIX_BYTES: usize = MAGIC.len() + size_of::<u16>();

/// The estimated size of a header in bytes, used as buffer capacity to avoid a reallocation.
const HEADER_BYTES_ESTIMATE: usize = 128;

/// The size of the authentication code in bytes: half of SHA-256, a truncation that RFC 2104 section 5 allows.
const TAG_BYTES: usize = 16;

/// The kind of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrameKind {
    /// A message in the body.
    Message,
    /// Only the sender's address and incarnation, without a body; sent to new peers, and to a peer that addressed
    /// another incarnation.
    Hello,
}

/// The header of a frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The kind of the frame.
    pub kind: FrameKind,
    /// The sending VM.
    pub from: VmId,
    /// The incarnation of the sending process.
    pub incarnation: Incarnation,
    /// The address for replies to the sender, so that it gets a hello before it is listed as a peer.
    pub addr: SocketAddr,
    /// The receiving VM.
    pub to: VmId,
    /// The incarnation of the receiving process; 0 while it is unknown.
    pub to_incarnation: Incarnation,
    /// The sequence number among all frames of this incarnation of the sender, to any VM.
    pub seq: u64,
}

/// Why a frame was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RejectReason {
    /// The bytes do not have the format of a frame, or are too short for one.
    Garbled,
    /// The protocol version is not supported.
    OtherVersion,
    /// The authentication code was not made with the secret of this VM.
    BadSecret,
    /// The frame is addressed to another VM.
    Misdirected,
    /// The frame was received before, or was sent by an earlier incarnation of its sender.
    Replayed,
    /// The frame is addressed to an earlier incarnation of this process, or its sender does not know the current one.
    Stale,
    /// The message cannot be decoded.
    Undecodable,
}

/// Encodes and decodes frames, authenticated with a secret.
#[derive(Clone, Debug)]
pub struct Codec {
    mac: Hmac<Sha256>,
}

impl Codec {
    /// Creates a codec for a secret.
    #[must_use]
    pub fn new(secret: &Secret) -> Self {
        Self {
            mac: Hmac::new(&secret.key().into()),
        }
    }

    /// Encodes a frame with an encoded message as its body.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if the header cannot be encoded.
    pub fn encode(&self, f: &Frame, body: &[u8]) -> Result<Vec<u8>> {
        let mut buf =
            Vec::with_capacity(PREFIX_BYTES + HEADER_BYTES_ESTIMATE + body.len() + TAG_BYTES);
        buf.extend_from_slice(&MAGIC);
        buf.extend_from_slice(&PROTOCOL_VERSION.to_le_bytes());
        let mut buf = postcard::to_extend(f, buf)
            .map_err(|e| Error::new(ErrorKind::BadInput, e.to_string()).at("encode frame"))?;
        buf.extend_from_slice(body);
        let tag = self.mac.clone().chain_update(&buf).finalize().into_bytes();
        buf.extend_from_slice(&tag[..TAG_BYTES]);
        Ok(buf)
    }

    /// Decodes a frame and returns its header and the encoded message.
    ///
    /// Checks the format, the version and the authentication code, in this order.
    ///
    /// # Errors
    ///
    /// [`RejectReason::Garbled`], [`RejectReason::OtherVersion`] or [`RejectReason::BadSecret`].
    pub fn decode<'a>(&self, buf: &'a [u8]) -> Result<(Frame, &'a [u8]), RejectReason> {
        let rest = buf.strip_prefix(&MAGIC).ok_or(RejectReason::Garbled)?;
        let (version, rest) = rest.split_first_chunk::<2>().ok_or(RejectReason::Garbled)?;
        if u16::from_le_bytes(*version) != PROTOCOL_VERSION {
            return Err(RejectReason::OtherVersion);
        }
        let (inner, tag) = rest
            .split_last_chunk::<TAG_BYTES>()
            .ok_or(RejectReason::Garbled)?;
        // `verify_truncated_left` compares in constant time, so that an attacker learns nothing from the time it takes.
        self.mac
            .clone()
            .chain_update(&buf[..buf.len() - TAG_BYTES])
            .verify_truncated_left(tag)
            .map_err(|_| RejectReason::BadSecret)?;
        postcard::take_from_bytes(inner).map_err(|_| RejectReason::Garbled)
    }
}
