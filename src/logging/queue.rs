//! A log that never holds the process up: lines wait in a bounded queue for a thread that writes them.
//!
//! Standard output may be a pipe whose reader has stopped. A process that writes to it directly then
//! stands still with all of its requests; here lines are left out, counted, and told of later.

use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::thread;
use std::time::Duration;

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;

use super::write_line;

/// The most lines that wait; at 300 bytes a line, about a megabyte.
const LINES_MAX: usize = 4096;

/// The most bytes that are written at once.
const WRITE_MAX: usize = 64 * 1024;

/// The longest that the end of the process waits for the last lines.
const FLUSH_MAX: Duration = Duration::from_secs(1);

/// What waits in the queue.
enum Entry {
    Line(Vec<u8>),
    /// Answered once everything before it is written.
    Flush(SyncSender<()>),
}

/// Hands lines to a thread of its own.
pub(super) struct Queue {
    tx: SyncSender<Entry>,
    left_out: AtomicU64,
}

impl Queue {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// If no thread can be started.
    pub(super) fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (tx, rx) = mpsc::sync_channel(LINES_MAX);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || run(&rx, out))?;
        Ok(Self {
            tx,
            left_out: AtomicU64::new(0),
        })
    }

    fn send(&self, mut line: Vec<u8>) {
        let left_out = self.left_out.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            line.extend_from_slice(format!("event=log-left-out lines={left_out}\n").as_bytes());
        }
        if let Err(TrySendError::Full(_)) = self.tx.try_send(Entry::Line(line)) {
            self.left_out.fetch_add(left_out + 1, Ordering::Relaxed);
        }
    }
}

impl LogWriter for Queue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        write_line(&mut line, now, record)?;
        line.push(b'\n');
        self.send(line);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let (done, written) = mpsc::sync_channel(1);
        // A full queue or a stuck reader must not keep the process from ending.
        if self.tx.try_send(Entry::Flush(done)).is_ok() {
            let _ = written.recv_timeout(FLUSH_MAX);
        }
        Ok(())
    }
}

/// Writes what has gathered in one piece, so that a burst of lines is a few writes.
fn run(rx: &Receiver<Entry>, mut out: impl Write) {
    let mut buf = Vec::new();
    while let Ok(entry) = rx.recv() {
        let mut flushes = Vec::new();
        let mut next = Some(entry);
        while let Some(entry) = next {
            match entry {
                Entry::Line(line) => buf.extend_from_slice(&line),
                Entry::Flush(done) => flushes.push(done),
            }
            next = if buf.len() < WRITE_MAX {
                rx.try_recv().ok()
            } else {
                None
            };
        }
        // There is nobody to tell that the log itself cannot be written.
        let _ = out.write_all(&buf).and_then(|()| out.flush());
        buf.clear();
        for done in flushes {
            let _ = done.send(());
        }
    }
}
