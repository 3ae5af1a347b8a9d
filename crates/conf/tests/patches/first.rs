//! The first configuration.

use gs_conf::Bootstrap;
use gs_conf::CURRENT_PATH;
use gs_conf::authenticate;
use gs_conf::hash_key;
use gs_types::prelude::*;

use crate::world::Platform;
use crate::world::World;

fn bootstrap() -> Option<Bootstrap> {
    Some(Bootstrap {
        team: "root".parse().expect("a name"),
        key_sha256: hash_key("first-key"),
    })
}

fn versions(w: &World) -> Vec<Option<u64>> {
    let held = |b: &gs_conf::ConfigManager| b.config().map(|c| c.version.0);
    w.vms
        .iter()
        .map(|vm| vm.book.as_ref().and_then(held))
        .collect()
}

/// Four VMs start at once on an empty platform, and the answer of the write that is first gets lost.
/// There must be one first version, with the team of the settings.
#[test]
fn vms_that_start_together_create_one_first_configuration() {
    let mut w = World::new(4, 1, Platform::empty(4));
    w.bootstrap = bootstrap();
    w.platform.lose = 1;
    w.start_all();
    w.run(2_000);
    assert_eq!(versions(&w), [Some(1); 4]);
    assert!(
        w.vms
            .iter()
            .all(|vm| vm.book.as_ref().is_some_and(|b| b.is_ready()))
    );
    let cfg = w.platform.record().config();
    assert!(authenticate(&cfg, "root", "first-key").is_ok());
    assert_eq!(cfg.fronts, []);
}

#[test]
fn without_the_setting_nothing_is_created() {
    let mut w = World::new(2, 2, Platform::empty(2));
    w.start_all();
    w.run(5_000);
    assert_eq!(versions(&w), [None, None]);
    assert_eq!(w.platform.get(CURRENT_PATH), None);
}

#[test]
fn a_configuration_that_is_there_is_left_as_it_is() {
    let mut w = World::new(2, 3, Platform::new(2));
    w.bootstrap = bootstrap();
    w.start_all();
    let cfg = w.platform.record().config();
    assert!(authenticate(&cfg, "ops", "key").is_ok());
    assert!(authenticate(&cfg, "root", "first-key").is_err());
}

/// The platform is away when the first VM starts. That it does not answer must not be taken for
/// there being nothing.
#[test]
fn an_outage_is_not_an_empty_platform() {
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

/// The object is removed by hand while VMs run. A VM that starts creates a first configuration, and
/// the others must not follow it back.
#[test]
fn a_removed_object_leads_nobody_back() {
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
    let ask = w.propose(0, patch).expect("runs");
    let _ = w.verdict(ask);
    w.platform.prune(CURRENT_PATH);
    w.restart(1);
    w.run(3_000);
    assert_eq!(versions(&w)[0], Some(2));
}
