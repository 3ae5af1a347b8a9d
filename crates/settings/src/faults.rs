//! What is wrong with a settings file: every fault at once, each with its place.

use std::fmt;
use std::ops::Range;

use miette::Diagnostic;
use miette::LabeledSpan;
use miette::NamedSource;
use miette::SourceCode;

/// What sort of fault it is, for programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum FaultKind {
    /// The file does not exist.
    NoFile,
    /// The file exists and cannot be read.
    Unreadable,
    /// The file is larger than any settings file can be.
    TooLarge,
    /// The file holds bytes that are not UTF-8.
    NotUtf8,
    /// The text is not TOML.
    Syntax,
    /// The key stands twice.
    Duplicate,
    /// No such section or key exists.
    UnknownKey,
    /// A key without a default is not there.
    Missing,
    /// The value is of another TOML type than the key wants.
    WrongType,
    /// The value does not read, such as a duration without its unit.
    BadValue,
    /// The value reads and is too small or too large.
    OutOfRange,
    /// Two keys contradict each other.
    Clash,
}

/// One fault: its place, the reason and the hint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    kind: FaultKind,
    reason: String,
    place: Option<(Range<usize>, String)>,
    hint: String,
    /// Whether what stands at the place may be a secret.
    hidden: bool,
}

impl Fault {
    pub(crate) fn new(kind: FaultKind, reason: impl Into<String>, hint: impl Into<String>) -> Self {
        Self {
            kind,
            reason: reason.into(),
            place: None,
            hint: hint.into(),
            hidden: false,
        }
    }

    /// Keeps what stands at the place out of the report.
    #[must_use]
    pub(crate) fn hide(mut self) -> Self {
        self.hidden = true;
        self
    }

    #[must_use]
    pub(crate) fn at(mut self, place: Range<usize>, label: impl Into<String>) -> Self {
        self.place = Some((place, label.into()));
        self
    }

    /// What sort of fault it is.
    #[must_use]
    pub fn kind(&self) -> FaultKind {
        self.kind
    }

    /// The bytes of the file that are at fault; `None` if the file as a whole is.
    #[must_use]
    pub fn span(&self) -> Option<Range<usize>> {
        self.place.as_ref().map(|p| p.0.clone())
    }

    /// How to fix it.
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
        let (place, label) = self.place.as_ref()?;
        let span = LabeledSpan::new(Some(label.clone()), place.start, place.len());
        Some(Box::new(std::iter::once(span)))
    }
}

/// The most faults that a report shows; a broken file of the largest size has tens of thousands.
const SHOWN: usize = 50;

/// Every fault found in a settings file, up to a bound; never empty.
pub struct Faults {
    source: Box<NamedSource<String>>,
    faults: Vec<Fault>,
    found: usize,
}

impl Faults {
    pub(crate) fn new(name: &str, text: &str, mut faults: Vec<Fault>) -> Self {
        let mut text = text.to_owned();
        for place in faults.iter().filter(|f| f.hidden).filter_map(Fault::span) {
            text.replace_range(place.clone(), &"*".repeat(place.len()));
        }
        faults.sort_by_key(|f| f.span().map_or(0, |p| p.start));
        let found = faults.len();
        faults.truncate(SHOWN);
        Self {
            found,
            source: Box::new(NamedSource::new(name, text)),
            faults,
        }
    }

    /// The faults, in the order of their places.
    #[must_use]
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }
}

impl fmt::Debug for Faults {
    /// Leaves the file's text out: a person may have put a secret in it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Faults")
            .field("name", &self.source.name())
            .field("faults", &self.faults)
            .finish_non_exhaustive()
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let n = self.found;
        let s = if n == 1 { "" } else { "s" };
        write!(f, "{}: {n} fault{s} in the settings", self.source.name())?;
        if n > SHOWN {
            write!(f, ", of which these are the first {SHOWN}")?;
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
