//! The outcome of a lookup in a replay, compared with the expected one.

use gs_types::prelude::*;

use crate::expectations::LookupExpectation;
use crate::expectations::OutcomeKind;

/// An outcome in the terms of a [`LookupExpectation`].
pub(crate) struct ObservedOutcome {
    pub(crate) kind: OutcomeKind,
    reason: Option<RefusalReason>,
    retry_after: Option<bool>,
    missing: Vec<String>,
    page: Option<Answer>,
}

/// A difference: the name of the value, the observed value and the expected one.
pub(crate) type Difference = (&'static str, String, String);

impl ObservedOutcome {
    /// Extracts the values that can be expected of an outcome.
    pub(crate) fn of(outcome: &Outcome) -> Self {
        let (missing, refusal, page) = match outcome {
            Outcome::Answered(a) => (&a.coverage.missing, None, Some(a.clone())),
            Outcome::NotRun(r) | Outcome::Unknown(r) => (&r.missing, Some(r), None),
        };
        let describe = |m: &MissingShard| format!("{} {}", m.shard, m.reason);
        Self {
            kind: OutcomeKind::of(outcome),
            reason: refusal.map(|r| r.reason),
            retry_after: refusal.map(|r| r.retry_after.is_some()),
            missing: missing.iter().map(describe).collect(),
            page,
        }
    }

    /// Compares every expected value.
    ///
    /// # Errors
    ///
    /// The first value that differs.
    pub(crate) fn compare(&self, e: &LookupExpectation) -> Result<(), Difference> {
        let page = self.page.as_ref();
        let docs = page.map(|p| p.hits.iter().map(|h| h.doc.to_string()).collect());
        compare_value("reason", e.reason.as_ref(), self.reason.as_ref())?;
        compare_value(
            "retry-after",
            e.retry_after.as_ref(),
            self.retry_after.as_ref(),
        )?;
        compare_value("missing", e.missing.as_ref(), Some(&self.missing))?;
        compare_value("docs", e.docs.as_ref(), docs.as_ref())?;
        compare_value("snapshot", e.snapshot.as_ref(), page.map(|p| &p.snapshot))?;
        compare_value(
            "shards",
            e.shards.as_ref(),
            page.map(|p| &p.coverage.shards),
        )?;
        compare_value("whole", e.whole.as_ref(), page.map(|p| &p.coverage.whole))?;
        compare_value(
            "ended-early",
            e.ended_early.as_ref(),
            page.map(|p| &p.ended_early),
        )
    }
}

/// Compares one value, if it is expected.
fn compare_value<T: PartialEq + std::fmt::Debug>(
    what: &'static str,
    expected: Option<&T>,
    observed: Option<&T>,
) -> Result<(), Difference> {
    if expected.is_none() || expected == observed {
        return Ok(());
    }
    let describe = |t: Option<&T>| t.map_or_else(|| "nothing".to_owned(), |t| format!("{t:?}"));
    Err((what, describe(observed), describe(expected)))
}
