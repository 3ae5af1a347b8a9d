//! Writes a trace without ever making the process wait.

use std::io;
use std::io::BufWriter;
use std::io::Write;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use gs_query::Event;
use gs_types::prelude::*;

use crate::frame;
use crate::header::FORMAT;
use crate::header::Header;
use crate::header::MAGIC;
use crate::record::Record;

/// Events that may wait for the writer; more are lost and counted.
const QUEUE: usize = 8192;

/// The size at which a recording stops, as VMs have little memory and no disks.
const LIMIT: Bytes = Bytes(1 << 30);

/// Records the events of one engine.
///
/// A thread writes; the engine's thread only puts a copy of the event into a bounded queue. If the
/// writer falls behind, events are lost rather than the process slowed: the loss shows as a
/// [`Record::Gap`], at which [`crate::Replay`] refuses to go on, so that a trace with a hole is
/// never taken for the whole story.
#[derive(Debug)]
pub struct Recorder {
    tx: SyncSender<Item>,
    writer: JoinHandle<io::Result<Recorded>>,
    start: Instant,
    lost: u64,
}

/// What a finished recording holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Recorded {
    /// Events written.
    pub events: u64,
    /// Events lost.
    pub lost: u64,
    /// Bytes written.
    pub size: Bytes,
}

struct Item {
    /// Events lost just before this one.
    lost: u64,
    /// The event; `None` for a loss at the end.
    event: Option<(Duration, Event)>,
}

impl Recorder {
    /// Writes the header and starts the writer's thread; `now` is the trace's time zero.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if the header cannot be written or the thread not started.
    pub fn start(out: impl Write + Send + 'static, header: &Header, now: Instant) -> Result<Self> {
        let mut out = BufWriter::new(out);
        let written = write_header(&mut out, header).map_err(|e| io_error(&e))?;
        let (tx, rx) = mpsc::sync_channel(QUEUE);
        let sink = Sink {
            out,
            done: Recorded {
                size: Bytes(written),
                ..Recorded::default()
            },
        };
        let writer = thread::Builder::new()
            .name("recorder".to_owned())
            .spawn(move || sink.run(&rx))
            .map_err(|e| io_error(&e))?;
        Ok(Self {
            tx,
            writer,
            start: now,
            lost: 0,
        })
    }

    /// Records that the engine is told `event` at `now`; call it just before the engine's `on`.
    pub fn record(&mut self, now: Instant, event: &Event) {
        let item = Item {
            lost: self.lost,
            event: Some((now.duration_since(self.start), event.clone())),
        };
        match self.tx.try_send(item) {
            Ok(()) => self.lost = 0,
            Err(_) => self.lost += 1,
        }
    }

    /// Waits until all is written and tells what the trace holds.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if a write failed; the trace then ends early and says so when it is read.
    pub fn finish(self) -> Result<Recorded> {
        let Self {
            tx, writer, lost, ..
        } = self;
        if lost > 0 {
            // The writer may have ended on an error, which `join` tells.
            let _ = tx.send(Item { lost, event: None });
        }
        drop(tx);
        match writer.join() {
            Ok(done) => done.map_err(|e| io_error(&e)),
            Err(_) => Err(Error::new(ErrorKind::Io, "the recorder's thread panicked").at("record")),
        }
    }
}

fn io_error(e: &io::Error) -> Error {
    Error::new(ErrorKind::Io, e.to_string()).at("record")
}

fn write_header(out: &mut dyn Write, header: &Header) -> io::Result<u64> {
    out.write_all(&MAGIC)?;
    out.write_all(&FORMAT.to_le_bytes())?;
    let n = frame::write(out, &serde_json::to_vec(header)?)?;
    out.flush()?;
    Ok(MAGIC.len() as u64 + 2 + n)
}

/// The writer's side.
struct Sink<W: Write> {
    out: BufWriter<W>,
    done: Recorded,
}

impl<W: Write> Sink<W> {
    fn run(mut self, rx: &Receiver<Item>) -> io::Result<Recorded> {
        while let Some(item) = self.next(rx)? {
            self.write_item(item)?;
        }
        let events = self.done.events;
        self.write(&Record::End { events })?;
        self.out.flush()?;
        Ok(self.done)
    }

    /// Waits for an item, with all that came before handed to the file: a process that is killed
    /// while it is idle leaves a trace that is whole but for its end mark.
    fn next(&mut self, rx: &Receiver<Item>) -> io::Result<Option<Item>> {
        if let Ok(item) = rx.try_recv() {
            return Ok(Some(item));
        }
        self.out.flush()?;
        Ok(rx.recv().ok())
    }

    fn write_item(&mut self, item: Item) -> io::Result<()> {
        if item.lost > 0 {
            self.gap(item.lost)?;
        }
        let Some((at, event)) = item.event else {
            return Ok(());
        };
        if self.done.size >= LIMIT {
            return self.gap(1);
        }
        self.write(&Record::Event { at, event })?;
        self.done.events += 1;
        Ok(())
    }

    fn gap(&mut self, lost: u64) -> io::Result<()> {
        let first = self.done.lost == 0;
        self.done.lost += lost;
        // No reader goes past the first gap.
        match first {
            true => self.write(&Record::Gap { lost }),
            false => Ok(()),
        }
    }

    fn write(&mut self, record: &Record) -> io::Result<()> {
        let payload = postcard::to_stdvec(record).map_err(io::Error::other)?;
        self.done.size.0 += frame::write(&mut self.out, &payload)?;
        Ok(())
    }
}
