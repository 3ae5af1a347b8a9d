//! The format of a chart file.

use std::collections::BTreeMap;

use gs_types::error::Error;
use gs_types::error::ErrorKind;
use serde::Deserialize;

/// The content of a chart file, before its names are checked.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ChartFile {
    pub(crate) name: String,
    pub(crate) initial: String,
    pub(crate) state: Vec<StateTable>,
}

impl ChartFile {
    /// Parses the text of a chart file; [`Chart::parse`](crate::Chart::parse) checks the rules.
    pub(crate) fn parse(text: &str) -> Result<Self, Error> {
        toml::from_str(text)
            .map_err(|e| Error::new(ErrorKind::BadInput, e.to_string()).at("read chart"))
    }
}

/// The table of one state in a chart file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct StateTable {
    pub(crate) name: String,
    #[serde(default)]
    pub(crate) on: BTreeMap<String, String>,
    #[serde(default)]
    pub(crate) ignore: Vec<String>,
    /// Whether the state is final, which means that it lists no events and that none changes it.
    #[serde(default)]
    pub(crate) last: bool,
}
