//! What the record held says about a patch.

use std::collections::BTreeSet;

use gs_types::prelude::*;

use crate::check::check_patch;
use crate::held::Held;
use crate::patch::Patch;
use crate::record::Record;
use crate::team::check_scope;

/// What the record held says about a patch.
#[derive(Debug)]
pub(crate) enum Judgement {
    /// It was accepted and made this version.
    Accepted(ConfVersion),
    /// It is refused for ever.
    Refused(Error),
    /// Nothing can be said about it that holds for ever.
    Undecided(Error),
    /// It is against a version that this VM does not know yet.
    Ahead,
    /// It may be prepared.
    Fits(Box<Config>, Vec<String>),
}

/// Judges a patch by a record and the configuration in it.
pub(crate) fn judge(
    held: &Held,
    team: &TeamName,
    patch: &Patch,
    groups: Option<&BTreeSet<GroupName>>,
) -> Judgement {
    let record = &held.record;
    if let Some(settled) = record.find_settled(&patch.id) {
        if settled.digest != patch.digest() {
            return Judgement::Undecided(id_reused(&patch.id));
        }
        let reason = settled.reason.clone().unwrap_or_default();
        return match settled.version {
            Some(v) => Judgement::Accepted(v),
            None => Judgement::Refused(Error::new(ErrorKind::Unavailable, reason).at("settled")),
        };
    }
    if patch.against < record.version {
        return judge_old(record, patch);
    }
    if patch.against > record.version {
        return Judgement::Ahead;
    }
    let cfg = &held.config;
    let checked = check_scope(cfg, team, patch).and_then(|()| check_patch(cfg, patch, groups));
    let (next, warnings) = match checked {
        Ok(checked) => checked,
        Err(e) => return Judgement::Refused(e),
    };
    let warnings = warnings.iter().map(|w| format!("{}: {}", w.place, w.text));
    Judgement::Fits(Box::new(next), warnings.collect())
}

/// Judges a patch against a version that was replaced.
///
/// Had it been accepted, it would have made the version after the one it is against. So the maker
/// of that version decides, if it is still remembered; a patch that was accepted long ago must not
/// be called refused.
fn judge_old(record: &Record, patch: &Patch) -> Judgement {
    let next = patch.against.next();
    let maker = match next == record.version {
        true => record.patch.as_ref(),
        false => record
            .settled
            .iter()
            .find(|s| s.version == Some(next))
            .map(|s| &s.id),
    };
    let text = format!(
        "the patch is against version {}, and version {} is in force",
        patch.against, record.version
    );
    match maker {
        Some(id) if *id != patch.id => Judgement::Refused(
            Error::new(
                ErrorKind::Conflict,
                format!("{text}; patch `{id}` was first"),
            )
            .at("check version")
            .with_hint("read the newest version and send the change against it under a new id"),
        ),
        _ => Judgement::Undecided(
            Error::new(
                ErrorKind::NotFound,
                format!("{text}; the word on this patch is no longer remembered"),
            )
            .at("check version")
            .with_hint(format!(
                "read version {next} of the history: it names its patch"
            )),
        ),
    }
}

/// The error for an id that stands for another patch.
pub(crate) fn id_reused(id: &PatchId) -> Error {
    Error::new(
        ErrorKind::Conflict,
        format!("the id `{id}` was used for a patch with other content"),
    )
    .at("check id")
    .with_hint("choose a new id for a new patch")
}
