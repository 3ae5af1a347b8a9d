//! Reads a patch file and checks the rules that do not depend on the fleet.

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use gs_conf::Change;
use gs_conf::ConfigProblem;
use gs_conf::Patch;
use gs_types::prelude::*;
use serde::de::DeserializeOwned;

use crate::input;

/// Reads a patch file.
pub(super) fn read(path: &Path) -> Result<Patch> {
    parse(path, "read patch")
}

/// Checks a patch file, against a configuration if one is given, and returns the warnings.
pub(super) fn check(path: &Path, config: Option<&PathBuf>) -> Result<Vec<String>> {
    let patch = read(path)?;
    let config = match config {
        Some(path) => parse(path, "read configuration")?,
        None => minimal_config(&patch)?,
    };
    let (_, warnings) = gs_conf::check_patch(&config, &patch, None)?;
    let describe = |w: ConfigProblem| format!("{}: {}; {}", w.place, w.text, w.hint);
    Ok(warnings.into_iter().map(describe).collect())
}

fn parse<T: DeserializeOwned>(path: &Path, step: &str) -> Result<T> {
    let text = input::read_text(path, step)?;
    serde_json::from_str(&text).map_err(|e| {
        Error::new(ErrorKind::BadInput, format!("{}: {e}", path.display()))
            .at(step)
            .with_hint("docs/OPERATIONS.md shows the form of a patch")
    })
}

/// Returns the smallest configuration that the patch can apply to: it contains everything that the
/// patch removes or changes, and a team that may change teams. Only the fleet has the real one.
fn minimal_config(patch: &Patch) -> Result<Config> {
    let mut config = Config {
        version: patch.against,
        ..Config::default()
    };
    for change in &patch.changes {
        match change {
            Change::RemoveFront(name) => {
                front_mut(&mut config, name);
            }
            Change::PutLookup { front: name, .. } => {
                front_mut(&mut config, name);
            }
            Change::RemoveLookup {
                front: name,
                lookup,
            } => {
                let lookup = placeholder_lookup(lookup)?;
                front_mut(&mut config, name).lookups.push(lookup);
            }
            Change::RemoveTeam(name) => config.teams.push(placeholder_team(name, false)),
            Change::PutFront(_) | Change::PutTeam(_) => {}
        }
    }
    if patch.changes.iter().any(touches_teams) {
        config
            .teams
            .push(placeholder_team(&"any-admin".parse()?, true));
    }
    Ok(config)
}

fn touches_teams(change: &Change) -> bool {
    matches!(change, Change::PutTeam(_) | Change::RemoveTeam(_))
}

/// Returns the front of this name, added if it is missing.
fn front_mut<'a>(config: &'a mut Config, name: &FrontName) -> &'a mut Front {
    let index = config.fronts.iter().position(|f| f.name == *name);
    let index = index.unwrap_or_else(|| {
        config.fronts.push(Front {
            name: name.clone(),
            lookups: Vec::new(),
        });
        config.fronts.len() - 1
    });
    &mut config.fronts[index]
}

fn placeholder_team(name: &TeamName, admin: bool) -> Team {
    Team {
        name: name.clone(),
        key_sha256: "0".repeat(64),
        fronts: Vec::new(),
        admin,
    }
}

fn placeholder_lookup(name: &LookupName) -> Result<Lookup> {
    Ok(Lookup {
        name: name.clone(),
        group: "any".parse()?,
        scope: Scope::Scatter,
        promise: Promise::Urgent,
        deadline: Duration::from_secs(1),
        page: 1,
        enough_at: None,
    })
}
