//! A patch: a list of changes against one numbered version.

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// What an operator asks to change.
///
/// The id is the operator's: a resend with the same id and content is the same patch, is applied at
/// most once and gets the same verdict.
///
/// ```
/// let patch: gs_conf::Patch = serde_json::from_str(
///     r#"{"id": "drop-old-front", "against": 7, "changes": [{"remove-front": "archive"}]}"#,
/// )?;
/// assert_eq!(patch.against.0, 7);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// The operator's id for it.
    pub id: PatchId,
    /// The version that the operator looked at; the patch makes the next one, or is refused.
    pub against: ConfVersion,
    /// The changes, applied in order.
    pub changes: Vec<Change>,
}

/// One change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Declare a front, or replace it whole.
    PutFront(Front),
    /// Remove a front that is declared.
    RemoveFront(FrontName),
    /// Declare a lookup in a front that is declared, or replace it.
    PutLookup {
        /// The front.
        front: FrontName,
        /// The lookup.
        lookup: Lookup,
    },
    /// Remove a lookup that is declared.
    RemoveLookup {
        /// The front.
        front: FrontName,
        /// The lookup.
        lookup: LookupName,
    },
    /// Add a team or replace it; for admin teams.
    PutTeam(Team),
    /// Remove a team; for admin teams.
    RemoveTeam(TeamName),
}

/// What a patch changes for callers: a whole front, or one lookup of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AffectedTarget {
    /// The front.
    pub front: FrontName,
    /// The lookup; `None` for every lookup of the front.
    pub lookup: Option<LookupName>,
}

impl AffectedTarget {
    /// Whether a request for this front and lookup is touched.
    #[must_use]
    pub fn covers(&self, front: &FrontName, lookup: &LookupName) -> bool {
        self.front == *front && self.lookup.as_ref().is_none_or(|l| l == lookup)
    }
}

impl Patch {
    /// A hash of its content, equal for every resend.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let json = serde_json::to_string(self).unwrap_or_default();
        Fingerprint::of(&[&json]).0
    }

    /// What the patch changes for callers; team changes touch no caller.
    #[must_use]
    pub fn touched(&self) -> Vec<AffectedTarget> {
        let mut touched: Vec<_> = self.changes.iter().filter_map(Change::touched).collect();
        touched.sort();
        touched.dedup();
        touched
    }
}

impl Change {
    fn touched(&self) -> Option<AffectedTarget> {
        let (front, lookup) = match self {
            Self::PutFront(f) => (&f.name, None),
            Self::RemoveFront(f) => (f, None),
            Self::PutLookup { front, lookup } => (front, Some(lookup.name.clone())),
            Self::RemoveLookup { front, lookup } => (front, Some(lookup.clone())),
            Self::PutTeam(_) | Self::RemoveTeam(_) => return None,
        };
        Some(AffectedTarget {
            front: front.clone(),
            lookup,
        })
    }
}
