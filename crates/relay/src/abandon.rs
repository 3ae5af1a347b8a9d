//! Why parts are given up.

use std::fmt;

use smallvec::SmallVec;
use strum::IntoEnumIterator;

/// Why a part was given up.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum AbandonReason {
    /// The request's time was over, or the part had too many attempts.
    UsedUp,
    /// A further attempt would exceed the budget of its service.
    Budget,
    /// No server is left that may run it.
    NoServer,
    /// It may run once only, and may have run.
    Once,
    /// The peer that was to ask for it had no room.
    PeerFull,
    /// Enough others are in.
    Enough,
}

/// How many parts of a request were given up, by reason.
///
/// Displays as `budget:4,no-server:1`, and as nothing without any.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AbandonCounts(SmallVec<[(AbandonReason, usize); 2]>);

impl AbandonCounts {
    /// Counts the reasons of these parts.
    pub(crate) fn of(parts: impl Iterator<Item = AbandonReason> + Clone) -> Self {
        let count = |reason| parts.clone().filter(|r| *r == reason).count();
        let counts = AbandonReason::iter().map(|reason| (reason, count(reason)));
        Self(counts.filter(|(_, n)| *n > 0).collect())
    }
}

impl fmt::Display for AbandonCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, (reason, count)) in self.0.iter().enumerate() {
            let comma = if n > 0 { "," } else { "" };
            write!(f, "{comma}{reason}:{count}")?;
        }
        Ok(())
    }
}
