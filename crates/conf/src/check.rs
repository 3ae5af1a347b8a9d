//! Validation of a configuration, used for patches, files and acknowledgements.

use std::collections::BTreeSet;
use std::time::Duration;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::apply::apply_patch;
use crate::patch::Patch;
use crate::record::DECIDED_PATCHES_MAX;
use crate::record::OBJECT_MAX_BYTES;

/// The shortest deadline that a lookup may declare; no reply can cross a region in less time.
pub const DEADLINE_MIN: Duration = Duration::from_millis(5);
/// The longest deadline that a lookup may declare.
pub const DEADLINE_MAX: Duration = Duration::from_secs(60);
/// The largest page that a lookup may declare, in hits.
pub const PAGE_MAX_HITS: u32 = 1_000;
/// The most fronts in a configuration.
pub const FRONTS_MAX: usize = 500;
/// The most lookups in a front.
pub const LOOKUPS_MAX: usize = 100;
/// The most teams in a configuration.
pub const TEAMS_MAX: usize = 200;
/// The most changes in a patch.
pub const CHANGES_MAX: usize = 100;
/// The largest configuration in the object, in bytes; the remainder is for pending and decided patches.
pub const CONFIG_MAX_BYTES: usize = 700_000;
/// The largest patch in the object, in bytes.
pub const PATCH_MAX_BYTES: usize = 125_000;
/// The longest entry of a decided patch in bytes: four names, a reason and the JSON around them.
const DECIDED_PATCH_MAX_BYTES: usize = 1_200;

// A record larger than the object limit would make every later patch fail.
const _: () = assert!(
    CONFIG_MAX_BYTES + PATCH_MAX_BYTES + DECIDED_PATCHES_MAX * DECIDED_PATCH_MAX_BYTES
        < OBJECT_MAX_BYTES
);

/// The length of a SHA-256 hash in hexadecimal digits.
const SHA256_HEX_LEN: usize = 64;

/// A violated rule with its place and a hint how to fix it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigProblem {
    /// The place, such as `fronts.archive.lookups.quote.deadline`.
    pub place: String,
    /// What is wrong.
    pub text: String,
    /// How to fix it.
    pub hint: String,
}

/// The result of a check.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValidationReport {
    /// Violated rules; the configuration is refused.
    pub errors: Vec<ConfigProblem>,
    /// Valid declarations that look wrong.
    pub warnings: Vec<ConfigProblem>,
}

impl ValidationReport {
    /// Returns the warnings, or the violated rules as one error.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] with the first violated rule and the number of further ones.
    pub fn into_result(self) -> Result<Vec<ConfigProblem>> {
        let Some(first) = self.errors.first() else {
            return Ok(self.warnings);
        };
        let more = match self.errors.len() {
            1 => String::new(),
            n => format!(" (and {} more)", n - 1),
        };
        let text = format!("{}: {}{more}", first.place, first.text);
        Err(Error::new(ErrorKind::BadInput, text)
            .at("check configuration")
            .with_hint(first.hint.clone()))
    }

    fn add_error(&mut self, place: impl Into<String>, text: impl Into<String>, hint: &str) {
        self.errors.push(new_problem(place, text, hint));
    }

    fn add_warning(&mut self, place: impl Into<String>, text: impl Into<String>, hint: &str) {
        self.warnings.push(new_problem(place, text, hint));
    }
}

fn new_problem(place: impl Into<String>, text: impl Into<String>, hint: &str) -> ConfigProblem {
    ConfigProblem {
        place: place.into(),
        text: text.into(),
        hint: hint.into(),
    }
}

/// Checks a complete configuration.
///
/// `groups` are the groups on the platform, if known. A lookup on another group only causes a
/// warning: publishers write groups independently of fronts, so the order in which a front and its
/// group appear must not decide whether a patch is accepted. Until the group exists, the lookup is
/// refused as not run.
#[must_use]
pub fn check_config(cfg: &Config, groups: Option<&BTreeSet<GroupName>>) -> ValidationReport {
    let mut report = ValidationReport::default();
    validate_teams(cfg, &mut report);
    validate_fronts(cfg, groups, &mut report);
    validate_size(cfg, &mut report);
    report
}

/// Checks a patch against the configuration it names, and the configuration that results from it.
///
/// Returns the new configuration and the warnings.
///
/// # Errors
///
/// [`ErrorKind::Conflict`] if the patch is against another version, [`ErrorKind::TooMuch`] if it is
/// too large, [`ErrorKind::BadInput`] if a change does not apply or a rule is violated.
pub fn check_patch(
    cfg: &Config,
    patch: &Patch,
    groups: Option<&BTreeSet<GroupName>>,
) -> Result<(Config, Vec<ConfigProblem>)> {
    if patch.changes.is_empty() {
        let e = Error::new(ErrorKind::BadInput, "changes: the patch is empty");
        return Err(e.at("check patch").with_hint("name at least one change"));
    }
    if patch.changes.len() > CHANGES_MAX {
        let text = format!("changes: {} in one patch", patch.changes.len());
        let hint = format!("send at most {CHANGES_MAX} changes in a patch");
        return Err(Error::new(ErrorKind::TooMuch, text)
            .at("check patch")
            .with_hint(hint));
    }
    if json_len(patch) > PATCH_MAX_BYTES {
        let e = Error::new(ErrorKind::TooMuch, "the patch is too large");
        return Err(e
            .at("check patch")
            .with_hint(format!("keep it under {PATCH_MAX_BYTES} bytes")));
    }
    let next = apply_patch(cfg, patch)?;
    let warnings = check_config(&next, groups).into_result()?;
    Ok((next, warnings))
}

