//! Restricts configurations, patches and fronts to what a team may see.

use gs_conf::DecidedPatch;
use gs_conf::redact_keys;
use gs_types::prelude::*;

/// Returns the part of a configuration that a team may see: its own fronts and itself, or everything for an admin team;
/// never the hash of a key.
pub(crate) fn config(cfg: &Config, team: &Team) -> Config {
    let mut shown = redact_keys(cfg);
    if !team.admin {
        shown.fronts.retain(|f| team.fronts.contains(&f.name));
        shown.teams.retain(|t| t.name == team.name);
    }
    shown
}

/// Returns the decided patches that a team may see: its own, or all for an admin team.
pub(crate) fn decided_patches(mut all: Vec<DecidedPatch>, team: &Team) -> Vec<DecidedPatch> {
    all.retain(|p| team.admin || p.team == team.name);
    all
}

/// Returns a front by name, if the team may see it.
///
/// # Errors
///
/// [`ErrorKind::Forbidden`] if it is not the team's own, whether or not it is declared; [`ErrorKind::NotFound`] if it
/// is not declared.
pub(crate) fn front<'a>(cfg: &'a Config, team: &Team, name: &FrontName) -> Result<&'a Front> {
    if !team.admin && !team.fronts.contains(name) {
        let text = format!("team `{}` may not see front `{name}`", team.name);
        return Err(Error::new(ErrorKind::Forbidden, text)
            .at("find front")
            .with_hint("ask an admin team to add the front to the team"));
    }
    let found = cfg.fronts.iter().find(|f| f.name == *name);
    found.ok_or_else(|| not_found(format!("front `{name}` is not declared")))
}

/// Returns a lookup of a front by name.
///
/// # Errors
///
/// [`ErrorKind::NotFound`] if the front does not declare it.
pub(crate) fn lookup<'a>(front: &'a Front, name: &LookupName) -> Result<&'a Lookup> {
    let found = front.lookups.iter().find(|l| l.name == *name);
    let text = || format!("front `{}` declares no lookup `{name}`", front.name);
    found.ok_or_else(|| not_found(text()))
}

/// Returns the error for a front, lookup or version that does not exist.
pub(crate) fn not_found(text: String) -> Error {
    Error::new(ErrorKind::NotFound, text)
        .at("find")
        .with_hint("GET /admin/v1/config shows what is declared")
}
