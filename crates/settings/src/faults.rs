//! The report of all faults in a settings file, each with its span in the file.

use std::fmt;
use std::ops::Range;

use miette::Diagnostic;
use miette::LabeledSpan;
use miette::NamedSource;
use miette::SourceCode;

/// The kind of a fault, for programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum FaultKind {
    /// The file does not exist.
    NoFile,
    /// The file exists but cannot be read.
    Unreadable,
    /// The file is larger than [`FILE_MAX_BYTES`](crate::FILE_MAX_BYTES).
    TooLarge,
    /// The file contains bytes that are not UTF-8.
    NotUtf8,
    /// The text is not valid TOML.
    Syntax,
    /// The key or section is given twice.
    Duplicate,
    /// The section or key does not exist.
    UnknownKey,
    /// A key without a default is missing.
    Missing,
    /// The value has a TOML type that the key does not accept.
    WrongType,
    /// The value does not parse, such as a duration without its unit.
    BadValue,
    /// The value parses but is too small or too large.
    OutOfRange,
    /// Two keys contradict each other.
    Clash,
}

/// One fault in a settings file, with its span, its reason and a hint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    kind: FaultKind,
    reason: String,
    span: Option<(Range<usize>, String)>,
    hint: String,
    /// Whether the text at the span may be a secret.
    may_be_secret: bool,
}

impl Fault {
    pub(crate) fn new(kind: FaultKind, reason: impl Into<String>, hint: impl Into<String>) -> Self {
        Self {
            kind,
            reason: reason.into(),
            span: None,
            hint: hint.into(),
            may_be_secret: false,
        }
    }

    /// Masks the text at the span in the report.
    #[must_use]
    pub(crate) fn redact(mut self) -> Self {
        self.may_be_secret = true;
        self
    }

    #[must_use]
    pub(crate) fn at(mut self, span: Range<usize>, label: impl Into<String>) -> Self {
        self.span = Some((span, label.into()));
        self
    }

    /// Returns the kind of the fault.
    #[must_use]
    pub fn kind(&self) -> FaultKind {
        self.kind
    }

    /// Returns the byte range that the fault points at; `None` if it concerns the whole file.
    #[must_use]
    pub fn span(&self) -> Option<Range<usize>> {
        self.span.as_ref().map(|s| s.0.clone())
    }

    /// Returns the hint how to fix it.
    #[must_use]
    pub fn hint(&self) -> &str {
        &self.hint
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for Fault {}

impl Diagnostic for Fault {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(format!("settings::{}", self.kind)))
    }

    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(&self.hint))
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let (span, label) = self.span.as_ref()?;
        let span = LabeledSpan::new(Some(label.clone()), span.start, span.len());
        Some(Box::new(std::iter::once(span)))
    }
}

/// The largest number of faults in a report; a malformed file of the largest size has tens of
/// thousands.
const REPORTED_FAULTS_MAX: usize = 50;

/// The faults found in a settings file: at least one, and not more than a report shows.
pub struct Faults {
    source: Box<NamedSource<String>>,
    faults: Vec<Fault>,
    /// The number of faults found, including those beyond the limit of the report.
    found_count: usize,
}

impl Faults {
    pub(crate) fn new(name: &str, text: &str, mut faults: Vec<Fault>) -> Self {
        let mut text = text.to_owned();
        for span in faults
            .iter()
            .filter(|f| f.may_be_secret)
            .filter_map(Fault::span)
        {
            text.replace_range(span.clone(), &"*".repeat(span.len()));
        }
        faults.sort_by_key(|f| f.span().map_or(0, |s| s.start));
        let found_count = faults.len();
        faults.truncate(REPORTED_FAULTS_MAX);
        Self {
            found_count,
            source: Box::new(NamedSource::new(name, text)),
            faults,
        }
    }

    /// Returns the reported faults in the order of their spans.
    #[must_use]
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }
}

impl fmt::Debug for Faults {
    /// Formats the report without the text of the file, which may contain a secret.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Faults")
            .field("name", &self.source.name())
            .field("faults", &self.faults)
            .finish_non_exhaustive()
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let n = self.found_count;
        let s = if n == 1 { "" } else { "s" };
        write!(f, "{}: {n} fault{s} in the settings", self.source.name())?;
        if n > REPORTED_FAULTS_MAX {
            write!(f, ", of which these are the first {REPORTED_FAULTS_MAX}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

impl Diagnostic for Faults {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&*self.source)
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        Some(Box::new(self.faults.iter().map(|f| f as &dyn Diagnostic)))
    }
}
