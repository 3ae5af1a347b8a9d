//! Tests of the retries of a fan-out that may crash the servers which execute it.

use std::collections::BTreeSet;

use gs_relay::AttemptEnd;
use gs_relay::FailReason;
use gs_relay::Outcome;
use gs_types::prelude::*;

use crate::delegation;
use crate::delegation::peer_page_with;
use crate::delegation::possible_servers;
use crate::world::World;
use crate::world::ms;
use crate::world::page_route;
use crate::world::success;
use crate::world::table;

const SHARDS: [&str; 6] = ["s0", "s1", "s2", "s3", "s4", "s5"];

fn world() -> World {
    World::new(table(1, vec![page_route(&SHARDS, 0.6)])).with_server_pairs(&SHARDS)
}

/// Breaks the open attempts at the servers with this suffix.
fn break_attempts(w: &mut World, suffix: &str) {
    let servers: Vec<String> = w.busy_servers().iter().map(|s| (*s).to_owned()).collect();
    for server in servers.iter().filter(|s| s.ends_with(suffix)) {
        w.end_attempt(server, AttemptEnd::Broken);
    }
}

fn outcome(w: &World, seq: LookupSeq) -> Option<&Outcome> {
    w.report(seq).map(|r| &r.outcome)
}

/// Prevents a search that crashes servers from crashing all servers of every shard, so that no other search is answered
/// until they have restarted.
#[test]
fn a_fan_out_that_broke_all_first_attempts_is_retried_at_two_shards_only() {
    let mut w = world();
    let seq = w.arrive("/page/poison", ms(2500));
    break_attempts(&mut w, "-near");
    assert_eq!(w.busy_servers(), ["s0-far", "s1-far"]);
    break_attempts(&mut w, "-far");
    assert!(
        matches!(outcome(&w, seq), Some(Outcome::Failed(FailReason::Failed))),
        "{:?}",
        outcome(&w, seq)
    );
    assert!(w.open.is_empty());
}

/// Prevents a harmless search, whose servers broke under another one, from losing its shards.
#[test]
fn the_first_answer_releases_the_retries_of_all_shards() {
    let mut w = world();
    let seq = w.arrive("/page/x", ms(2500));
    break_attempts(&mut w, "-near");
    w.end_attempt("s0-far", success(b'a'));
    let busy: BTreeSet<&str> = w.busy_servers().into_iter().collect();
    assert_eq!(
        busy,
        ["s1-far", "s2-far", "s3-far", "s4-far", "s5-far"].into()
    );
    for shard in &SHARDS[1..] {
        w.end_attempt(&format!("{shard}-far"), success(b'a'));
    }
    let Some(Outcome::Page(page)) = outcome(&w, seq) else {
        panic!("{:?}", outcome(&w, seq));
    };
    assert!(page.missing.is_empty(), "{page:?}");
}

/// Prevents the search from being failed early while a server that is slower than the others may still answer it.
#[test]
fn a_fan_out_waits_for_its_last_attempt_before_it_fails() {
    let mut w = world();
    let seq = w.arrive("/page/x", ms(2500));
    for shard in &SHARDS[..5] {
        w.end_attempt(&format!("{shard}-near"), AttemptEnd::Broken);
    }
    break_attempts(&mut w, "-far");
    assert!(outcome(&w, seq).is_none());
    w.end_attempt("s5-near", success(b'a'));
    assert!(w.open.len() >= 3, "{:?}", w.busy_servers());
}

/// Prevents the same by hedges, while the request waits in the queues of busy servers.
#[test]
fn a_fan_out_without_any_answer_is_hedged_at_two_shards_only() {
    let mut w = world();
    w.arrive("/page/poison", ms(2500));
    w.advance(ms(400));
    assert_eq!(w.open.len(), SHARDS.len() + 2, "{:?}", w.busy_servers());
    w.end_attempt("s5-near", success(b'a'));
    w.advance(ms(1));
    assert_eq!(w.open.len(), 2 * SHARDS.len() - 2, "{:?}", w.busy_servers());
}

/// Prevents a VM from crashing the servers that its peer has spared.
#[test]
fn an_empty_page_of_a_peer_is_retried_at_two_shards_only() {
    let mut w = delegation::world();
    w.on(delegation::opened("vm-2", 16));
    let seq = w.arrive("/page/poison", ms(2500));
    assert_eq!(w.busy_servers(), ["vm-2", "s0-near"]);
    w.end_attempt("s0-near", AttemptEnd::Broken);
    let missing = [1, 2].into_iter();
    let missing = missing.map(|n| (n, possible_servers(&[format!("s{n}-other")])));
    w.end_attempt("vm-2", peer_page_with(&[], missing));
    assert!(w.open.len() <= 2, "{:?}", w.busy_servers());
    break_attempts(&mut w, "");
    assert!(w.report(seq).is_some(), "{:?}", w.busy_servers());
}
