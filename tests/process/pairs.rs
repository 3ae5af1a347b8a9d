//! Faults that come in pairs, and the same fault twice.

use std::net::SocketAddr;
use std::time::Duration;

use gs_rig::control::Command;
use gs_rig::load::Caller;
use gs_rig::load::LookupRequest;
use gs_rig::load::Reply;
use gs_rig::load::Tally;
use gs_rig::operator::Operator;
use gs_rig::platform::Control;
use gs_types::prelude::*;
use rstest::rstest;
use rustix::process::Signal;

use crate::support::Running;
use crate::support::ask;
use crate::support::ask_vm;
use crate::support::load;
use crate::support::load_apart;
use crate::support::reason;
use crate::support::start;
use crate::support::tiny;
use crate::support::until;

fn down(down: bool) -> Control {
    Control {
        down: Some(down),
        ..Control::default()
    }
}

fn slow_platform() -> Control {
    Control {
        delay_ms: Some(150),
        ..Control::default()
    }
}

fn key_of(ask: &LookupRequest) -> &str {
    ask.idempotency_key.as_deref().expect("a key")
}

fn callers_of(d: &Running) -> Vec<SocketAddr> {
    d.vms.iter().map(|v| v.plan().callers).collect()
}

/// What the servers saw: no key twice, no connection above a limit, no work long after a drain.
fn assert_sound(d: &Running) {
    let seen = d.servers.counts().summary();
    let bad = (
        seen.keys_doubled,
        seen.total.over_limit,
        seen.total.late_offers,
    );
    assert_eq!(bad, (0, 0, 0), "{seen:?}");
}

/// Every answer was right, and there were answers.
fn assert_right(tally: &Tally) {
    assert_eq!(tally.wrong(), 0, "{:?}", tally.faults);
    assert!(tally.answered > 0);
}

async fn until_full_page(d: &Running, vm: usize) {
    let quote = ask(d, "quote", 41);
    until("a full page", async || {
        let reply = ask_vm(d, vm, &quote).await;
        reply.page().is_some_and(|p| p.coverage.is_complete())
    })
    .await;
}

/// Sends a renewal until the platform has decided on its claim.
async fn until_decided(d: &Running, vm: usize, renewal: &LookupRequest) -> Reply {
    let mut last = Reply::Unreachable;
    until("the claim is decided", async || {
        last = ask_vm(d, vm, renewal).await;
        reason(&last).as_deref() != Some("claims-away")
    })
    .await;
    last
}

fn pages(replies: &[&Reply]) -> usize {
    replies.iter().filter(|r| r.page().is_some()).count()
}

/// Readers of a cut-off data centre get thin pages that say so, also with the platform away.
/// Under load one data centre is cut off, then the platform goes away for all; renewals are sent
/// through every VM and sent again after both are back. The cause of a wrong page, or of a renewal
/// run twice, would be a VM that falls back on what only one of the two faults leaves standing.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_platform_away_while_a_data_centre_is_cut() {
    let d = tiny().await;
    let cut = 2_usize;
    let faults = async {
        until_full_page(&d, cut).await;
        d.cut(d.vms[cut].plan().site).expect("a site");
        d.platform.control(down(true));
        let mut sent = Vec::new();
        for vm in 0..d.vms.len() {
            let quote = ask_vm(&d, vm, &ask(&d, "quote", 50)).await;
            let thin = quote.page().map(|p| !p.coverage.is_complete());
            assert!(thin.is_some_and(|thin| thin || vm != cut), "{quote:?}");
            let renewal = ask(&d, "renewal", 51 + vm as u64);
            let reply = ask_vm(&d, vm, &renewal).await;
            assert_eq!(reason(&reply).as_deref(), Some("claims-away"), "{reply:?}");
            sent.push(renewal);
        }
        d.platform.control(down(false));
        d.heal().expect("healed");
        sent
    };
    let (tally, sent) = tokio::join!(
        load(&d, d.targets(false), 30.0, Duration::from_secs(3)),
        faults
    );
    assert_right(&tally);
    until_full_page(&d, cut).await;
    for (n, renewal) in sent.iter().enumerate() {
        until_decided(&d, (n + 1) % d.vms.len(), renewal).await;
    }
    assert_sound(&d);
}

