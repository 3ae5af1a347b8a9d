//! Reads a trace back, record by record.

use std::io::Read;

use gs_types::prelude::*;

use crate::frame;
use crate::frame::Place;
use crate::header::FORMAT_VERSION;
use crate::header::Header;
use crate::header::MAGIC;
use crate::header::START;
use crate::record::Record;

/// Reads a trace of any length in bounded memory.
///
/// As an iterator it gives each record, and an error once, after which it ends. A trace that was
/// cut short, even between two records, ends with an error and not quietly.
pub struct Reader<R> {
    input: R,
    header: Header,
    place: Place,
    buf: Vec<u8>,
    events: u64,
    done: bool,
}

impl<R: Read> Reader<R> {
    /// Reads and checks the header.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if this is no trace or a corrupt one, [`ErrorKind::Version`] if it
    /// is of another format, [`ErrorKind::Io`] if it cannot be read.
    pub fn new(mut input: R) -> Result<Self> {
        read_magic(&mut input)?;
        let place = Place {
            record: 0,
            byte: START,
        };
        let mut buf = Vec::new();
        if !frame::read(&mut input, &mut buf, place)? {
            return Err(place.error("the trace is cut short here"));
        }
        let header = serde_json::from_slice(&buf).map_err(|e| {
            place
                .error(&format!("the header does not read: {e}"))
                .with_hint("replay it with the version that recorded it")
        })?;
        let mut r = Self {
            input,
            header,
            place,
            buf,
            events: 0,
            done: false,
        };
        r.step_over();
        Ok(r)
    }

    /// What the recorded engine was built from.
    #[must_use]
    pub fn header(&self) -> &Header {
        &self.header
    }

    fn step_over(&mut self) {
        self.place.record += 1;
        self.place.byte += frame::HEAD + self.buf.len() as u64;
    }

    fn read(&mut self) -> Result<Option<Record>> {
        if !frame::read(&mut self.input, &mut self.buf, self.place)? {
            return Err(self
                .place
                .error("the trace has no end mark; its process was killed or it is cut short")
                .with_hint("replay what there is with `--partial`"));
        }
        let record = postcard::from_bytes(&self.buf)
            .map_err(|e| self.place.error(&format!("it does not read: {e}")))?;
        match &record {
            Record::Event { .. } => self.events += 1,
            Record::Acted { .. } | Record::Gap { .. } => {}
            Record::End { events } => self.check_end(*events)?,
        }
        self.step_over();
        Ok(match record {
            Record::End { .. } => None,
            other => Some(other),
        })
    }

    fn check_end(&mut self, events: u64) -> Result<()> {
        let found = self.events;
        if events != found {
            let text = format!("it counts {events} events, and {found} stand before it");
            return Err(self.place.error(&text));
        }
        let mut byte = [0];
        match self.input.read(&mut byte) {
            Ok(0) => Ok(()),
            Ok(_) => Err(self.place.error("something stands after the end mark")),
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
        let next = self.read().transpose();
        self.done = !matches!(next, Some(Ok(_)));
        next
    }
}

/// Refuses what does not begin as a trace of this format does.
fn read_magic(input: &mut impl Read) -> Result<()> {
    let mut start = Vec::new();
    input
        .take(START)
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
