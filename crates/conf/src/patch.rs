//! Patches: lists of changes against a numbered version.

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// A list of changes that an operator proposes.
///
/// The operator chooses the id: a resend with the same id and content is the same patch, is applied
/// at most once and gets the same outcome.
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
    /// The id chosen by the operator.
    pub id: PatchId,
    /// The version that the patch is based on; the patch creates the next one or is refused.
    pub against: ConfVersion,
    /// The changes, applied in order.
    pub changes: Vec<Change>,
}

/// One change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Declare a front, or replace it completely.
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
    /// Add a team or replace it; admin teams only.
    PutTeam(Team),
    /// Remove a team; admin teams only.
    RemoveTeam(TeamName),
}

/// A front or lookup that a patch changes for callers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AffectedTarget {
    /// The front.
    pub front: FrontName,
    /// The lookup; `None` for every lookup of the front.
    pub lookup: Option<LookupName>,
}

impl AffectedTarget {
    /// Whether a request for this front and lookup is affected.
    #[must_use]
    pub fn covers(&self, front: &FrontName, lookup: &LookupName) -> bool {
        self.front == *front && self.lookup.as_ref().is_none_or(|l| l == lookup)
    }
}

impl Patch {
    /// Returns a hash of its content, which is equal for every resend.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let json = serde_json::to_string(self).unwrap_or_default();
        Fingerprint::of(&[&json]).0
    }

    /// Returns the fronts and lookups that the patch changes; team changes affect no caller.
    #[must_use]
    pub fn affected(&self) -> Vec<AffectedTarget> {
        let mut affected: Vec<_> = self.changes.iter().filter_map(Change::affected).collect();
        affected.sort();
        affected.dedup();
        affected
    }
}

impl Change {
    fn affected(&self) -> Option<AffectedTarget> {
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
