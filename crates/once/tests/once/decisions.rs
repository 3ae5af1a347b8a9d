//! Tests of the decisions on claim requests.

use std::time::Duration;

use gs_once::ClaimResult;
use gs_once::Event;
use gs_once::Message;
use gs_query::ClaimDecision;
use gs_query::ClaimDecision::Expired;
use gs_query::ClaimDecision::Granted;
use gs_query::ClaimDecision::Refused;
use gs_query::ClaimDecision::Taken;
use gs_query::ClaimDecision::Unknown;
use gs_types::prelude::StoreError;

use crate::world::NetworkMode;
use crate::world::PlatformMode;
use crate::world::World;
use crate::world::vm;

const SECOND: Duration = Duration::from_secs(1);

fn decisions(w: &World) -> Vec<ClaimDecision> {
    w.decisions.iter().map(|(_, v)| *v).collect()
}

#[test]
fn a_key_is_granted_once_and_taken_through_every_vm() {
    let mut w = World::new(3);
    let key = w.key(0, "a");
    for i in [0, 0, 1, 2] {
        w.request(i, &key);
        w.run(SECOND);
    }
    assert_eq!(decisions(&w), [Granted, Taken, Taken, Taken]);
}

/// Copies of a request arrive at all VMs at the same time. Only the one that is written first may
/// run.
#[test]
fn of_concurrent_requests_for_one_key_one_is_granted() {
    let mut w = World::new(3);
    let key = w.key(0, "a");
    (0..3).for_each(|i| w.request(i, &key));
    w.run(SECOND);
    let mut got = decisions(&w);
    got.sort_by_key(|v| *v != Granted);
    assert_eq!(got, [Granted, Taken, Taken]);
}

/// The platform is unreachable. Nothing was dispatched and no claim can be written any more, so the
/// request is refused at once, and the caller may retry with the same key.
#[test]
fn a_request_is_refused_at_once_while_the_platform_is_unreachable() {
    let mut w = World::new(1);
    w.platform_mode = PlatformMode::Unreachable;
    let key = w.key(0, "a");
    w.request(0, &key);
    w.run(Duration::from_millis(20));
    assert_eq!(decisions(&w), [Refused]);
    w.platform_mode = PlatformMode::Normal;
    w.run(SECOND);
    w.request(0, &key);
    w.run(SECOND);
    assert_eq!(decisions(&w), [Refused, Granted]);
}

/// The write of a claim takes effect, but its answer is lost. Reading the object shows the nonce of
/// this request.
#[test]
fn a_write_whose_answer_is_lost_is_resolved_by_reading_back() {
    let mut w = World::new(1);
    w.platform_mode = PlatformMode::LosesAnswers;
    let key = w.key(0, "a");
    w.request(0, &key);
    w.run(SECOND);
    assert_eq!(decisions(&w), [Granted]);
}

/// The write of a claim is delayed, and reads fail. The write may still take effect, so the request
/// must not be reported as not run. When it takes effect, the key is claimed without having run.
#[test]
fn a_write_that_may_still_take_effect_leaves_the_key_unknown() {
    let mut w = World::new(1);
    w.platform_mode = PlatformMode::DelaysWritesAndFailsReads;
    let key = w.key(0, "a");
    w.request(0, &key);
    w.run(2 * SECOND);
    assert_eq!(decisions(&w), [Unknown]);
    w.apply_delayed_writes();
    w.platform_mode = PlatformMode::Normal;
    w.run(SECOND);
    w.request(0, &key);
    w.run(SECOND);
    assert_eq!(decisions(&w), [Unknown, Taken]);
}

/// The bucket's writer is paused while it has a forwarded request. The VM that received the lookup
/// writes the claim itself after a timeout; when the writer resumes, its own write finds that
/// entry.
#[test]
fn a_paused_writer_does_not_delay_a_request() {
    let mut w = World::new(2);
    w.run(SECOND);
    let keys: Vec<_> = (0..8).map(|n| w.key(0, &n.to_string())).collect();
    w.processes.get_mut(&1).expect("running").paused = true;
    keys.iter().for_each(|k| w.request(0, k));
    w.run(SECOND);
    assert_eq!(decisions(&w), [Granted; 8]);
    w.processes.get_mut(&1).expect("running").paused = false;
    w.run(2 * SECOND);
    keys.iter().for_each(|k| w.request(1, k));
    w.run(SECOND);
    assert_eq!(decisions(&w)[8..], [Taken; 8]);
}

/// A VM is paused after it sent the write of a claim, and resumes when the key is too old. Other
/// VMs may have reported to the caller by then that the key is expired, so it must not run any
/// more.
#[test]
fn a_claim_found_granted_after_a_long_pause_is_not_used() {
    let mut w = World::new(1);
    let key = w.key(0, "a");
    w.request(0, &key);
    w.run(Duration::from_millis(5));
    w.processes.get_mut(&0).expect("running").paused = true;
    w.run(Duration::from_millis(5));
    w.skip(200 * SECOND);
    w.processes.get_mut(&0).expect("running").paused = false;
    w.run(SECOND);
    assert_eq!(decisions(&w), [Unknown]);
}