/// Operators drain a server while the publisher's pipeline moves its shards.
/// Under load one replica begins to drain, then a snapshot with other shards is published, the old
/// one is dropped, and load goes on for more than three seconds. The cause of late work would be a
/// drain that is known by the old snapshot's map only.
#[rstest]
#[case::fewer_shards(3)]
#[case::more_shards(6)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_during_a_repartition(#[case] shards: u32) {
    let d = tiny().await;
    let (old, new) = (SnapshotId(1), SnapshotId(2));
    let server: ServerName = "bulletin-desk-0-0".parse().expect("a name");
    let faults = async {
        let seen = async || d.servers.counts().of(&server).runs > 5;
        until("work on the server", seen).await;
        let server = server.clone();
        let drain = Command::Drain { server };
        d.servers.apply(drain).await.expect("applied");
        d.publish("bulletin-desk", new, shards).expect("published");
        let probe = ask(&d, "placement", 6);
        until("answers from the new snapshot", async || {
            let reply = ask_vm(&d, 1, &probe).await;
            reply.page().is_some_and(|p| p.snapshot == new)
        })
        .await;
        let forget = Command::Forget {
            server: None,
            snapshot: old,
        };
        d.servers.apply(forget).await.expect("applied");
    };
    let (tally, ()) = tokio::join!(
        load(&d, d.targets(false), 40.0, Duration::from_secs(6)),
        faults
    );
    assert_right(&tally);
    for vm in 0..d.vms.len() {
        let reply = ask_vm(&d, vm, &ask(&d, "placement", 8)).await;
        let snapshot = reply.page().map(|p| p.snapshot);
        assert_eq!(snapshot, Some(new), "{reply:?}");
    }
    assert_sound(&d);
}

/// A clerk's renewals break off twice, as the VM behind them crashes, comes back and crashes.
/// The first time it is killed once its claim is on the platform, the second time while a backend
/// server runs the lookup; each renewal is sent again with its key through every VM. The cause of a
/// double run would be a claim that the new process, or another VM, takes for its own.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_killed_twice_runs_no_renewal_twice() {
    let mut d = tiny().await;
    let others = d.targets(false);
    others.set(callers_of(&d)[1..].to_vec());
    let load = load_apart(&d, others, 20.0, Duration::from_secs(4));
    let faults = async {
        let claimed = ask(&d, "renewal", 60);
        d.platform.control(slow_platform());
        let before = d.platform.paths("claims/").len();
        kill_during(&mut d, &claimed, |d| {
            d.platform.paths("claims/").len() > before
        })
        .await;
        resend_through(&d, &[1, 2], &claimed).await;
        d.platform.control(Control {
            delay_ms: Some(2),
            ..Control::default()
        });
        d.restart(0).await.expect("it starts again");

        let running = ask(&d, "renewal", 61);
        let slow = |share| Command::Stragglers {
            server: None,
            share,
            factor: 100.0,
        };
        d.servers.apply(slow(1.0)).await.expect("applied");
        let key = key_of(&running).to_owned();
        let ran = move |d: &Running| d.servers.counts().runs_of_key(&key) > 0;
        kill_during(&mut d, &running, ran).await;
        d.servers.apply(slow(0.0)).await.expect("applied");
        resend_through(&d, &[2, 1], &running).await;
        d.restart(0).await.expect("it starts again");
        resend_through(&d, &[0, 1, 2], &claimed).await;
        resend_through(&d, &[0, 1, 2], &running).await;
    };
    let (tally, ()) = tokio::join!(load, faults);
    assert_right(&tally);
    assert_sound(&d);
}

/// Sends a lookup to the first VM and kills it as soon as `when` holds.
async fn kill_during(d: &mut Running, lookup: &LookupRequest, when: impl Fn(&Running) -> bool) {
    let (caller, vm) = (Caller::new(), d.vms[0].plan().callers);
    let lookup = lookup.clone();
    let asked = tokio::spawn(async move { caller.request(vm, &lookup).await });
    until("the moment to kill", async || when(d)).await;
    d.vms[0].kill();
    let reply = asked.await.expect("joined");
    assert!(matches!(reply, Reply::Cut(_)), "{reply:?}");
}

async fn resend_through(d: &Running, vms: &[usize], renewal: &LookupRequest) {
    for vm in vms {
        ask_vm(d, *vm, renewal).await;
    }
}

/// A clerk's renewal hangs while the platform goes away, and the VM behind it goes on much later.
/// Its claim is under way when the VM is stopped and the platform goes down; the resend meets the
/// outage, and is decided after it; then the VM goes on. With `stalled` the claim takes effect only
/// after the outage. The cause of a double run would be a lease, or an answer awaited, that the
/// stopped VM does not see lapse.
#[rstest]
#[case::taken(false)]
#[case::stalled(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_paused_across_an_outage_with_a_claim_in_flight(#[case] stalled: bool) {
    let d = tiny().await;
    let renewal = ask(&d, "renewal", 70);
    let stall = |on| Control {
        stall_writes: Some(on),
        ..Control::default()
    };
    d.platform.control(if stalled {
        stall(true)
    } else {
        slow_platform()
    });
    let (first, others) = tokio::join!(ask_vm(&d, 0, &renewal), async {
        until("the claim is under way", async || {
            if stalled {
                d.platform.counts().lost > 0
            } else {
                !d.platform.paths("claims/").is_empty()
            }
        })
        .await;
        d.vms[0].signal(Signal::STOP).expect("a running process");
        d.platform.control(down(true));
        let during = ask_vm(&d, 1, &renewal).await;
        d.platform.control(stall(false));
        d.platform.control(down(false));
        let after = until_decided(&d, 2, &renewal).await;
        d.vms[0].signal(Signal::CONT).expect("a stopped process");
        [during, after]
    });
    let last = until_decided(&d, 0, &renewal).await;
    let runs = d.servers.counts().runs_of_key(key_of(&renewal));
    assert!(runs <= 1, "{runs} runs; {first:?} {others:?} {last:?}");
    let replies = [&first, &others[0], &others[1], &last];
    assert!(pages(&replies) <= 1, "{replies:?}");
    assert_sound(&d);
}

