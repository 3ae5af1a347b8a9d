//! Length-prefixed, checksummed frames: `length: u32 LE`, `crc32 of the payload: u32 LE`, payload.

use std::io;
use std::io::Read;
use std::io::Write;

use gs_types::prelude::*;

/// The largest payload, in bytes; a frame that declares a larger one is corrupt.
pub const RECORD_MAX_BYTES: u32 = 4 << 20;

/// The number of bytes before the payload: its length and its checksum.
pub(crate) const FRAME_HEADER_BYTES: u64 = 8;

/// Writes one frame and returns its length in bytes.
pub(crate) fn write(out: &mut dyn Write, payload: &[u8]) -> io::Result<u64> {
    let len = u32::try_from(payload.len())
        .ok()
        .filter(|n| *n <= RECORD_MAX_BYTES)
        .ok_or_else(|| io::Error::other("the record is too large for a trace"))?;
    out.write_all(&len.to_le_bytes())?;
    out.write_all(&crc32fast::hash(payload).to_le_bytes())?;
    out.write_all(payload)?;
    Ok(FRAME_HEADER_BYTES + u64::from(len))
}

/// The position of a frame in its trace, for error messages.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FramePosition {
    /// The number of the record, from 0 for the header.
    pub(crate) record: u64,
    /// The offset of the frame's first byte.
    pub(crate) byte: u64,
}

impl FramePosition {
    /// Returns an error for the frame at this position.
    pub(crate) fn error(self, text: &str) -> Error {
        let Self { record, byte } = self;
        Error::new(
            ErrorKind::BadInput,
            format!("record {record} at byte {byte}: {text}"),
        )
        .at("read trace")
    }
}

/// Reads one frame into `buf`; returns `false` at the end of the input.
///
/// Memory grows with the bytes that are present, not with the declared length, so that a corrupt
/// length cannot exhaust it.
pub(crate) fn read(
    input: &mut dyn Read,
    buf: &mut Vec<u8>,
    position: FramePosition,
) -> Result<bool> {
    let cut = || {
        position
            .error("the trace is cut short here")
            .with_hint("copy it again, or replay its complete records with `--partial`")
    };
    let io = |e: io::Error| {
        let FramePosition { record, byte } = position;
        Error::new(
            ErrorKind::Io,
            format!("record {record} at byte {byte}: {e}"),
        )
        .at("read trace")
    };
    buf.clear();
    input
        .take(FRAME_HEADER_BYTES)
        .read_to_end(buf)
        .map_err(io)?;
    if buf.is_empty() {
        return Ok(false);
    }
    let Ok([l0, l1, l2, l3, c0, c1, c2, c3]) = <[u8; 8]>::try_from(buf.as_slice()) else {
        return Err(cut());
    };
    let len = u32::from_le_bytes([l0, l1, l2, l3]);
    let crc = u32::from_le_bytes([c0, c1, c2, c3]);
    if len > RECORD_MAX_BYTES {
        return Err(position
            .error(&format!(
                "it declares {len} bytes, more than {RECORD_MAX_BYTES}"
            ))
            .with_hint("the trace is corrupt; copy it again"));
    }
    buf.clear();
    input.take(u64::from(len)).read_to_end(buf).map_err(io)?;
    if buf.len() as u64 != u64::from(len) {
        return Err(cut());
    }
    if crc32fast::hash(buf) != crc {
        return Err(position
            .error("its checksum is wrong")
            .with_hint("the trace is corrupt; copy it again"));
    }
    Ok(true)
}
