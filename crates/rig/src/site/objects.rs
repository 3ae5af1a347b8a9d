//! The objects of the platform's store and the history of their changes.

use std::collections::BTreeMap;

use serde_json::Value;
use serde_json::json;

/// The maximum number of objects or events in one answer.
const PAGE_ITEMS_MAX: usize = 500;

/// A change to an object, as returned by a watch.
struct Change {
    revision: u64,
    kind: String,
    object: Value,
    deleted: bool,
}

/// The objects of the platform's store and the history of their changes.
#[derive(Default)]
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

    /// Returns the changes of a kind after a revision: `None` if there are none, an error if the history was dropped.
    pub(super) fn changes(&self, kind: &str, after: u64) -> Result<Option<Value>, ()> {
        if after < self.compacted {
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
