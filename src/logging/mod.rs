//! The log: one key=value line an event.

mod queue;

use std::io;
use std::io::Write;

use flexi_logger::DeferredNow;
use flexi_logger::LogSpecification;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use gs_settings::LogLevel;
use gs_types::prelude::*;
use log::LevelFilter;
use log::Record;

use self::queue::Queue;

/// The modules of this program; libraries log warnings and errors only.
const OURS: [&str; 2] = ["gs_", "gentiansill"];

/// Starts the log on stderr; it ends when the handle is dropped.
pub(crate) fn start(level: LogLevel) -> Result<LoggerHandle> {
    start_by(level, Logger::log_to_stderr)
}

/// Starts the log on stdout, behind a queue that never holds the process up.
pub(crate) fn start_on_stdout(level: LogLevel) -> Result<LoggerHandle> {
    let failed = |e: io::Error| Error::new(ErrorKind::Io, e.to_string()).at("start log");
    let queue = Queue::start(io::stdout()).map_err(failed)?;
    start_by(level, |logger| logger.log_to_writer(Box::new(queue)))
}

fn start_by(level: LogLevel, to: impl FnOnce(Logger) -> Logger) -> Result<LoggerHandle> {
    let level = filter(level);
    let mut spec = LogSpecification::builder();
    spec.default(level.min(LevelFilter::Warn));
    for module in OURS {
        spec.module(module, level);
    }
    to(Logger::with(spec.build()))
        .format(write_line)
        .start()
        .map_err(|e| Error::new(ErrorKind::Io, e.to_string()).at("start log"))
}

fn filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Off => LevelFilter::Off,
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}

/// Writes `time=… level=… event=…`; a library's free text becomes an event of its own, so that
/// every line can be read in the same way.
fn write_line(w: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let time = now.format_rfc3339();
    let level = record.level().as_str().to_ascii_lowercase();
    // A line break in a value would begin a line that is no event.
    let text = record.args().to_string().replace('\n', "\\n");
    if text.starts_with("event=") {
        return write!(w, "time={time} level={level} {text}");
    }
    let target = record.target();
    write!(
        w,
        "time={time} level={level} event=log target={target} text={text:?}"
    )
}
