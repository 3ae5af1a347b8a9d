//! The known objects of one kind, and what changed since a revision.

use std::collections::BTreeMap;

use gs_types::prelude::*;

/// The largest number of tombstones kept; a follower that is further behind has to list again.
const TOMBSTONES_MAX: usize = 4096;

/// The objects of one kind by name, each with the revision at which its present value became known.
///
/// An object's revision here is never smaller than the register's own. A follower that knows everything up to a
/// revision therefore receives at least what changed after it, and nothing older than that.
#[derive(Clone, Debug)]
pub struct Mirror<T> {
    revision: Revision,
    /// Changes up to this revision may have been forgotten.
    compacted: Revision,
    is_listed: bool,
    entries: BTreeMap<String, Entry<T>>,
    tombstones: usize,
}

#[derive(Clone, Debug)]
struct Entry<T> {
    revision: Revision,
    /// `None` for a tombstone, once the object is removed.
    value: Option<T>,
}

impl<T> Default for Mirror<T> {
    fn default() -> Self {
        Self {
            revision: Revision::default(),
            compacted: Revision::default(),
            is_listed: false,
            entries: BTreeMap::new(),
            tombstones: 0,
        }
    }
}

impl<T: Clone + PartialEq> Mirror<T> {
    /// Returns the revision up to which everything is known.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns whether a list has been applied.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Applies a list of all objects at a revision; objects that are not listed are removed.
    ///
    /// A list that is older than what is known changes nothing; returns whether it was applied.
    pub fn apply_list(&mut self, revision: impl Into<Revision>, items: Vec<(String, T)>) -> bool {
        let revision = revision.into();
        if revision < self.revision {
            return false;
        }
        if !self.is_listed || revision.era != self.revision.era {
            // What changed before the first list of an era is not known.
            self.compacted = revision;
        }
        let mut removed: Vec<String> = self.live().map(|(name, _)| name.clone()).collect();
        removed.retain(|name| !items.iter().any(|(listed, _)| listed == name));
        for name in removed {
            self.set(revision, name, None);
        }
        for (name, value) in items {
            self.set(revision, name, Some(value));
        }
        self.revision = revision;
        self.is_listed = true;
        self.compact();
        true
    }

    /// Applies the changes up to a revision; `None` stands for a removed object.
    ///
    /// Changes that are older than what is known, or of another era than the list, are ignored; returns whether they
    /// were applied.
    pub fn apply_changes(
        &mut self,
        revision: impl Into<Revision>,
        items: Vec<(String, Option<T>)>,
    ) -> bool {
        let revision = revision.into();
        if revision < self.revision || (self.is_listed && revision.era != self.revision.era) {
            return false;
        }
        for (name, value) in items {
            self.set(revision, name, value);
        }
        self.revision = revision;
        self.compact();
        true
    }

    /// Iterates over the objects that are not removed.
    pub fn live(&self) -> impl Iterator<Item = (&String, &T)> {
        let live = self.entries.iter();
        live.filter_map(|(name, entry)| entry.value.as_ref().map(|v| (name, v)))
    }

    /// Returns what changed after a revision, with `None` for removed objects.
    ///
    /// Returns `None` instead of a list if changes after that revision may have been forgotten.
    #[must_use]
    pub fn changes_since(&self, after: impl Into<Revision>) -> Option<Vec<(String, Option<T>)>> {
        let after = after.into();
        if !self.is_listed || after < self.compacted {
            return None;
        }
        let changed = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.revision > after);
        let changed = changed.map(|(name, entry)| (name.clone(), entry.value.clone()));
        Some(changed.collect())
    }

    fn set(&mut self, revision: Revision, name: String, value: Option<T>) {
        let before = self.entries.get(&name);
        if before.is_some_and(|entry| entry.value == value) || (before.is_none() && value.is_none())
        {
            return;
        }
        let was_removed = before.is_some_and(|entry| entry.value.is_none());
        self.tombstones += usize::from(value.is_none());
        self.tombstones -= usize::from(was_removed);
        self.entries.insert(name, Entry { revision, value });
    }

    /// Forgets the older half of the tombstones once there are too many.
    fn compact(&mut self) {
        if self.tombstones <= TOMBSTONES_MAX {
            return;
        }
        let removed = self.entries.values().filter(|entry| entry.value.is_none());
        let mut revisions: Vec<Revision> = removed.map(|entry| entry.revision).collect();
        revisions.sort_unstable();
        let compacted = revisions[revisions.len() / 2];
        self.entries
            .retain(|_, entry| entry.value.is_some() || entry.revision > compacted);
        self.tombstones = revisions
            .iter()
            .filter(|revision| **revision > compacted)
            .count();
        self.compacted = self.compacted.max(compacted);
    }
}