/// A link between data centres breaks, comes back for a moment, and breaks again.
/// Under load one data centre is cut, healed, cut again before the others can have settled, and
/// healed for good; renewals go through both sides in each cut. The cause of a connection above a
/// server's limit, or of a double run, would be what each side gave up or took over in the first cut.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_same_data_centre_cut_twice() {
    let d = tiny().await;
    let cut = 2_usize;
    let site = d.vms[cut].plan().site;
    let faults = async {
        until_full_page(&d, cut).await;
        let mut sent = Vec::new();
        for round in 0..2 {
            d.cut(site).expect("a site");
            // It may have more to do than it takes on at first, as lookups wait for what is cut off.
            let quote = ask(&d, "quote", 80 + round);
            until("a thin page", async || {
                let reply = ask_vm(&d, cut, &quote).await;
                reply.page().is_some_and(|p| !p.coverage.is_complete())
            })
            .await;
            let renewal = ask(&d, "renewal", 82 + round);
            let inside = ask_vm(&d, cut, &renewal).await;
            assert!(inside.page().is_none(), "{inside:?}");
            ask_vm(&d, 0, &renewal).await;
            sent.push(renewal);
            d.heal().expect("healed");
        }
        sent
    };
    let (tally, sent) = tokio::join!(
        load(&d, d.targets(false), 30.0, Duration::from_secs(4)),
        faults
    );
    assert_right(&tally);
    until_full_page(&d, cut).await;
    for renewal in &sent {
        until_decided(&d, cut, renewal).await;
    }
    assert_sound(&d);
}

/// A VM crashes while the platform is away; its replacement must harm nobody until it can serve.
/// One VM is killed, the platform goes down, and the VM starts again with nothing of its own: it
/// takes the configuration from its peers, and waits unready for its share of connections, which
/// only the platform can give. The cause of a wrong answer, or of a connection above a server's
/// limit, would be a start that goes by what the run before held.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_that_starts_while_the_platform_is_away_waits_and_then_serves() {
    let mut d = tiny().await;
    let others = d.targets(false);
    others.set(callers_of(&d)[1..].to_vec());
    let load = load_apart(&d, others, 20.0, Duration::from_secs(3));
    let faults = async {
        let (operator, admin) = (Operator::new(), d.vms[0].plan().admin);
        d.vms[0].kill();
        d.platform.control(down(true));
        let configured = until("the configuration from its peers", async || {
            operator.version(admin).await == 1
        });
        tokio::select! {
            ready = d.restart(0) => panic!("ready without a share: {ready:?}"),
            () = configured => {}
        }
        assert!(!d.vms[0].is_ready(&Caller::new()).await);
        let renewal = ask(&d, "renewal", 91);
        for refused in [&ask(&d, "placement", 90), &renewal] {
            let reply = ask_vm(&d, 0, refused).await;
            assert!(reply.refusal().is_some(), "{reply:?}");
        }
        d.platform.control(down(false));
        until("ready", async || d.vms[0].is_ready(&Caller::new()).await).await;
        until_full_page(&d, 0).await;
        until_decided(&d, 0, &renewal).await;
    };
    let (tally, ()) = tokio::join!(load, faults);
    assert_right(&tally);
    assert_sound(&d);
}

/// A supervisor grows impatient and sends SIGTERM again, and SIGINT after it.
/// Under load, with a balancer that follows readiness late, one VM is told to leave; it is told
/// again once it is seen unready, and once more by the other signal. The cause of a cut request
/// would be a second signal that ends at once what the first one is ending well.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sigterm_twice_under_load_is_still_graceful() {
    let mut d = start(gs_rig::deploy::Shape::tiny(), "[shutdown]\nlag = \"1s\"\n").await;
    let load = load_apart(&d, d.targets(true), 30.0, Duration::from_secs(4));
    let signals = async {
        let seen = async || d.servers.counts().summary().total.runs > 50;
        until("load on the servers", seen).await;
        let caller = Caller::new();
        d.vms[0].signal(Signal::TERM).expect("a running process");
        until("unready", async || !d.vms[0].is_ready(&caller).await).await;
        for again in [Signal::TERM, Signal::INT] {
            d.vms[0].signal(again).expect("a running process");
        }
        let status = d.vms[0].wait_for_exit(Duration::from_secs(20)).await;
        assert!(status.expect("it exits").success());
    };
    let (tally, ()) = tokio::join!(load, signals);
    assert_right(&tally);
    assert_eq!((tally.unreachable, tally.answered), (0, tally.asked));
    assert_sound(&d);
}
