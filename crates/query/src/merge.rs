//! Merges parts into one page ordered by rank.

use std::cmp::Ordering;

use gs_types::prelude::*;

use crate::lookup::ActiveLookup;

/// Orders hits by descending score, then by document id.
fn compare_hits(a: &&Hit, b: &&Hit) -> Ordering {
    b.score.cmp(&a.score).then_with(|| a.doc.cmp(&b.doc))
}

/// Returns the answer of a lookup from the parts that have arrived.
pub(crate) fn merge_parts(lk: &ActiveLookup, ended_early: bool) -> Answer {
    let parts = || lk.shards.iter().filter_map(|s| s.part.as_deref());
    let mut hits: Vec<&Hit> = parts().flat_map(|p| &p.hits).collect();
    let page = lk.decl.page as usize;
    if page < hits.len() {
        // Only the page needs to be sorted; the remaining hits are split off in linear time first.
        hits.select_nth_unstable_by(page, compare_hits);
        hits.truncate(page);
    }
    hits.sort_unstable_by(compare_hits);
    Answer {
        snapshot: lk.snapshot.id,
        hits: hits.into_iter().cloned().collect(),
        matched: parts().fold(0, |sum, p| sum.saturating_add(p.matched)),
        coverage: Coverage {
            shards: lk.shards.len() as u32,
            whole: lk.complete_parts,
            missing: lk.missing_shards(ended_early),
        },
        ended_early,
        extra_attempts: lk.extra_attempts,
    }
}
