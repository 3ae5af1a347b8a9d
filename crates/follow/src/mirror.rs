//! What is known of a kind of objects, and what has changed since a revision.

use std::collections::BTreeMap;

/// The most removed objects that are remembered; a follower that is further behind lists again.
const REMOVED_MAX: usize = 4096;

/// The objects of a kind by name, each with the revision by which it is known as it is.
///
/// An object's revision here is never smaller than the register's own, so whoever knows everything up to a
/// revision is told at least of what changed after it, and of nothing older than that.
#[derive(Clone, Debug)]
pub struct Mirror<T> {
    at: u64,
    /// Changes up to this revision may have been forgotten.
    floor: u64,
    is_listed: bool,
    known: BTreeMap<String, Held<T>>,
    removed: usize,
}

#[derive(Clone, Debug)]
struct Held<T> {
    at: u64,
    /// `None` once it is removed.
    value: Option<T>,
}

impl<T> Default for Mirror<T> {
    fn default() -> Self {
        Self {
            at: 0,
            floor: 0,
            is_listed: false,
            known: BTreeMap::new(),
            removed: 0,
        }
    }
}

impl<T: Clone + PartialEq> Mirror<T> {
    /// The revision up to which everything is known.
    #[must_use]
    pub fn at(&self) -> u64 {
        self.at
    }

    /// Whether a list has been taken in.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Takes in everything that there is at a revision; what is not listed is removed.
    ///
    /// A list of before what is known changes nothing.
    pub fn list(&mut self, at: u64, items: Vec<(String, T)>) {
        if at < self.at {
            return;
        }
        if !self.is_listed {
            // What changed before the first list is not known.
            self.floor = at;
        }
        let mut gone: Vec<String> = self.live().map(|(name, _)| name.clone()).collect();
        gone.retain(|name| !items.iter().any(|(listed, _)| listed == name));
        for name in gone {
            self.set(at, name, None);
        }
        for (name, value) in items {
            self.set(at, name, Some(value));
        }
        self.at = at;
        self.is_listed = true;
        self.forget();
    }

    /// Takes in what changed up to a revision, `None` for what was removed.
    pub fn change(&mut self, at: u64, items: Vec<(String, Option<T>)>) {
        if at < self.at {
            return;
        }
        for (name, value) in items {
            self.set(at, name, value);
        }
        self.at = at;
        self.forget();
    }

    /// Everything that is there.
    pub fn live(&self) -> impl Iterator<Item = (&String, &T)> {
        let live = self.known.iter();
        live.filter_map(|(name, held)| held.value.as_ref().map(|v| (name, v)))
    }

    /// What changed after a revision, `None` for what was removed; `None` in all if that is forgotten.
    #[must_use]
    pub fn since(&self, after: u64) -> Option<Vec<(String, Option<T>)>> {
        if !self.is_listed || after < self.floor {
            return None;
        }
        let changed = self.known.iter().filter(|(_, held)| held.at > after);
        let changed = changed.map(|(name, held)| (name.clone(), held.value.clone()));
        Some(changed.collect())
    }

    fn set(&mut self, at: u64, name: String, value: Option<T>) {
        let before = self.known.get(&name);
        if before.is_some_and(|held| held.value == value) || (before.is_none() && value.is_none()) {
            return;
        }
        let was_removed = before.is_some_and(|held| held.value.is_none());
        self.removed += usize::from(value.is_none());
        self.removed -= usize::from(was_removed);
        self.known.insert(name, Held { at, value });
    }

    /// Forgets the older half of the removed objects once they are too many.
    fn forget(&mut self) {
        if self.removed <= REMOVED_MAX {
            return;
        }
        let removed = self.known.values().filter(|held| held.value.is_none());
        let mut revisions: Vec<u64> = removed.map(|held| held.at).collect();
        revisions.sort_unstable();
        let floor = revisions[revisions.len() / 2];
        self.known
            .retain(|_, held| held.value.is_some() || held.at > floor);
        self.removed = revisions.iter().filter(|at| **at > floor).count();
        self.floor = self.floor.max(floor);
    }
}
