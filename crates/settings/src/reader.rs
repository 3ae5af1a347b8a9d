//! Takes values out of a parsed file and gathers the faults.

use std::ops::Range;
use std::path::Path;
use std::path::PathBuf;

use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use crate::faults::Fault;
use crate::faults::FaultKind;
use crate::keys;
use crate::keys::KEYS;
use crate::keys::Key;
use crate::keys::Presence;
use crate::values::Problem;

/// The Jaro-Winkler similarity from which on a section or key is offered as what was meant.
const SIMILARITY_MIN: f64 = 0.75;

/// The most characters of an unknown name that are compared; no key is longer.
const COMPARED_MAX: usize = 64;

/// Reads values by section and name.
pub(crate) struct Reader<'i> {
    table: DeTable<'i>,
    dir: PathBuf,
    faults: Vec<Fault>,
    /// Sections already reported as missing.
    absent: Vec<&'static str>,
}

impl<'i> Reader<'i> {
    pub(crate) fn new(table: DeTable<'i>, dir: &Path) -> Self {
        Self {
            table,
            dir: dir.to_owned(),
            faults: Vec::new(),
            absent: Vec::new(),
        }
    }

    pub(crate) fn fault(&mut self, f: Fault) {
        self.faults.push(f);
    }

    pub(crate) fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    /// The path with the settings file's directory before it, if it is relative.
    pub(crate) fn resolve(&self, path: &str) -> PathBuf {
        self.dir.join(path)
    }

    /// Where a key's value stands.
    pub(crate) fn place(&self, section: &str, name: &str) -> Option<Range<usize>> {
        self.value(section, name).map(Spanned::span)
    }

    fn value(&self, section: &str, name: &str) -> Option<&Spanned<DeValue<'i>>> {
        let table = self.table.get(section)?.get_ref().as_table()?;
        table.get(name)
    }

    /// Reads one key; `None` without it or with a fault, which is gathered.
    pub(crate) fn take<T>(
        &mut self,
        section: &'static str,
        name: &'static str,
        parse: impl FnOnce(&DeValue<'i>, &Key) -> Result<T, Problem>,
    ) -> Option<T> {
        let key = keys::find(section, name)?;
        let Some(value) = self.value(section, name) else {
            self.report_missing(key);
            return None;
        };
        match parse(value.get_ref(), key) {
            Ok(t) => Some(t),
            Err(p) => {
                let place = value.span();
                self.fault(p.into_fault(key, place));
                None
            }
        }
    }

    /// Gathers the fault of a key that has no default and is not there; a missing section is one
    /// fault, whatever it should have held.
    fn report_missing(&mut self, key: &Key) {
        if key.presence != Presence::Required {
            return;
        }
        let Some(section) = self.table.get(key.section) else {
            if !self.absent.contains(&key.section) {
                self.absent.push(key.section);
                self.fault(missing_section(key.section));
            }
            return;
        };
        if section.get_ref().is_table() {
            let place = section.span();
            self.fault(missing(key).at(place, format!("no `{}` here", key.name)));
        }
    }

    /// Gathers a fault for each section and key that does not exist.
    pub(crate) fn check_names(&mut self) {
        let mut found = Vec::new();
        for (name, value) in &self.table {
            let section = name.get_ref();
            if !keys::sections().contains(&section.as_ref()) {
                found.push(unknown_section(section, name.span()));
                continue;
            }
            let Some(table) = value.get_ref().as_table() else {
                found.push(value_for_section(section, value.span()));
                continue;
            };
            for key in table.keys() {
                if keys::find(section, key.get_ref()).is_none() {
                    found.push(unknown_key(section, key.get_ref(), key.span()));
                }
            }
        }
        self.faults.extend(found);
    }
}

fn missing(key: &Key) -> Fault {
    let (name, section, form) = (key.name, key.section, key.kind.form());
    Fault::new(
        FaultKind::Missing,
        format!("`{key}` is missing and has no default"),
        format!("add `{name} = …` under `[{section}]`: {form}"),
    )
}

fn missing_section(section: &str) -> Fault {
    let wanted = KEYS
        .iter()
        .filter(|k| k.section == section && k.presence == Presence::Required);
    let names: Vec<_> = wanted.map(|k| format!("`{}`", k.name)).collect();
    Fault::new(
        FaultKind::Missing,
        format!("the section `[{section}]` is missing"),
        format!("add it with {}, which have no default", names.join(", ")),
    )
}

fn value_for_section(section: &str, place: Range<usize>) -> Fault {
    Fault::new(
        FaultKind::WrongType,
        format!("`{section}` is a section, not a value"),
        format!("write `[{section}]` on a line of its own and its keys below"),
    )
    .at(place, "a value stands here")
}

fn unknown_section(section: &str, place: Range<usize>) -> Fault {
    let hint = match nearest(section, keys::sections().into_iter()) {
        Some(s) => format!("did you mean `{s}`?"),
        None => format!("the sections are {}", keys::sections().join(", ")),
    };
    Fault::new(
        FaultKind::UnknownKey,
        format!("there is no section `{section:.64}`"),
        hint,
    )
    .at(place, "unknown section")
}

fn unknown_key(section: &str, name: &str, place: Range<usize>) -> Fault {
    let here = || KEYS.iter().filter(|k| k.section == section);
    let elsewhere = KEYS.iter().find(|k| k.name == name);
    let hint = match (nearest(name, here().map(|k| k.name)), elsewhere) {
        (_, Some(k)) => format!("it stands under `[{}]`", k.section),
        (Some(n), None) => format!("did you mean `{n}`?"),
        (None, None) => {
            let names: Vec<_> = here().map(|k| k.name).collect();
            format!("the keys of `[{section}]` are {}", names.join(", "))
        }
    };
    Fault::new(
        FaultKind::UnknownKey,
        format!("there is no key `{name:.64}` in `[{section}]`"),
        hint,
    )
    .at(place, "unknown key")
}

fn nearest(name: &str, known: impl Iterator<Item = &'static str>) -> Option<&'static str> {
    let name: String = name.chars().take(COMPARED_MAX).collect();
    known
        .map(|k| (k, strsim::jaro_winkler(&name, k)))
        .filter(|(_, similarity)| *similarity >= SIMILARITY_MIN)
        .max_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(k, _)| k)
}