fn validate_teams(cfg: &Config, report: &mut ValidationReport) {
    if cfg.teams.len() > TEAMS_MAX {
        report.add_error(
            "teams",
            format!("{} teams", cfg.teams.len()),
            "remove teams; 200 at most",
        );
    }
    let mut seen = BTreeSet::new();
    for t in &cfg.teams {
        let place = format!("teams.{}", t.name);
        if !seen.insert(&t.name) {
            report.add_error(&place, "declared twice", "keep one of the two");
        }
        validate_key_hash(&place, t, report);
        for f in &t.fronts {
            if !cfg.fronts.iter().any(|x| x.name == *f) {
                report.add_warning(
                    format!("{place}.fronts"),
                    format!("front `{f}` is not declared"),
                    "declare it, or the team may declare it by its own patch",
                );
            }
        }
    }
    // Without an admin team no further change of the teams would be possible.
    if !cfg.teams.is_empty() && !cfg.teams.iter().any(|t| t.admin) {
        report.add_error(
            "teams",
            "no team is an admin team",
            "keep at least one team with `admin`",
        );
    }
}

fn validate_key_hash(place: &str, team: &Team, report: &mut ValidationReport) {
    let key = &team.key_sha256;
    let hex = key
        .bytes()
        .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    if key.len() != SHA256_HEX_LEN || !hex {
        report.add_error(
            format!("{place}.key_sha256"),
            "not a SHA-256 in hexadecimal",
            "give 64 digits of 0-9 and a-f: `printf %s KEY | sha256sum`",
        );
    }
}

fn validate_fronts(
    cfg: &Config,
    groups: Option<&BTreeSet<GroupName>>,
    report: &mut ValidationReport,
) {
    if cfg.fronts.len() > FRONTS_MAX {
        report.add_error(
            "fronts",
            format!("{} fronts", cfg.fronts.len()),
            "remove fronts; 500 at most",
        );
    }
    let mut seen = BTreeSet::new();
    for f in &cfg.fronts {
        let place = format!("fronts.{}", f.name);
        if !seen.insert(&f.name) {
            report.add_error(&place, "declared twice", "keep one of the two");
        }
        validate_front(&place, f, groups, report);
    }
}

fn validate_front(
    place: &str,
    front: &Front,
    groups: Option<&BTreeSet<GroupName>>,
    report: &mut ValidationReport,
) {
    if front.lookups.len() > LOOKUPS_MAX {
        report.add_error(
            place,
            format!("{} lookups", front.lookups.len()),
            "split the front; 100 lookups at most",
        );
    }
    if front.lookups.is_empty() {
        report.add_warning(place, "declares no lookup", "add one with `put-lookup`");
    }
    let mut seen = BTreeSet::new();
    for l in &front.lookups {
        let place = format!("{place}.lookups.{}", l.name);
        if !seen.insert(&l.name) {
            report.add_error(&place, "declared twice", "keep one of the two");
        }
        validate_lookup(&place, l, report);
        if groups.is_some_and(|g| !g.contains(&l.group)) {
            report.add_warning(
                format!("{place}.group"),
                format!("no group `{}` is published", l.group),
                "publish it, or correct the name; until then the lookup is refused as not run",
            );
        }
    }
}

fn validate_lookup(place: &str, l: &Lookup, report: &mut ValidationReport) {
    if !(DEADLINE_MIN..=DEADLINE_MAX).contains(&l.deadline) {
        report.add_error(
            format!("{place}.deadline"),
            format!("{:?} is out of range", l.deadline),
            "choose between 5ms and 60s",
        );
    }
    if !(1..=PAGE_MAX_HITS).contains(&l.page) {
        report.add_error(
            format!("{place}.page"),
            format!("{} is out of range", l.page),
            "choose between 1 and 1000",
        );
    }
    if l.promise == Promise::AtMostOnce && l.scope != Scope::Keyed {
        report.add_error(
            format!("{place}.scope"),
            "an at-most-once lookup reaches one shard only",
            "set `scope` to `keyed`",
        );
    }
    validate_enough_at(place, l, report);
}

fn validate_enough_at(place: &str, l: &Lookup, report: &mut ValidationReport) {
    let Some(enough) = l.enough_at else {
        return;
    };
    let place = format!("{place}.enough_at");
    if l.promise != Promise::Urgent {
        report.add_error(
            &place,
            "only an urgent lookup may end early",
            "remove it, or set `promise` to `urgent`",
        );
    }
    if enough == 0 || enough > l.page {
        report.add_error(
            &place,
            format!("{enough} is out of range"),
            "choose between 1 and the page size",
        );
    }
}

fn validate_size(cfg: &Config, report: &mut ValidationReport) {
    let len = json_len(cfg);
    if len > CONFIG_MAX_BYTES {
        report.add_error(
            "configuration",
            format!("{len} bytes"),
            "remove fronts or lookups; 700000 bytes at most, so that the object stays under 1 MB",
        );
    }
}

fn json_len<T: Serialize>(t: &T) -> usize {
    serde_json::to_vec(t).map_or(usize::MAX, |v| v.len())
}
