//! The initial configuration of a deployment.

use gs_types::prelude::*;
use sha2::Digest;
use sha2::Sha256;

use super::shape::LookupShape;
use super::shape::Shape;

/// The key of the rig's team of operators; it is valid only for the rig's own processes.
pub const TEAM_KEY: &str = "rig-operators-key-of-no-worth";

/// Returns a configuration with the deployment's front and one team that may change everything.
///
/// # Errors
///
/// If the names do not fit the rules for names.
pub fn config(shape: &Shape) -> Result<Config> {
    let lookups: Result<Vec<Lookup>> = shape.lookups.iter().map(lookup).collect();
    let team = Team {
        name: "operators".parse()?,
        key_sha256: hex::encode(Sha256::digest(TEAM_KEY)),
        fronts: Vec::new(),
        admin: true,
    };
    Ok(Config {
        version: ConfVersion(1),
        patch: None,
        teams: vec![team],
        fronts: vec![Front {
            name: shape.front.parse()?,
            lookups: lookups?,
        }],
    })
}

fn lookup(l: &LookupShape) -> Result<Lookup> {
    Ok(Lookup {
        name: l.name.parse()?,
        group: l.group.parse()?,
        scope: l.scope,
        promise: l.promise,
        deadline: l.deadline,
        page: l.page,
        enough_at: l.enough_at,
    })
}
