//! The evaluation of a patch against the newest known record.

use std::collections::BTreeSet;

use gs_types::prelude::*;

use crate::check::check_patch;
use crate::latest_record::LatestRecord;
use crate::patch::Patch;
use crate::record::Record;
use crate::team::check_team_permissions;

/// The result of evaluating a patch against the newest known record.
#[derive(Debug)]
pub(crate) enum PatchEligibility {
    /// It was accepted and created this version.
    Accepted(ConfVersion),
    /// It is refused permanently.
    Refused(Error),
    /// No permanent outcome can be given.
    Undecided(Error),
    /// It is against a version that this VM does not know yet.
    UnknownVersion,
    /// It may be prepared; with the resulting configuration and the warnings.
    Eligible(Box<Config>, Vec<String>),
}

/// Evaluates a patch against a record and its configuration.
pub(crate) fn evaluate_patch(
    latest: &LatestRecord,
    team: &TeamName,
    patch: &Patch,
    groups: Option<&BTreeSet<GroupName>>,
) -> PatchEligibility {
    let record = &latest.record;
    if let Some(decided) = record.find_decided(&patch.id) {
        if decided.digest != patch.digest() {
            return PatchEligibility::Undecided(id_reused_error(&patch.id));
        }
        let reason = decided.reason.clone().unwrap_or_default();
        return match decided.version {
            Some(v) => PatchEligibility::Accepted(v),
            None => {
                PatchEligibility::Refused(Error::new(ErrorKind::Unavailable, reason).at("settled"))
            }
        };
    }
    if patch.against < record.version {
        return evaluate_outdated_patch(record, patch);
    }
    if patch.against > record.version {
        return PatchEligibility::UnknownVersion;
    }
    let cfg = &latest.config;
    let checked =
        check_team_permissions(cfg, team, patch).and_then(|()| check_patch(cfg, patch, groups));
    let (next, warnings) = match checked {
        Ok(checked) => checked,
        Err(e) => return PatchEligibility::Refused(e),
    };
    let warnings = warnings.iter().map(|w| format!("{}: {}", w.place, w.text));
    PatchEligibility::Eligible(Box::new(next), warnings.collect())
}

/// Evaluates a patch against a version that was replaced.
///
/// If the patch had been accepted, it would have created the version after the one it is against. So
/// the patch that created that version decides, if it is still recorded; a patch that was accepted
/// long ago must not be reported as refused.
fn evaluate_outdated_patch(record: &Record, patch: &Patch) -> PatchEligibility {
    let next = patch.against.next();
    let creator = match next == record.version {
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
    match creator {
        Some(id) if *id != patch.id => PatchEligibility::Refused(
            Error::new(
                ErrorKind::Conflict,
                format!("{text}; patch `{id}` was accepted first"),
            )
            .at("check version")
            .with_hint("read the newest version and send the change against it under a new id"),
        ),
        _ => PatchEligibility::Undecided(
            Error::new(
                ErrorKind::NotFound,
                format!("{text}; the outcome of this patch is no longer recorded"),
            )
            .at("check version")
            .with_hint(format!(
                "read version {next} of the history: it names its patch"
            )),
        ),
    }
}

/// Returns the error for an id that is in use for another patch.
pub(crate) fn id_reused_error(id: &PatchId) -> Error {
    Error::new(
        ErrorKind::Conflict,
        format!("the id `{id}` was used for a patch with other content"),
    )
    .at("check id")
    .with_hint("choose a new id for a new patch")
}
