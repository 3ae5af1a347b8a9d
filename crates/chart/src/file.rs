//! The form of a chart file.

use std::collections::BTreeMap;

use gs_types::error::Error;
use gs_types::error::ErrorKind;
use serde::Deserialize;

/// A chart as its file spells it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ChartFile {
    pub(crate) name: String,
    pub(crate) initial: String,
    pub(crate) state: Vec<StateFile>,
}

impl ChartFile {
    /// Reads a file's text; its rules are the chart's.
    pub(crate) fn parse(text: &str) -> Result<Self, Error> {
        toml::from_str(text)
            .map_err(|e| Error::new(ErrorKind::BadInput, e.to_string()).at("read chart"))
    }
}

/// One state of a chart file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct StateFile {
    pub(crate) name: String,
    #[serde(default)]
    pub(crate) on: BTreeMap<String, String>,
    #[serde(default)]
    pub(crate) ignore: Vec<String>,
    /// A final state answers every event by staying.
    #[serde(default)]
    pub(crate) last: bool,
}
