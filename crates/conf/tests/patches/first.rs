//! Creation of the first configuration.

use gs_conf::Bootstrap;
use gs_conf::CURRENT_PATH;
use gs_conf::authenticate;
use gs_conf::hash_team_key;
use gs_types::prelude::*;

use crate::world::Platform;
use crate::world::World;

fn bootstrap() -> Option<Bootstrap> {
    Some(Bootstrap {
        team: "root".parse().expect("a name"),
        key_sha256: hash_team_key("first-key"),
    })
}

fn versions(w: &World) -> Vec<Option<u64>> {
    let known = |b: &gs_conf::ConfigManager| b.config().map(|c| c.version.0);
    w.vms
        .iter()
        .map(|vm| vm.manager.as_ref().and_then(known))
        .collect()
}

/// Four VMs start at the same time on an empty platform, and the reply to the first write is lost. Only
/// one first version may be created, with the team from the settings.
#[test]
fn vms_that_start_together_create_one_first_configuration() {
    let mut w = World::new(4, 1, Platform::empty(4));
    w.bootstrap = bootstrap();
    w.platform.lost_replies = 1;
    w.start_all();
    w.run(2_000);
    assert_eq!(versions(&w), [Some(1); 4]);
    assert!(
        w.vms
            .iter()
            .all(|vm| vm.manager.as_ref().is_some_and(|m| m.is_ready()))
    );
    let cfg = w.platform.record().config();
    assert!(authenticate(&cfg, "root", "first-key").is_ok());
    assert_eq!(cfg.fronts, []);
}

#[test]
fn without_bootstrap_settings_nothing_is_created() {
    let mut w = World::new(2, 2, Platform::empty(2));
    w.start_all();
    w.run(5_000);
    assert_eq!(versions(&w), [None, None]);
    assert_eq!(w.platform.get(CURRENT_PATH), None);
}

#[test]
fn an_existing_configuration_is_not_replaced() {
    let mut w = World::new(2, 3, Platform::new(2));
    w.bootstrap = bootstrap();
    w.start_all();
    let cfg = w.platform.record().config();
    assert!(authenticate(&cfg, "ops", "key").is_ok());
    assert!(authenticate(&cfg, "root", "first-key").is_err());
}

/// The platform is unreachable when the first VM starts. A missing reply must not be treated as a missing
/// configuration.
#[test]
fn an_outage_is_not_treated_as_a_missing_configuration() {
    let mut w = World::new(1, 4, Platform::new(1));
    w.bootstrap = bootstrap();
    w.platform.down = true;
    w.start_all();
    w.run(5_000);
    assert_eq!(versions(&w), [None]);
    w.platform.down = false;
    w.run(2_000);
    assert_eq!(w.platform.record().version, ConfVersion(1));
    assert_eq!(w.platform.record().teams[0].name.as_str(), "ops");
}

/// The object is removed manually while VMs run. A starting VM creates a first configuration, and the
/// others must not return to that older version.
#[test]
fn a_removed_configuration_does_not_revert_running_vms() {
    let mut w = World::new(2, 5, Platform::new(2));
    w.bootstrap = bootstrap();
    w.start_all();
    let front = Front {
        name: "archive".parse().expect("a name"),
        lookups: Vec::new(),
    };
    let patch = gs_conf::Patch {
        id: "a".parse().expect("a name"),
        against: ConfVersion(1),
        changes: vec![gs_conf::Change::PutFront(front)],
    };
    let call = w.propose(0, patch).expect("runs");
    let _ = w.outcome(call);
    w.platform.prune(CURRENT_PATH);
    w.restart(1);
    w.run(3_000);
    assert_eq!(versions(&w)[0], Some(2));
}