#[test]
fn claims_survive_the_loss_of_every_vm() {
    let mut w = World::new(3);
    let keys: Vec<_> = (0..8).map(|n| w.key(0, &n.to_string())).collect();
    keys.iter().for_each(|k| w.request(0, k));
    w.run(SECOND);
    w.processes.clear();
    w.start(5);
    keys.iter().for_each(|k| w.request(5, k));
    w.run(SECOND);
    assert_eq!(decisions(&w)[..8], [Granted; 8]);
    assert_eq!(decisions(&w)[8..], [Taken; 8]);
}

/// The claim of a key is removed long after its use. A resend must not find the key unclaimed then.
#[test]
fn a_key_whose_claim_was_removed_is_expired() {
    let mut w = World::new(1);
    w.run(SECOND);
    let key = w.key(0, "a");
    w.request(0, &key);
    w.run(SECOND);
    w.skip(300 * SECOND);
    w.run(2 * SECOND);
    assert!(w.objects.keys().all(|k| k == "claims/floor"));
    w.request(0, &key);
    w.run(SECOND);
    assert_eq!(decisions(&w), [Granted, Expired]);
}

/// A key was minted by a clock that is far ahead. It is refused, but not expired, as it may be
/// claimed later.
#[test]
fn a_key_minted_in_the_future_is_refused() {
    let mut w = World::new(1);
    let key = w.key(-30, "a");
    w.request(0, &key);
    w.run(SECOND);
    w.skip(40 * SECOND);
    w.request(0, &key);
    w.run(SECOND);
    assert_eq!(decisions(&w), [Refused, Granted]);
}

#[test]
fn without_a_network_every_vm_writes_its_own_claims() {
    let mut w = World::new(3);
    w.network_mode = NetworkMode::Down;
    let key = w.key(0, "a");
    for i in 0..3 {
        w.request(i, &key);
        w.run(SECOND);
    }
    assert_eq!(decisions(&w), [Granted, Taken, Taken]);
}

#[test]
fn concurrent_requests_share_writes() {
    let mut w = World::new(0);
    w.claims_per_segment = 512;
    w.start(0);
    let keys: Vec<_> = (0..100).map(|n| w.key(0, &n.to_string())).collect();
    keys.iter().for_each(|k| w.request(0, k));
    w.run(SECOND);
    assert_eq!(decisions(&w), [Granted; 100]);
    // The first request of each bucket finds it idle and is written at once; the others follow in
    // one write for each bucket.
    assert_eq!(w.writes, 4);
}

/// A VM's clock is minutes behind, so that it takes a key for recent whose claim was removed long
/// ago. The claim's object does not exist any more: without the watermark, the lookup would run
/// twice.
#[test]
fn a_vm_whose_clock_is_far_behind_does_not_grant_an_expired_key() {
    let mut w = World::new(1);
    w.network_mode = NetworkMode::Down;
    w.run(SECOND);
    let key = w.key(0, "a");
    w.request(0, &key);
    w.run(SECOND);
    w.skip(300 * SECOND);
    w.run(SECOND);
    assert!(w.objects.keys().all(|k| k == "claims/floor"));
    w.start(1);
    w.set_clock(1, -300);
    w.request(1, &key);
    w.run(SECOND);
    assert_eq!(decisions(&w), [Granted, Expired]);
}

/// The bucket's writer reports an unknown result, and the network delivers the message twice, the
/// second time while this VM writes the claim itself. That write conflicts with another one, and
/// the platform becomes unreachable. The writer's own write may still take effect, so the request
/// must not be reported as not run.
#[test]
fn an_unknown_result_delivered_twice_leaves_the_key_unknown() {
    let mut w = World::new(2);
    w.network_mode = NetworkMode::Down;
    w.run(SECOND);
    // A key whose bucket is written by the other VM, so that its request is forwarded.
    let keys: Vec<_> = (0..9).map(|n| w.key(0, &n.to_string())).collect();
    let mut forwarded = keys
        .iter()
        .filter_map(|k| w.request_forwarded(0, k).map(|id| (k, id)));
    let (key, id) = forwarded.next().expect("one of nine");
    drop(forwarded);
    let path = w.object_of(key);
    let unsure = || Event::Peer(vm(1), Message::Made(id.clone(), ClaimResult::Unsure));
    w.process_event(0, unsure());
    w.process_event(0, unsure());
    let result = Err(StoreError::Conflict);
    w.process_event(
        0,
        Event::Wrote {
            path: path.clone(),
            result,
        },
    );
    let result = Err(StoreError::Lost);
    w.process_event(0, Event::Read { path, result });
    // The last `Wake` was not carried out, so the next tick is due within five seconds.
    w.run(6 * SECOND);
    assert_eq!(decisions(&w), [Unknown]);
}
