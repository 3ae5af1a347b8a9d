//! What a replay came to, compared with what was stated.

use gs_types::prelude::*;

use crate::expectations::LookupExpectation;
use crate::expectations::OutcomeKind;

/// An outcome in the terms of the stated ones.
pub(crate) struct ObservedOutcome {
    pub(crate) kind: OutcomeKind,
    reason: Option<RefusalReason>,
    retry_after: Option<bool>,
    missing: Vec<String>,
    page: Option<Answer>,
}

/// What differs: the name, what was found and what was stated.
pub(crate) type Difference = (&'static str, String, String);

impl ObservedOutcome {
    /// Takes an outcome apart.
    pub(crate) fn of(outcome: &Outcome) -> Self {
        let (missing, refusal, page) = match outcome {
            Outcome::Answered(a) => (&a.coverage.missing, None, Some(a.clone())),
            Outcome::NotRun(r) | Outcome::Unknown(r) => (&r.missing, Some(r), None),
        };
        let spell = |m: &MissingShard| format!("{} {}", m.shard, m.reason);
        Self {
            kind: OutcomeKind::of(outcome),
            reason: refusal.map(|r| r.reason),
            retry_after: refusal.map(|r| r.retry_after.is_some()),
            missing: missing.iter().map(spell).collect(),
            page,
        }
    }

    /// The first thing that is stated and differs.
    pub(crate) fn compare(&self, e: &LookupExpectation) -> Result<(), Difference> {
        let page = self.page.as_ref();
        let docs = page.map(|p| p.hits.iter().map(|h| h.doc.to_string()).collect());
        same("reason", e.reason.as_ref(), self.reason.as_ref())?;
        same(
            "retry-after",
            e.retry_after.as_ref(),
            self.retry_after.as_ref(),
        )?;
        same("missing", e.missing.as_ref(), Some(&self.missing))?;
        same("docs", e.docs.as_ref(), docs.as_ref())?;
        same("snapshot", e.snapshot.as_ref(), page.map(|p| &p.snapshot))?;
        same(
            "shards",
            e.shards.as_ref(),
            page.map(|p| &p.coverage.shards),
        )?;
        same("whole", e.whole.as_ref(), page.map(|p| &p.coverage.whole))?;
        same(
            "ended-early",
            e.ended_early.as_ref(),
            page.map(|p| &p.ended_early),
        )
    }
}

/// Compares one thing, if it is stated.
fn same<T: PartialEq + std::fmt::Debug>(
    what: &'static str,
    stated: Option<&T>,
    found: Option<&T>,
) -> Result<(), Difference> {
    if stated.is_none() || stated == found {
        return Ok(());
    }
    let spell = |t: Option<&T>| t.map_or_else(|| "nothing".to_owned(), |t| format!("{t:?}"));
    Err((what, spell(found), spell(stated)))
}
