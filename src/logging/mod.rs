//! The log: one line of `key=value` pairs for each event.

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

use self::queue::LogQueue;

/// The module prefixes of this program; other libraries log only warnings and errors.
const OWN_MODULES: [&str; 2] = ["gs_", "gentiansill"];

/// Starts the log on stderr; logging ends when the handle is dropped.
pub(crate) fn start(level: LogLevel) -> Result<LoggerHandle> {
    start_with(level, Logger::log_to_stderr)
}

/// Starts the log on stdout, through a queue so that a stopped reader never blocks the process.
pub(crate) fn start_on_stdout(level: LogLevel) -> Result<LoggerHandle> {
    let failed = |e: io::Error| Error::new(ErrorKind::Io, e.to_string()).at("start log");
    let queue = LogQueue::start(io::stdout()).map_err(failed)?;
    start_with(level, |logger| logger.log_to_writer(Box::new(queue)))
}

/// Starts the log at a level, with the output that `set_output` sets.
fn start_with(level: LogLevel, set_output: impl FnOnce(Logger) -> Logger) -> Result<LoggerHandle> {
    let level = level_filter(level);
    let mut spec = LogSpecification::builder();
    spec.default(level.min(LevelFilter::Warn));
    for module in OWN_MODULES {
        spec.module(module, level);
    }
    set_output(Logger::with(spec.build()))
        .format(write_line)
        .start()
        .map_err(|e| Error::new(ErrorKind::Io, e.to_string()).at("start log"))
}

fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Off => LevelFilter::Off,
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}

/// Writes `time=… level=… event=…`. The free text of a library becomes an event `log`, so that all
/// lines have the same form.
fn write_line(w: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let time = now.format_rfc3339();
    let level = record.level().as_str().to_ascii_lowercase();
    // A line break in a value would start a line without an event.
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
