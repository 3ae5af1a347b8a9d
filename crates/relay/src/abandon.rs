//! Reasons for which parts are abandoned, and their counts.

use std::fmt;

use smallvec::SmallVec;
use strum::IntoEnumIterator;

/// Why a part was abandoned.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum AbandonReason {
    /// The request's final response was due, or the part had too many attempts.
    UsedUp,
    /// A further attempt would exceed the budget of its service.
    Budget,
    /// No server is available for it now: none accepts work, each is in backoff, or as many as the
    /// route allows may have executed it.
    NoServer,
    /// It may be executed only once, and may have been.
    Once,
    /// The peer that it was delegated to had no capacity.
    PeerFull,
    /// The request is in quarantine because it crashes servers.
    Quarantined,
    /// Its request crashed the servers of all parts that were tried, and may crash others.
    CrashesServers,
    /// Enough other parts are complete.
    Enough,
}

/// Number of abandoned parts of a request by reason.
///
/// Displays as `budget:4,no-server:1`, and as an empty string if there are none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AbandonCounts(SmallVec<[(AbandonReason, usize); 2]>);

impl AbandonCounts {
    /// Counts the reasons of the given parts.
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
