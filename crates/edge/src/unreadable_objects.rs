//! Logs objects of a directory that cannot be read.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;

use gs_actor::lock;
use gs_types::prelude::*;

/// Maximum length of a name in a log line, in characters.
const NAME_MAX_CHARS: usize = 80;

/// Maximum length of an error in a log line, in characters; it may quote a value of any length.
const ERROR_MAX_CHARS: usize = 300;

/// Logs each unreadable object once, until it is read or gone: lists return it again every time.
#[derive(Default)]
pub struct UnreadableObjects {
    /// The names of those that were logged, as in the log, by kind.
    logged: Mutex<BTreeMap<&'static str, BTreeSet<String>>>,
}

impl UnreadableObjects {
    /// Logs the new ones among the unreadable objects of a complete list, given by their names.
    pub fn on_list<'a>(
        &self,
        kind: &'static str,
        unreadable: impl IntoIterator<Item = (&'a str, &'a Error)>,
    ) {
        let mut logged = lock(&self.logged);
        let known = logged.entry(kind).or_default();
        let mut present = BTreeSet::new();
        for (name, e) in unreadable {
            let name = printable(name, NAME_MAX_CHARS);
            if !known.contains(&name) && !present.contains(&name) {
                log_unreadable(kind, &name, e);
            }
            present.insert(name);
        }
        *known = present;
    }

    /// Logs an object that changed if it became unreadable.
    pub fn on_change(&self, kind: &'static str, name: &str, error: Option<&Error>) {
        let mut logged = lock(&self.logged);
        let known = logged.entry(kind).or_default();
        let name = printable(name, NAME_MAX_CHARS);
        match error {
            None => drop(known.remove(&name)),
            Some(e) => {
                if !known.contains(&name) {
                    log_unreadable(kind, &name, e);
                    known.insert(name);
                }
            }
        }
    }
}

fn log_unreadable(kind: &str, name: &str, e: &Error) {
    let error = printable(&e.to_string(), ERROR_MAX_CHARS);
    log::warn!("event=object-unreadable kind={kind} name={name} error=\"{error}\"");
}

/// Returns the beginning of a text, with its control characters escaped.
fn printable(text: &str, max_chars: usize) -> String {
    let start = text.chars().take(max_chars);
    start.flat_map(char::escape_debug).collect()
}
