//! Reads values from a parsed settings file and collects the faults.

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
use crate::values::ValueError;

/// The smallest Jaro-Winkler similarity at which a known section or key is suggested.
const SIMILARITY_MIN: f64 = 0.75;

/// The largest number of characters of an unknown name that are compared; no key is longer.
const COMPARED_CHARS_MAX: usize = 64;

/// Reads values by section and key, and collects a fault for each that is missing or invalid.
pub(crate) struct Reader<'i> {
    table: DeTable<'i>,
    dir: PathBuf,
    faults: Vec<Fault>,
    /// The sections already reported as missing.
    missing_sections: Vec<&'static str>,
}

impl<'i> Reader<'i> {
    pub(crate) fn new(table: DeTable<'i>, dir: &Path) -> Self {
        Self {
            table,
            dir: dir.to_owned(),
            faults: Vec::new(),
            missing_sections: Vec::new(),
        }
    }

    pub(crate) fn add_fault(&mut self, f: Fault) {
        self.faults.push(f);
    }

    pub(crate) fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    /// Resolves a relative path against the directory of the settings file.
    pub(crate) fn resolve(&self, path: &str) -> PathBuf {
        self.dir.join(path)
    }

    /// Returns the span of a key's value in the file, if it is given.
    pub(crate) fn span(&self, section: &str, name: &str) -> Option<Range<usize>> {
        self.value(section, name).map(Spanned::span)
    }

    fn value(&self, section: &str, name: &str) -> Option<&Spanned<DeValue<'i>>> {
        let table = self.table.get(section)?.get_ref().as_table()?;
        table.get(name)
    }

    /// Reads one key; returns `None` if it is missing or invalid, and records a fault if it is
    /// invalid or required.
    pub(crate) fn read<T>(
        &mut self,
        section: &'static str,
        name: &'static str,
        parse: impl FnOnce(&DeValue<'i>, &Key) -> Result<T, ValueError>,
    ) -> Option<T> {
        let key = keys::find_key(section, name)?;
        let Some(value) = self.value(section, name) else {
            self.report_missing(key);
            return None;
        };
        match parse(value.get_ref(), key) {
            Ok(t) => Some(t),
            Err(e) => {
                let span = value.span();
                self.add_fault(e.into_fault(key, span));
                None
            }
        }
    }

    /// Records a fault if the missing key is required; a missing section is one fault, however many
    /// required keys it has.
    fn report_missing(&mut self, key: &Key) {
        if key.presence != Presence::Required {
            return;
        }
        let Some(section) = self.table.get(key.section) else {
            if !self.missing_sections.contains(&key.section) {
                self.missing_sections.push(key.section);
                self.add_fault(missing_section(key.section));
            }
            return;
        };
        if section.get_ref().is_table() {
            let span = section.span();
            self.add_fault(missing_key(key).at(span, format!("no `{}` here", key.name)));
        }
    }

    /// Records a fault for each section and key that does not exist.
    pub(crate) fn check_names(&mut self) {
        let mut found = Vec::new();
        for (name, value) in &self.table {
            let section = name.get_ref();
            if !keys::section_names().contains(&section.as_ref()) {
                found.push(unknown_section(section, name.span()));
                continue;
            }
            let Some(table) = value.get_ref().as_table() else {
                found.push(value_for_section(section, value.span()));
                continue;
            };
            for key in table.keys() {
                if keys::find_key(section, key.get_ref()).is_none() {
                    found.push(unknown_key(section, key.get_ref(), key.span()));
                }
            }
        }
        self.faults.extend(found);
    }
}

fn missing_key(key: &Key) -> Fault {
    let (name, section, syntax) = (key.name, key.section, key.kind.syntax());
    Fault::new(
        FaultKind::Missing,
        format!("`{key}` is missing and has no default"),
        format!("add `{name} = …` under `[{section}]`: {syntax}"),
    )
}

fn missing_section(section: &str) -> Fault {
    let required = KEYS
        .iter()
        .filter(|k| k.section == section && k.presence == Presence::Required);
    let names: Vec<_> = required.map(|k| format!("`{}`", k.name)).collect();
    Fault::new(
        FaultKind::Missing,
        format!("the section `[{section}]` is missing"),
        format!("add it with {}, which have no default", names.join(", ")),
    )
}

fn value_for_section(section: &str, span: Range<usize>) -> Fault {
    Fault::new(
        FaultKind::WrongType,
        format!("`{section}` is a section, not a value"),
        format!("write `[{section}]` on a line of its own and its keys below"),
    )
    .at(span, "this is a value")
}

fn unknown_section(section: &str, span: Range<usize>) -> Fault {
    let hint = match most_similar(section, keys::section_names().into_iter()) {
        Some(s) => format!("did you mean `{s}`?"),
        None => format!("the sections are {}", keys::section_names().join(", ")),
    };
    Fault::new(
        FaultKind::UnknownKey,
        format!("there is no section `{section:.64}`"),
        hint,
    )
    .at(span, "unknown section")
}

fn unknown_key(section: &str, name: &str, span: Range<usize>) -> Fault {
    let siblings = || KEYS.iter().filter(|k| k.section == section);
    let elsewhere = KEYS.iter().find(|k| k.name == name);
    let hint = match (most_similar(name, siblings().map(|k| k.name)), elsewhere) {
        (_, Some(k)) => format!("it belongs under `[{}]`", k.section),
        (Some(n), None) => format!("did you mean `{n}`?"),
        (None, None) => {
            let names: Vec<_> = siblings().map(|k| k.name).collect();
            format!("the keys of `[{section}]` are {}", names.join(", "))
        }
    };
    Fault::new(
        FaultKind::UnknownKey,
        format!("there is no key `{name:.64}` in `[{section}]`"),
        hint,
    )
    .at(span, "unknown key")
}

fn most_similar(name: &str, known: impl Iterator<Item = &'static str>) -> Option<&'static str> {
    let name: String = name.chars().take(COMPARED_CHARS_MAX).collect();
    known
        .map(|k| (k, strsim::jaro_winkler(&name, k)))
        .filter(|(_, similarity)| *similarity >= SIMILARITY_MIN)
        .max_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(k, _)| k)
}
