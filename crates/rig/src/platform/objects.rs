//! The versioned objects of the platform, and tombstones of deleted ones.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// The number of tombstones above which the history of changes is dropped.
const TOMBSTONES_MAX: usize = 10_000;

/// The versioned objects and the tombstones of deleted ones.
#[derive(Debug, Default)]
pub(super) struct Objects {
    revision: u64,
    compacted: u64,
    live: BTreeMap<String, (u64, Bytes)>,
    deleted: BTreeMap<String, u64>,
}

/// An object that changed, as returned by a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ChangedObject {
    pub(super) path: String,
    pub(super) version: u64,
    pub(super) deleted: bool,
}

impl Objects {
    /// Returns the store's revision, which is that of its last write.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns an object's version and content.
    pub(super) fn get(&self, path: &str) -> Option<(u64, Bytes)> {
        self.live.get(path).cloned()
    }

    /// Writes an object if its version matches and returns the new version; fails with the current one, or 0.
    pub(super) fn put(&mut self, path: &str, if_version: u64, content: Bytes) -> Result<u64, u64> {
        let now = self.live.get(path).map_or(0, |(v, _)| *v);
        if now != if_version {
            return Err(now);
        }
        Ok(self.set(path, content))
    }

    /// Writes an object unconditionally and returns its new version.
    pub(super) fn set(&mut self, path: &str, content: Bytes) -> u64 {
        self.revision += 1;
        self.deleted.remove(path);
        self.live.insert(path.to_owned(), (self.revision, content));
        self.revision
    }

    /// Deletes an object if its version matches: `Ok(false)` if there is none; fails with the current version.
    pub(super) fn delete(&mut self, path: &str, if_version: u64) -> Result<bool, u64> {
        match self.live.get(path) {
            None => Ok(false),
            Some((v, _)) if *v != if_version => Err(*v),
            Some(_) => {
                self.revision += 1;
                self.live.remove(path);
                self.deleted.insert(path.to_owned(), self.revision);
                if self.deleted.len() > TOMBSTONES_MAX {
                    self.drop_history();
                }
                Ok(true)
            }
        }
    }

    /// Returns the paths and versions of the objects under a prefix.
    pub(super) fn list(&self, prefix: &str) -> Vec<(String, u64)> {
        self.live
            .range(prefix.to_owned()..)
            .take_while(|(p, _)| p.starts_with(prefix))
            .map(|(p, (v, _))| (p.clone(), *v))
            .collect()
    }

    /// Returns the changes under a prefix after a revision; `None` if the history no longer covers it.
    pub(super) fn changes_since(&self, prefix: &str, after: u64) -> Option<Vec<ChangedObject>> {
        // A revision above the current one comes from an earlier instance of the store.
        if after < self.compacted || after > self.revision {
            return None;
        }
        let live = self.live.iter().map(|(p, (v, _))| (p, *v, false));
        let deleted = self.deleted.iter().map(|(p, v)| (p, *v, true));
        let changed = live
            .chain(deleted)
            .filter(|(p, v, _)| *v > after && p.starts_with(prefix))
            .map(|(p, version, deleted)| ChangedObject {
                path: p.clone(),
                version,
                deleted,
            });
        Some(changed.collect())
    }

    /// Drops the history of changes; watches from an earlier revision then fail.
    pub(super) fn drop_history(&mut self) {
        self.deleted.clear();
        self.revision += 1;
        self.compacted = self.revision;
    }
}
