//! Reads a trace record by record.

use std::io::Read;

use gs_types::prelude::*;

use crate::frame;
use crate::frame::FramePosition;
use crate::header::FORMAT_VERSION;
use crate::header::Header;
use crate::header::MAGIC;
use crate::header::PREAMBLE_BYTES;
use crate::record::Record;

/// Reads a trace of any length in bounded memory.
///
/// As an iterator it yields each record and at most one error, after which it ends. A trace that
/// was cut short, even between two records, ends with an error.
pub struct Reader<R> {
    input: R,
    header: Header,
    position: FramePosition,
    buf: Vec<u8>,
    events: u64,
    done: bool,
}

impl<R: Read> Reader<R> {
    /// Reads and checks the header.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if the input is not a trace or is corrupt, [`ErrorKind::Version`] if
    /// it has another format version, [`ErrorKind::Io`] if it cannot be read.
    pub fn new(mut input: R) -> Result<Self> {
        read_magic(&mut input)?;
        let position = FramePosition {
            record: 0,
            byte: PREAMBLE_BYTES,
        };
        let mut buf = Vec::new();
        if !frame::read(&mut input, &mut buf, position)? {
            return Err(position.error("the trace is cut short here"));
        }
        let header = serde_json::from_slice(&buf).map_err(|e| {
            position
                .error(&format!("the header cannot be decoded: {e}"))
                .with_hint("replay it with the version that recorded it")
        })?;
        let mut r = Self {
            input,
            header,
            position,
            buf,
            events: 0,
            done: false,
        };
        r.advance();
        Ok(r)
    }

    /// Returns the parameters that the recorded engine was built from.
    #[must_use]
    pub fn header(&self) -> &Header {
        &self.header
    }

    fn advance(&mut self) {
        self.position.record += 1;
        self.position.byte += frame::FRAME_HEADER_BYTES + self.buf.len() as u64;
    }

    fn read_record(&mut self) -> Result<Option<Record>> {
        if !frame::read(&mut self.input, &mut self.buf, self.position)? {
            return Err(self
                .position
                .error("the trace has no end mark; its process was killed or it is cut short")
                .with_hint("replay the records that it holds with `--partial`"));
        }
        let record = postcard::from_bytes(&self.buf).map_err(|e| {
            self.position
                .error(&format!("the record cannot be decoded: {e}"))
        })?;
        match &record {
            Record::Event { .. } => self.events += 1,
            Record::Acted { .. } | Record::Gap { .. } => {}
            Record::End { events } => self.check_end(*events)?,
        }
        self.advance();
        Ok(match record {
            Record::End { .. } => None,
            other => Some(other),
        })
    }

    fn check_end(&mut self, events: u64) -> Result<()> {
        let found = self.events;
        if events != found {
            let text = format!("the end mark counts {events} events, but the trace holds {found}");
            return Err(self.position.error(&text));
        }
        let mut byte = [0];
        match self.input.read(&mut byte) {
            Ok(0) => Ok(()),
            Ok(_) => Err(self.position.error("there is data after the end mark")),
            Err(e) => Err(Error::new(ErrorKind::Io, e.to_string()).at("read trace")),
        }
    }
}

impl<R: Read> Iterator for Reader<R> {
    type Item = Result<Record>;

    fn next(&mut self) -> Option<Result<Record>> {
        if self.done {
            return None;
        }
        let next = self.read_record().transpose();
        self.done = !matches!(next, Some(Ok(_)));
        next
    }
}

/// Reads the magic bytes and the format version, and rejects other files and versions.
fn read_magic(input: &mut impl Read) -> Result<()> {
    let mut start = Vec::new();
    input
        .take(PREAMBLE_BYTES)
        .read_to_end(&mut start)
        .map_err(|e| Error::new(ErrorKind::Io, e.to_string()).at("read trace"))?;
    let version = start.strip_prefix(&MAGIC).ok_or_else(|| {
        Error::new(ErrorKind::BadInput, "byte 0: this is not a trace")
            .at("read trace")
            .with_hint("name a file written by `serve --record`, or a script that ends in `.toml`")
    })?;
    match version.try_into().map(u16::from_le_bytes) {
        Ok(FORMAT_VERSION) => Ok(()),
        Ok(other) => Err(Error::new(
            ErrorKind::Version,
            format!("byte 8: the trace is of format {other}, this program reads {FORMAT_VERSION}"),
        )
        .at("read trace")
        .with_hint("replay it with the version that recorded it")),
        Err(_) => Err(
            Error::new(ErrorKind::BadInput, "byte 8: the trace is cut short here").at("read trace"),
        ),
    }
}
