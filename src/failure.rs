//! The errors of commands: their report on stderr, their JSON and their exit code.

use std::fmt;
use std::io::IsTerminal;

use gs_settings::Faults;
use gs_types::prelude::*;
use miette::Diagnostic;
use miette::GraphicalReportHandler;
use miette::GraphicalTheme;

use crate::exit::Exit;

/// The width of a report, in columns.
const REPORT_COLUMNS: usize = 100;

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// A step of the command failed.
    Step(Error),
    /// The settings file has faults.
    Settings(Faults),
}

impl Failure {
    /// Returns the exit status of the command.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::Step(e) => Exit::of(e.kind()),
            Self::Settings(_) => Exit::BadInput,
        }
    }

    /// Returns the report for a person, coloured only on a terminal.
    pub(crate) fn render_report(&self) -> String {
        let theme = match std::io::stderr().is_terminal() {
            true => GraphicalTheme::unicode(),
            false => GraphicalTheme::unicode_nocolor(),
        };
        let mut s = String::new();
        let handler = GraphicalReportHandler::new_themed(theme).with_width(REPORT_COLUMNS);
        match handler.render_report(&mut s, self.diagnostic()) {
            Ok(()) => s,
            Err(_) => format!("{self}\n"),
        }
    }

    /// Returns the error for a program, in the form of the administration API.
    pub(crate) fn to_json(&self) -> serde_json::Value {
        match self {
            Self::Step(e) => serde_json::json!({
                "kind": e.kind(),
                "error": e.to_string(),
                "step": e.step(),
                "peer": e.peer(),
                "hint": e.hint(),
            }),
            Self::Settings(f) => serde_json::json!({
                "kind": ErrorKind::BadInput,
                "error": f.to_string(),
                "step": "read settings",
                "faults": f.faults().iter().map(fault_json).collect::<Vec<_>>(),
            }),
        }
    }

    fn diagnostic(&self) -> &dyn Diagnostic {
        match self {
            Self::Step(_) => self,
            Self::Settings(f) => f,
        }
    }
}

fn fault_json(f: &gs_settings::Fault) -> serde_json::Value {
    serde_json::json!({
        "kind": f.kind().to_string(),
        "error": f.to_string(),
        "place": f.span().map(|p| [p.start, p.end]),
        "hint": f.hint(),
    })
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Step(e) => e.fmt(f),
            Self::Settings(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for Failure {}

impl Diagnostic for Failure {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        match self {
            Self::Step(e) => e.hint().map(|h| Box::new(h) as Box<dyn fmt::Display>),
            Self::Settings(_) => None,
        }
    }
}

impl From<Error> for Failure {
    fn from(e: Error) -> Self {
        Self::Step(e)
    }
}

impl From<Faults> for Failure {
    fn from(f: Faults) -> Self {
        Self::Settings(f)
    }
}
