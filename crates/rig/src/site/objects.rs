//! The objects of the platform's store and the history of their changes.

use std::collections::BTreeMap;

use serde_json::Value;
use serde_json::json;

/// The maximum number of objects or events in one answer.
const PAGE_ITEMS_MAX: usize = 500;

/// A change to an object, as returned by a watch.
#[derive(Clone)]
struct Change {
    revision: u64,
    kind: String,
    object: Value,
    deleted: bool,
}

/// A write that a restored store has lost.
#[derive(Clone, Debug, PartialEq)]
pub struct LostWrite {
    /// The object's kind.
    pub kind: String,
    /// Its name within its kind.
    pub name: String,
    /// Its content; `None` if it was removed.
    pub spec: Option<Value>,
}

impl LostWrite {
    fn new((kind, name): &(String, String), spec: Option<Value>) -> Self {
        Self {
            kind: kind.clone(),
            name: name.clone(),
            spec,
        }
    }
}

/// The objects of the platform's store and the history of their changes.
#[derive(Clone, Default)]
pub(super) struct Objects {
    revision: u64,
    live: BTreeMap<(String, String), Value>,
    history: Vec<Change>,
    /// The revision up to which changes were dropped from the history.
    compacted: u64,
}

impl Objects {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn get(&self, kind: &str, name: &str) -> Option<&Value> {
        self.live.get(&(kind.to_owned(), name.to_owned()))
    }

    /// Creates or replaces an object and returns it; an unchanged spec makes no new revision.
    pub(super) fn put(&mut self, kind: &str, name: &str, spec: Value) -> Value {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(old) = self.live.get(&key)
            && old["spec"] == spec
        {
            return old.clone();
        }
        self.revision += 1;
        let object = json!({
            "meta": { "name": name, "revision": self.revision, "finalizers": [], "deleting": false },
            "spec": spec,
            "status": null,
        });
        self.live.insert(key, object.clone());
        self.record_change(kind, object.clone(), false);
        object
    }

    /// Removes an object and returns whether it existed.
    pub(super) fn delete(&mut self, kind: &str, name: &str) -> bool {
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = self.live.remove(&key) else {
            return false;
        };
        self.revision += 1;
        self.record_change(kind, object, true);
        true
    }

    /// Removes all objects of a kind as if they had never been written.
    pub(super) fn forget(&mut self, kind: &str) {
        self.live.retain(|(k, _), _| k != kind);
        self.history.retain(|change| change.kind != kind);
    }

    /// Returns the objects that differ from those of an earlier state, with their specs; `None` for removed objects.
    pub(super) fn written_since(&self, earlier: &Self) -> Vec<LostWrite> {
        let spec = |o: &Value| o["spec"].clone();
        let written = self.live.iter().filter_map(|(key, object)| {
            let before = earlier.live.get(key).map(spec);
            let is_new = before.as_ref() != Some(&object["spec"]);
            is_new.then(|| LostWrite::new(key, Some(spec(object))))
        });
        let removed = earlier
            .live
            .keys()
            .filter(|key| !self.live.contains_key(*key));
        let removed = removed.map(|key| LostWrite::new(key, None));
        written.chain(removed).collect()
    }

    /// Drops the history of all changes.
    pub(super) fn drop_history(&mut self) {
        self.compacted = self.revision;
        self.history.clear();
    }

    /// Returns a page of the objects of a kind whose names follow `after`.
    pub(super) fn list(&self, kind: &str, after: &str) -> Value {
        let of_kind = self
            .live
            .iter()
            .filter(|((k, n), _)| k == kind && n.as_str() > after);
        let items: Vec<&Value> = of_kind.map(|(_, o)| o).take(PAGE_ITEMS_MAX + 1).collect();
        let has_more = items.len() > PAGE_ITEMS_MAX;
        let items = &items[..items.len().min(PAGE_ITEMS_MAX)];
        json!({ "items": items, "has_more": has_more, "at": self.revision })
    }

    /// Returns the changes of a kind after a revision: `None` if there are none, an error if the
    /// history was dropped or does not reach that revision.
    pub(super) fn changes(&self, kind: &str, after: u64) -> Result<Option<Value>, ()> {
        if after < self.compacted || after > self.revision {
            return Err(());
        }
        let new = self
            .history
            .iter()
            .filter(|c| c.revision > after && c.kind == kind);
        let new: Vec<&Change> = new.take(PAGE_ITEMS_MAX).collect();
        let Some(last) = new.last() else {
            return Ok(None);
        };
        let event = |c: &&Change| json!({ "object": c.object, "deleted": c.deleted });
        let events: Vec<Value> = new.iter().map(event).collect();
        Ok(Some(json!({ "events": events, "at": last.revision })))
    }

    fn record_change(&mut self, kind: &str, object: Value, deleted: bool) {
        self.history.push(Change {
            revision: self.revision,
            kind: kind.to_owned(),
            object,
            deleted,
        });
    }
}
