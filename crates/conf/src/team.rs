//! Authentication of teams and the check of what they may change.

use gs_types::prelude::*;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::patch::Change;
use crate::patch::Patch;

/// The text shown in place of the hash of a team's key.
const REDACTED_KEY_HASH: &str = "(not shown)";

/// Returns the SHA-256 of a team's key in hexadecimal, as stored in the configuration.
#[must_use]
pub fn hash_team_key(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

/// Returns the team with this name if the key is correct.
///
/// The hashes are compared in constant time, and an unknown team takes as long as a known one, so
/// that neither the time nor the error reveals whether the name or the key was wrong.
///
/// # Errors
///
/// [`ErrorKind::Forbidden`], the same for an unknown team and a wrong key.
pub fn authenticate<'a>(cfg: &'a Config, team: &str, key: &str) -> Result<&'a Team> {
    let hash = hash_team_key(key);
    let known = cfg.teams.iter().find(|t| t.name.as_str() == team);
    let wanted = known.map_or_else(|| hash_team_key(""), |t| t.key_sha256.clone());
    let same = bool::from(hash.as_bytes().ct_eq(wanted.as_bytes()));
    match known {
        Some(t) if same => Ok(t),
        _ => Err(Error::new(ErrorKind::Forbidden, "no such team and key")
            .at("authenticate")
            .with_hint("send `authorization: Bearer TEAM:KEY` with the key given to the team")),
    }
}

/// Returns the configuration with the hashes of keys redacted.
#[must_use]
pub fn redact_keys(cfg: &Config) -> Config {
    let mut shown = cfg.clone();
    for t in &mut shown.teams {
        t.key_sha256 = REDACTED_KEY_HASH.to_owned();
    }
    shown
}

/// Checks that a team changes only its own fronts, and that only an admin team changes teams.
///
/// # Errors
///
/// [`ErrorKind::Forbidden`] with the position of the first change that the team may not make.
pub fn check_team_permissions(cfg: &Config, team: &TeamName, patch: &Patch) -> Result<()> {
    let Some(t) = cfg.teams.iter().find(|t| t.name == *team) else {
        return Err(Error::new(
            ErrorKind::Forbidden,
            format!("team `{team}` is not declared"),
        )
        .at("check team")
        .with_hint("ask an admin team to declare it"));
    };
    if t.admin {
        return Ok(());
    }
    for (i, change) in patch.changes.iter().enumerate() {
        check_change_permission(t, change).map_err(|e| e.at(format!("changes[{i}]")))?;
    }
    Ok(())
}

fn check_change_permission(team: &Team, change: &Change) -> Result<()> {
    let front = match change {
        Change::PutFront(f) => &f.name,
        Change::RemoveFront(f)
        | Change::PutLookup { front: f, .. }
        | Change::RemoveLookup { front: f, .. } => f,
        Change::PutTeam(_) | Change::RemoveTeam(_) => {
            return Err(Error::new(
                ErrorKind::Forbidden,
                format!("team `{}` may not change teams", team.name),
            )
            .with_hint("ask an admin team"));
        }
    };
    if team.fronts.contains(front) {
        return Ok(());
    }
    Err(Error::new(
        ErrorKind::Forbidden,
        format!("team `{}` may not change front `{front}`", team.name),
    )
    .with_hint("ask an admin team to add the front to the team"))
}
