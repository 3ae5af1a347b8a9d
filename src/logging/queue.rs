//! A log writer that never blocks the process: a thread writes the lines from a bounded queue.
//!
//! Standard output may be a pipe whose reader has stopped. A process that wrote to it directly
//! would then block with all of its requests. Here lines are suppressed and counted instead, and a
//! later line reports the count.

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

/// The most lines in the queue; at 300 bytes a line, about 1 MB.
const LINES_MAX: usize = 4096;

/// The size at which gathered lines are written, in bytes.
const WRITE_BYTES: usize = 64 * 1024;

/// The longest wait for the last lines to be written when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// An element of the queue.
enum Entry {
    Line(Vec<u8>),
    /// A request to signal when everything before it is written.
    Flush(SyncSender<()>),
}

/// A log writer that queues its lines for a thread.
pub(super) struct LogQueue {
    tx: SyncSender<Entry>,
    suppressed: AtomicU64,
}

impl LogQueue {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub(super) fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (tx, rx) = mpsc::sync_channel(LINES_MAX);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_queued(&rx, out))?;
        Ok(Self {
            tx,
            suppressed: AtomicU64::new(0),
        })
    }

    /// Queues a line, or counts it as suppressed if the queue is full.
    fn send(&self, mut line: Vec<u8>) {
        let suppressed = self.suppressed.swap(0, Ordering::Relaxed);
        if suppressed > 0 {
            line.extend_from_slice(format!("event=log-left-out lines={suppressed}\n").as_bytes());
        }
        if let Err(TrySendError::Full(_)) = self.tx.try_send(Entry::Line(line)) {
            self.suppressed.fetch_add(suppressed + 1, Ordering::Relaxed);
        }
    }
}

impl LogWriter for LogQueue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        write_line(&mut line, now, record)?;
        line.push(b'\n');
        self.send(line);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let (done, written) = mpsc::sync_channel(1);
        // A full queue or a stopped reader must not prevent the process from exiting.
        if self.tx.try_send(Entry::Flush(done)).is_ok() {
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

/// Writes the queued lines in batches, so that a burst of lines takes few writes.
fn write_queued(rx: &Receiver<Entry>, mut out: impl Write) {
    let mut buf = Vec::new();
    while let Ok(entry) = rx.recv() {
        let mut flushes = Vec::new();
        let mut next = Some(entry);
        while let Some(entry) = next {
            match entry {
                Entry::Line(line) => buf.extend_from_slice(&line),
                Entry::Flush(done) => flushes.push(done),
            }
            next = if buf.len() < WRITE_BYTES {
                rx.try_recv().ok()
            } else {
                None
            };
        }
        // A failure to write the log cannot be reported anywhere.
        let _ = out.write_all(&buf).and_then(|()| out.flush());
        buf.clear();
        for done in flushes {
            let _ = done.send(());
        }
    }
}
