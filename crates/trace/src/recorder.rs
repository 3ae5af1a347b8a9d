//! Records a trace without ever blocking the engine's thread.

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

use gs_query::Action;
use gs_query::Event;
use gs_types::prelude::*;

use crate::digest::ActionDigest;
use crate::frame;
use crate::header::Header;
use crate::record::Record;

/// The most events and actions queued for the writer thread; more are dropped and counted.
const QUEUE_ITEMS_MAX: usize = 8192;

/// The size at which recording stops, because VMs have little memory and no disks.
const RECORDING_SIZE_MAX: Bytes = Bytes(1 << 30);

/// Records the events of one engine.
///
/// A separate thread writes; the engine's thread only puts a copy of each event into a bounded
/// queue. If the writer falls behind, events are dropped rather than the process slowed down. The
/// loss is recorded as a [`Record::Gap`], at which [`crate::Replay`] ends with an error, so that an
/// incomplete trace is never mistaken for a complete one.
#[derive(Debug)]
pub struct Recorder {
    tx: SyncSender<Item>,
    writer: JoinHandle<io::Result<RecordingStats>>,
    start: Instant,
    lost: u64,
}

/// The size of a finished recording.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordingStats {
    /// The number of events written.
    pub events: u64,
    /// The number of events and actions lost.
    pub lost: u64,
    /// The number of bytes written.
    pub size: Bytes,
}

/// An element of the queue to the writer thread.
struct Item {
    /// The number of events and actions lost just before this one.
    lost: u64,
    entry: Entry,
}

/// What a queue item carries.
enum Entry {
    Event(Duration, Event),
    Action(Action),
    /// Only the number of lost items, at the end of the recording.
    LossOnly,
}

impl Recorder {
    /// Writes the header and starts the writer thread; `now` is the trace's time zero.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if the header cannot be written or the thread cannot be started.
    pub fn start(out: impl Write + Send + 'static, header: &Header, now: Instant) -> Result<Self> {
        let mut out = BufWriter::new(out);
        let written = header.write(&mut out).map_err(|e| io_error(&e))?;
        out.flush().map_err(|e| io_error(&e))?;
        let (tx, rx) = mpsc::sync_channel(QUEUE_ITEMS_MAX);
        let trace_writer = TraceWriter {
            out,
            stats: RecordingStats {
                size: Bytes(written),
                ..RecordingStats::default()
            },
            digest: None,
        };
        let writer = thread::Builder::new()
            .name("recorder".to_owned())
            .spawn(move || trace_writer.run(&rx))
            .map_err(|e| io_error(&e))?;
        Ok(Self {
            tx,
            writer,
            start: now,
            lost: 0,
        })
    }

    /// Records that the engine processes `event` at `now`; call this just before the engine's `on`.
    pub fn record_event(&mut self, now: Instant, event: &Event) {
        let at = now.duration_since(self.start);
        self.enqueue(Entry::Event(at, event.clone()));
    }

    /// Records an action of the engine for the event recorded last, for an exact replay.
    pub fn record_action(&mut self, action: &Action) {
        self.enqueue(Entry::Action(action.clone()));
    }

    fn enqueue(&mut self, entry: Entry) {
        let lost = self.lost;
        match self.tx.try_send(Item { lost, entry }) {
            Ok(()) => self.lost = 0,
            Err(_) => self.lost += 1,
        }
    }

    /// Waits until everything is written, and returns the size of the trace.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if a write failed; the trace then has no end mark, so reading it ends with
    /// an error.
    pub fn finish(self) -> Result<RecordingStats> {
        let Self {
            tx, writer, lost, ..
        } = self;
        if lost > 0 {
            // Sending fails if the writer ended with an error, which `join` returns below.
            let entry = Entry::LossOnly;
            let _ = tx.send(Item { lost, entry });
        }
        drop(tx);
        match writer.join() {
            Ok(result) => result.map_err(|e| io_error(&e)),
            Err(_) => Err(Error::new(ErrorKind::Io, "the recorder's thread panicked").at("record")),
        }
    }
}

fn io_error(e: &io::Error) -> Error {
    Error::new(ErrorKind::Io, e.to_string()).at("record")
}

/// The writer thread's state.
struct TraceWriter<W: Write> {
    out: BufWriter<W>,
    stats: RecordingStats,
    /// The engine's actions for the event written last; `None` if there are none.
    digest: Option<ActionDigest>,
}

impl<W: Write> TraceWriter<W> {
    fn run(mut self, rx: &Receiver<Item>) -> io::Result<RecordingStats> {
        while let Some(item) = self.next(rx)? {
            self.write_item(item)?;
        }
        self.close_step()?;
        let events = self.stats.events;
        self.write(&Record::End { events })?;
        self.out.flush()?;
        Ok(self.stats)
    }

    /// Returns the next item; flushes the buffer before it waits for one, so that a process killed
    /// while it is idle leaves a trace that lacks only its end mark.
    fn next(&mut self, rx: &Receiver<Item>) -> io::Result<Option<Item>> {
        if let Ok(item) = rx.try_recv() {
            return Ok(Some(item));
        }
        self.out.flush()?;
        Ok(rx.recv().ok())
    }

    fn write_item(&mut self, item: Item) -> io::Result<()> {
        if item.lost > 0 {
            self.write_gap(item.lost)?;
        }
        match item.entry {
            Entry::Event(..) if self.stats.size >= RECORDING_SIZE_MAX => return self.write_gap(1),
            Entry::Event(at, event) => {
                self.close_step()?;
                self.write(&Record::Event { at, event })?;
                self.stats.events += 1;
            }
            Entry::Action(action) => self.digest.get_or_insert_default().add(&action),
            Entry::LossOnly => {}
        }
        Ok(())
    }

    /// Writes the digest of the engine's actions for the last event, if there were any.
    fn close_step(&mut self) -> io::Result<()> {
        match self.digest.take() {
            Some(digest) => self.write(&Record::Acted {
                digest: digest.finish(),
            }),
            None => Ok(()),
        }
    }

    fn write_gap(&mut self, lost: u64) -> io::Result<()> {
        let first = self.stats.lost == 0;
        self.stats.lost += lost;
        // A replay ends at the first gap, so later ones need not be written.
        match first {
            true => self.write(&Record::Gap { lost }),
            false => Ok(()),
        }
    }

    fn write(&mut self, record: &Record) -> io::Result<()> {
        let payload = postcard::to_stdvec(record).map_err(io::Error::other)?;
        self.stats.size.0 += frame::write(&mut self.out, &payload)?;
        Ok(())
    }
}
