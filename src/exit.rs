//! The exit codes of the program.

use std::process::ExitCode;

use gs_types::prelude::*;

/// The exit status of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded.
    Done,
    /// A patch was refused, a key was not accepted, or a replay diverged.
    Refused,
    /// The command line or a file is invalid.
    BadInput,
    /// The peer could not be reached or is not ready.
    Unavailable,
    /// A patch was sent, and its outcome is not known.
    Unknown,
}

/// The exit codes as shown in the help of every command.
pub(crate) const EXIT_CODES_HELP: &str = "\
Exit codes:
  0  done
  1  refused: the patch, the key, or a replay that diverges
  2  the command line, the settings or a file does not read
  3  the process or the platform could not be reached
  4  the outcome is not known; sending the same patch again is safe";

impl Exit {
    /// Returns the exit status for an error of this kind.
    pub(crate) fn of(kind: ErrorKind) -> Self {
        match kind {
            ErrorKind::Conflict | ErrorKind::Forbidden => Self::Refused,
            ErrorKind::Unavailable => Self::Unavailable,
            ErrorKind::Unknown => Self::Unknown,
            ErrorKind::BadInput
            | ErrorKind::NotFound
            | ErrorKind::TooMuch
            | ErrorKind::Version
            | ErrorKind::Io => Self::BadInput,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(e: Exit) -> ExitCode {
        ExitCode::from(match e {
            Exit::Done => 0,
            Exit::Refused => 1,
            Exit::BadInput => 2,
            Exit::Unavailable => 3,
            Exit::Unknown => 4,
        })
    }
}
