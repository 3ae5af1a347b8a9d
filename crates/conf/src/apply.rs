//! Application of a patch, and the difference between two versions.

use gs_types::prelude::*;

use crate::patch::Change;
use crate::patch::Patch;

/// Returns the next version, with every change applied in order, or with none.
///
/// # Errors
///
/// [`ErrorKind::Conflict`] if the patch is against another version, [`ErrorKind::BadInput`] if it
/// removes or changes what is not declared. The step names the position of the change in the patch.
pub fn apply_patch(cfg: &Config, patch: &Patch) -> Result<Config> {
    if patch.against != cfg.version {
        return Err(outdated_error(cfg, patch));
    }
    let mut next = cfg.clone();
    for (i, change) in patch.changes.iter().enumerate() {
        apply_change(&mut next, change).map_err(|e| e.at(format!("changes[{i}]")))?;
    }
    next.version = cfg.version.next();
    next.patch = Some(patch.id.clone());
    Ok(next)
}

/// Returns the changes that lead from one configuration to another: new fronts are put completely,
/// changed ones by lookup.
#[must_use]
pub fn diff_configs(from: &Config, to: &Config) -> Vec<Change> {
    let mut changes = Vec::new();
    for t in &to.teams {
        if !from.teams.contains(t) {
            changes.push(Change::PutTeam(t.clone()));
        }
    }
    for t in &from.teams {
        if !to.teams.iter().any(|x| x.name == t.name) {
            changes.push(Change::RemoveTeam(t.name.clone()));
        }
    }
    for f in &to.fronts {
        match from.fronts.iter().find(|x| x.name == f.name) {
            Some(old) => diff_front(old, f, &mut changes),
            None => changes.push(Change::PutFront(f.clone())),
        }
    }
    for f in &from.fronts {
        if !to.fronts.iter().any(|x| x.name == f.name) {
            changes.push(Change::RemoveFront(f.name.clone()));
        }
    }
    changes
}

fn diff_front(from: &Front, to: &Front, changes: &mut Vec<Change>) {
    for l in &to.lookups {
        if !from.lookups.contains(l) {
            changes.push(Change::PutLookup {
                front: to.name.clone(),
                lookup: l.clone(),
            });
        }
    }
    for l in &from.lookups {
        if !to.lookups.iter().any(|x| x.name == l.name) {
            changes.push(Change::RemoveLookup {
                front: to.name.clone(),
                lookup: l.name.clone(),
            });
        }
    }
}

fn apply_change(cfg: &mut Config, change: &Change) -> Result<()> {
    match change {
        Change::PutFront(f) => replace_or_push(&mut cfg.fronts, f, |x| x.name == f.name),
        Change::RemoveFront(name) => {
            return remove_matching(&mut cfg.fronts, |x| x.name == *name)
                .map_err(|()| not_declared_error("front", name.as_str()));
        }
        Change::PutLookup { front, lookup } => {
            let f = front_mut(cfg, front)?;
            replace_or_push(&mut f.lookups, lookup, |x| x.name == lookup.name);
        }
        Change::RemoveLookup { front, lookup } => {
            let f = front_mut(cfg, front)?;
            return remove_matching(&mut f.lookups, |x| x.name == *lookup)
                .map_err(|()| not_declared_error("lookup", lookup.as_str()));
        }
        Change::PutTeam(t) => replace_or_push(&mut cfg.teams, t, |x| x.name == t.name),
        Change::RemoveTeam(name) => {
            return remove_matching(&mut cfg.teams, |x| x.name == *name)
                .map_err(|()| not_declared_error("team", name.as_str()));
        }
    }
    Ok(())
}

fn front_mut<'a>(cfg: &'a mut Config, name: &FrontName) -> Result<&'a mut Front> {
    cfg.fronts
        .iter_mut()
        .find(|f| f.name == *name)
        .ok_or_else(|| not_declared_error("front", name.as_str()))
}

fn replace_or_push<T: Clone>(list: &mut Vec<T>, item: &T, same: impl Fn(&T) -> bool) {
    match list.iter_mut().find(|x| same(x)) {
        Some(old) => *old = item.clone(),
        None => list.push(item.clone()),
    }
}

fn remove_matching<T>(list: &mut Vec<T>, same: impl Fn(&T) -> bool) -> Result<(), ()> {
    let at = list.iter().position(same).ok_or(())?;
    list.remove(at);
    Ok(())
}

fn not_declared_error(what: &str, name: &str) -> Error {
    Error::new(
        ErrorKind::BadInput,
        format!("{what} `{name}` is not declared"),
    )
    .with_hint("read the version that the patch is against, and name what it declares")
}

fn outdated_error(cfg: &Config, patch: &Patch) -> Error {
    let by = cfg.patch.as_ref().map_or_else(
        || "the first configuration".to_owned(),
        |p| format!("patch `{p}`"),
    );
    Error::new(
        ErrorKind::Conflict,
        format!(
            "the patch is against version {}, and version {} by {by} is in force",
            patch.against, cfg.version
        ),
    )
    .at("apply patch")
    .with_hint("read the newest version, and send the change against it under a new id")
}
