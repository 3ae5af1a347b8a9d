//! Length-prefixed, checksummed frames: `length: u32 LE`, `crc32 of the payload: u32 LE`, payload.

use std::io;
use std::io::Read;
use std::io::Write;

use gs_types::prelude::*;

/// The largest payload in bytes; what claims to be larger is not a trace.
pub const RECORD_MAX_BYTES: u32 = 4 << 20;

/// Bytes before the payload.
pub(crate) const HEAD: u64 = 8;

/// Writes one frame and tells its length in bytes.
pub(crate) fn write(out: &mut dyn Write, payload: &[u8]) -> io::Result<u64> {
    let len = u32::try_from(payload.len())
        .ok()
        .filter(|n| *n <= RECORD_MAX_BYTES)
        .ok_or_else(|| io::Error::other("the record is too large for a trace"))?;
    out.write_all(&len.to_le_bytes())?;
    out.write_all(&crc32fast::hash(payload).to_le_bytes())?;
    out.write_all(payload)?;
    Ok(HEAD + u64::from(len))
}

/// Where a frame stands, for errors.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    /// Its number, from 0 for the header.
    pub(crate) record: u64,
    /// Its first byte.
    pub(crate) byte: u64,
}

impl Place {
    /// Starts an error at this place.
    pub(crate) fn error(self, text: &str) -> Error {
        let Self { record, byte } = self;
        Error::new(
            ErrorKind::BadInput,
            format!("record {record} at byte {byte}: {text}"),
        )
        .at("read trace")
    }
}

/// Reads one frame into `buf`; `false` at the end of the input.
///
/// Memory grows with the bytes that are really there, not with the length claimed.
pub(crate) fn read(input: &mut dyn Read, buf: &mut Vec<u8>, place: Place) -> Result<bool> {
    let cut = || {
        place
            .error("the trace is cut short here")
            .with_hint("copy it again, or replay its whole records with `--partial`")
    };
    let io = |e: io::Error| {
        let Place { record, byte } = place;
        Error::new(
            ErrorKind::Io,
            format!("record {record} at byte {byte}: {e}"),
        )
        .at("read trace")
    };
    buf.clear();
    input.take(HEAD).read_to_end(buf).map_err(io)?;
    if buf.is_empty() {
        return Ok(false);
    }
    let Ok([l0, l1, l2, l3, c0, c1, c2, c3]) = <[u8; 8]>::try_from(buf.as_slice()) else {
        return Err(cut());
    };
    let len = u32::from_le_bytes([l0, l1, l2, l3]);
    let crc = u32::from_le_bytes([c0, c1, c2, c3]);
    if len > RECORD_MAX_BYTES {
        return Err(place
            .error(&format!(
                "it claims {len} bytes, more than {RECORD_MAX_BYTES}"
            ))
            .with_hint("the trace is corrupt; copy it again"));
    }
    buf.clear();
    input.take(u64::from(len)).read_to_end(buf).map_err(io)?;
    if buf.len() as u64 != u64::from(len) {
        return Err(cut());
    }
    if crc32fast::hash(buf) != crc {
        return Err(place
            .error("its checksum is wrong")
            .with_hint("the trace is corrupt; copy it again"));
    }
    Ok(true)
}
