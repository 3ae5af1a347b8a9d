//! What a team may see.

use gs_conf::DecidedPatch;
use gs_conf::redacted;
use gs_types::prelude::*;

/// The configuration as a team may see it: its own fronts, or everything for an admin team; never
/// the hash of a key.
pub(crate) fn config(cfg: &Config, team: &Team) -> Config {
    let mut shown = redacted(cfg);
    if !team.admin {
        shown.fronts.retain(|f| team.fronts.contains(&f.name));
        shown.teams.retain(|t| t.name == team.name);
    }
    shown
}

/// The settled patches as a team may see them: its own, or all for an admin team.
pub(crate) fn settled(mut all: Vec<DecidedPatch>, team: &Team) -> Vec<DecidedPatch> {
    all.retain(|s| team.admin || s.team == team.name);
    all
}

/// A front that the team may see.
///
/// # Errors
///
/// [`ErrorKind::Forbidden`] if it is another team's, declared or not; [`ErrorKind::NotFound`].
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

/// A lookup of a front.
///
/// # Errors
///
/// [`ErrorKind::NotFound`].
pub(crate) fn lookup<'a>(front: &'a Front, name: &LookupName) -> Result<&'a Lookup> {
    let found = front.lookups.iter().find(|l| l.name == *name);
    let text = || format!("front `{}` declares no lookup `{name}`", front.name);
    found.ok_or_else(|| not_found(text()))
}

/// The error for something that is not there.
pub(crate) fn not_found(text: String) -> Error {
    Error::new(ErrorKind::NotFound, text)
        .at("find")
        .with_hint("GET /admin/v1/config shows what is declared")
}
