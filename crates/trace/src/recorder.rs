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

use gs_query::Action;
use gs_query::Event;
use gs_types::prelude::*;

use crate::digest::ActionDigest;
use crate::frame;
use crate::header::Header;
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
    writer: JoinHandle<io::Result<RecordingStats>>,
    start: Instant,
    lost: u64,
}

/// What a finished recording holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordingStats {
    /// Events written.
    pub events: u64,
    /// Events and actions lost.
    pub lost: u64,
    /// Bytes written.
    pub size: Bytes,
}

struct Item {
    /// Events and actions lost just before this one.
    lost: u64,
    what: What,
}

enum What {
    Event(Duration, Event),
    Action(Action),
    /// Only a loss, at the end.
    Nothing,
}

impl Recorder {
    /// Writes the header and starts the writer's thread; `now` is the trace's time zero.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if the header cannot be written or the thread not started.
    pub fn start(out: impl Write + Send + 'static, header: &Header, now: Instant) -> Result<Self> {
        let mut out = BufWriter::new(out);
        let written = header.write(&mut out).map_err(|e| io_error(&e))?;
        out.flush().map_err(|e| io_error(&e))?;
        let (tx, rx) = mpsc::sync_channel(QUEUE);
        let sink = Sink {
            out,
            done: RecordingStats {
                size: Bytes(written),
                ..RecordingStats::default()
            },
            did: None,
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
    pub fn record_event(&mut self, now: Instant, event: &Event) {
        let at = now.duration_since(self.start);
        self.put(What::Event(at, event.clone()));
    }

    /// Records that the engine did this about the event recorded last, for an exact replay.
    pub fn record_action(&mut self, action: &Action) {
        self.put(What::Action(action.clone()));
    }

    fn put(&mut self, what: What) {
        let lost = self.lost;
        match self.tx.try_send(Item { lost, what }) {
            Ok(()) => self.lost = 0,
            Err(_) => self.lost += 1,
        }
    }

    /// Waits until all is written and tells what the trace holds.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if a write failed; the trace then ends early and says so when it is read.
    pub fn finish(self) -> Result<RecordingStats> {
        let Self {
            tx, writer, lost, ..
        } = self;
        if lost > 0 {
            // The writer may have ended on an error, which `join` tells.
            let what = What::Nothing;
            let _ = tx.send(Item { lost, what });
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

/// The writer's side.
struct Sink<W: Write> {
    out: BufWriter<W>,
    done: RecordingStats,
    /// What the engine did about the event written last; `None` for nothing.
    did: Option<ActionDigest>,
}

impl<W: Write> Sink<W> {
    fn run(mut self, rx: &Receiver<Item>) -> io::Result<RecordingStats> {
        while let Some(item) = self.next(rx)? {
            self.write_item(item)?;
        }
        self.close_step()?;
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
        match item.what {
            What::Event(..) if self.done.size >= LIMIT => return self.gap(1),
            What::Event(at, event) => {
                self.close_step()?;
                self.write(&Record::Event { at, event })?;
                self.done.events += 1;
            }
            What::Action(action) => self.did.get_or_insert_default().add(&action),
            What::Nothing => {}
        }
        Ok(())
    }

    /// Writes what the engine did about the last event.
    fn close_step(&mut self) -> io::Result<()> {
        match self.did.take() {
            Some(did) => self.write(&Record::Acted {
                digest: did.finish(),
            }),
            None => Ok(()),
        }
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
