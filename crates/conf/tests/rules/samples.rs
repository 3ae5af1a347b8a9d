//! Sample configurations and patches.

use std::time::Duration;

use gs_conf::Change;
use gs_conf::Patch;
use gs_conf::hash_team_key;
use gs_types::prelude::*;

pub fn lookup(name: &str) -> Lookup {
    Lookup {
        name: name.parse().expect("a name"),
        group: "bulletin-desk".parse().expect("a name"),
        scope: Scope::Scatter,
        promise: Promise::Urgent,
        deadline: Duration::from_millis(250),
        page: 20,
        enough_at: None,
    }
}

pub fn front(name: &str, lookups: &[&str]) -> Front {
    Front {
        name: name.parse().expect("a name"),
        lookups: lookups.iter().map(|l| lookup(l)).collect(),
    }
}

pub fn team(name: &str, admin: bool, fronts: &[&str]) -> Team {
    Team {
        name: name.parse().expect("a name"),
        key_sha256: hash_team_key(&format!("key-of-{name}")),
        fronts: fronts.iter().map(|f| f.parse().expect("a name")).collect(),
        admin,
    }
}

/// Returns version 7, with two fronts, an admin team and a team that owns the first front.
pub fn config() -> Config {
    Config {
        version: ConfVersion(7),
        patch: Some("p-7".parse().expect("a name")),
        teams: vec![team("ops", true, &[]), team("quill", false, &["archive"])],
        fronts: vec![
            front("archive", &["quote", "report"]),
            front("statements", &["page"]),
        ],
    }
}

pub fn patch(changes: Vec<Change>) -> Patch {
    Patch {
        id: "p-8".parse().expect("a name"),
        against: ConfVersion(7),
        changes,
    }
}
