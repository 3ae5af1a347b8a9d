//! Objects with versions.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// Tombstones kept before all changes so far are forgotten.
const TOMBSTONES_MAX: usize = 10_000;

/// All objects, and what was deleted.
#[derive(Debug, Default)]
pub(super) struct Objects {
    revision: u64,
    forgotten: u64,
    live: BTreeMap<String, (u64, Bytes)>,
    deleted: BTreeMap<String, u64>,
}

/// An object that changed, as a watch shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Changed {
    pub(super) path: String,
    pub(super) version: u64,
    pub(super) deleted: bool,
}

impl Objects {
    /// The store's revision: that of its last write.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// The object's version and content.
    pub(super) fn get(&self, path: &str) -> Option<(u64, Bytes)> {
        self.live.get(path).cloned()
    }

    /// Writes if the version fits; the current one, or 0, otherwise.
    pub(super) fn put(&mut self, path: &str, if_version: u64, content: Bytes) -> Result<u64, u64> {
        let now = self.live.get(path).map_or(0, |(v, _)| *v);
        if now != if_version {
            return Err(now);
        }
        Ok(self.set(path, content))
    }

    /// Writes whatever the version is.
    pub(super) fn set(&mut self, path: &str, content: Bytes) -> u64 {
        self.revision += 1;
        self.deleted.remove(path);
        self.live.insert(path.to_owned(), (self.revision, content));
        self.revision
    }

    /// Deletes if the version fits: `Ok(false)` if there is none, the current version otherwise.
    pub(super) fn delete(&mut self, path: &str, if_version: u64) -> Result<bool, u64> {
        match self.live.get(path) {
            None => Ok(false),
            Some((v, _)) if *v != if_version => Err(*v),
            Some(_) => {
                self.revision += 1;
                self.live.remove(path);
                self.deleted.insert(path.to_owned(), self.revision);
                if self.deleted.len() > TOMBSTONES_MAX {
                    self.forget();
                }
                Ok(true)
            }
        }
    }

    /// The paths and versions under a prefix.
    pub(super) fn list(&self, prefix: &str) -> Vec<(String, u64)> {
        self.live
            .range(prefix.to_owned()..)
            .take_while(|(p, _)| p.starts_with(prefix))
            .map(|(p, (v, _))| (p.clone(), *v))
            .collect()
    }

    /// What changed under a prefix after a revision; `None` if that is forgotten.
    pub(super) fn changed(&self, prefix: &str, after: u64) -> Option<Vec<Changed>> {
        // A revision from the future is one of a store that was before this one.
        if after < self.forgotten || after > self.revision {
            return None;
        }
        let live = self.live.iter().map(|(p, (v, _))| (p, *v, false));
        let gone = self.deleted.iter().map(|(p, v)| (p, *v, true));
        let changed = live
            .chain(gone)
            .filter(|(p, v, _)| *v > after && p.starts_with(prefix))
            .map(|(p, version, deleted)| Changed {
                path: p.clone(),
                version,
                deleted,
            });
        Some(changed.collect())
    }

    /// Forgets what changed so far; watches from before are told so.
    pub(super) fn forget(&mut self) {
        self.deleted.clear();
        self.revision += 1;
        self.forgotten = self.revision;
    }
}
