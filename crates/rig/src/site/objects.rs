//! The objects of the platform's store, with their history.

use std::collections::BTreeMap;

use serde_json::Value;
use serde_json::json;

/// The most objects or events in one answer.
const PAGE: usize = 500;

/// A change, as a watch shows it.
struct Change {
    revision: u64,
    kind: String,
    object: Value,
    deleted: bool,
}

/// The objects of the platform's store, with their history.
#[derive(Default)]
pub(super) struct Objects {
    revision: u64,
    live: BTreeMap<(String, String), Value>,
    history: Vec<Change>,
    /// Changes up to here are forgotten.
    forgotten: u64,
}

impl Objects {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn get(&self, kind: &str, name: &str) -> Option<&Value> {
        self.live.get(&(kind.to_owned(), name.to_owned()))
    }

    /// Creates or replaces an object.
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
        self.note(kind, object.clone(), false);
        object
    }

    /// Removes an object; `false` if there is none.
    pub(super) fn delete(&mut self, kind: &str, name: &str) -> bool {
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = self.live.remove(&key) else {
            return false;
        };
        self.revision += 1;
        self.note(kind, object, true);
        true
    }

    /// Forgets all history.
    pub(super) fn forget(&mut self) {
        self.forgotten = self.revision;
        self.history.clear();
    }

    /// A page of a kind's objects after a name.
    pub(super) fn list(&self, kind: &str, after: &str) -> Value {
        let of_kind = self
            .live
            .iter()
            .filter(|((k, n), _)| k == kind && n.as_str() > after);
        let items: Vec<&Value> = of_kind.map(|(_, o)| o).take(PAGE + 1).collect();
        let has_more = items.len() > PAGE;
        let items = &items[..items.len().min(PAGE)];
        json!({ "items": items, "has_more": has_more, "at": self.revision })
    }

    /// The changes of a kind after a revision: `None` if none, an error if they are forgotten.
    pub(super) fn changes(&self, kind: &str, after: u64) -> Result<Option<Value>, ()> {
        if after < self.forgotten {
            return Err(());
        }
        let new = self
            .history
            .iter()
            .filter(|c| c.revision > after && c.kind == kind);
        let new: Vec<&Change> = new.take(PAGE).collect();
        let Some(last) = new.last() else {
            return Ok(None);
        };
        let event = |c: &&Change| json!({ "object": c.object, "deleted": c.deleted });
        let events: Vec<Value> = new.iter().map(event).collect();
        Ok(Some(json!({ "events": events, "at": last.revision })))
    }

    fn note(&mut self, kind: &str, object: Value, deleted: bool) {
        self.history.push(Change {
            revision: self.revision,
            kind: kind.to_owned(),
            object,
            deleted,
        });
    }
}
