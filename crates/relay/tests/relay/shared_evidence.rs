//! Tests of evidence against requests that several VMs share, and of the verdicts on it.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use gs_relay::Action;
use gs_relay::AttemptEnd;
use gs_relay::CrashReport;
use gs_relay::Event;
use gs_relay::ExecutedServices;
use gs_relay::Observation;
use gs_relay::Outcome;
use gs_relay::PeerVm;
use gs_relay::RefuseReason;
use gs_relay::RepeatPolicy;
use gs_relay::ReportedCrash;
use gs_relay::Verdict;
use gs_relay::VerdictOrigin;
use gs_types::prelude::*;
use rstest::rstest;

use crate::world::HERE;
use crate::world::World;
use crate::world::entry;
use crate::world::ms;
use crate::world::one_route;
use crate::world::options;
use crate::world::page_route;
use crate::world::success;
use crate::world::table;
use crate::world::vm;

/// The path of the request that crashes servers, or is suspected of it.
const PATH: &str = "/one/x";

/// A time in which all VMs learn of a crash.
const HEARD_AFTER: Duration = Duration::from_millis(300);

fn world() -> World {
    let routes = vec![one_route(RepeatPolicy::Once)];
    World::new(table(1, routes)).with_server_pairs(&["desk"])
}

/// Returns the list of a fleet of this size; `vm-1` is the VM under test.
fn fleet(size: usize) -> Vec<PeerVm> {
    let member = |n: usize| {
        let mut member = vm(&format!("vm-{}", n + 1), HERE, "hobart", 1.0);
        member.addr.set_port(10_000 + n as u16);
        member
    };
    (0..size).map(member).collect()
}

/// Returns a report that a server crashed under the request between two times before now.
fn crash(w: &World, server: &str, began: Duration, ended: Duration) -> CrashReport {
    CrashReport {
        request: w.fingerprint(PATH),
        observation: Observation::Crashed(vec![ReportedCrash {
            service: "desk".parse().expect("a name"),
            server: server.parse().expect("a name"),
            born: Some(Incarnation(1)),
            began_ms: began.as_millis() as u64,
            ended_ms: ended.as_millis() as u64,
            is_answered_elsewhere: false,
        }]),
    }
}

/// Returns a report that a server executed the request without crashing.
fn executed(w: &World) -> CrashReport {
    CrashReport {
        request: w.fingerprint(PATH),
        observation: Observation::Executed(ExecutedServices::AllBut(Vec::new()), 0),
    }
}

/// Reports three crashes, one after the other.
fn report_three_crashes(w: &mut World) {
    for server in ["s-1", "s-2", "s-3"] {
        w.advance(ms(700));
        w.on(Event::CrashReported(crash(w, server, ms(50), ms(0))));
    }
}

/// Sends the request and breaks its attempt; returns the server, or `None` if the request was not sent to any.
fn crash_one_server(w: &mut World) -> Option<ServerName> {
    w.arrive(PATH, ms(8000));
    w.advance(ms(20));
    let server = w.open.front()?.server.name.clone();
    w.crash_under_attempt(server.as_str());
    Some(server)
}

fn refused_for(w: &World, seq: LookupSeq) -> Option<Duration> {
    match w.report(seq).map(|r| &r.outcome) {
        Some(Outcome::Refused(RefuseReason::Quarantined, after)) => *after,
        _ => None,
    }
}

/// Prevents crashes that several VMs saw one of each from proving nothing.
#[test]
fn crashes_that_other_vms_report_quarantine_a_request() {
    let mut w = world();
    report_three_crashes(&mut w);
    assert_eq!(w.quarantined, [w.fingerprint(PATH)]);
    let seq = w.arrive(PATH, ms(8000));
    assert!(refused_for(&w, seq).is_some());
}

#[test]
fn each_crash_is_reported_to_the_vms_that_collect_evidence() {
    let mut w = world();
    w.on(Event::Vms(fleet(7)));
    assert!(crash_one_server(&mut w).is_some());
    assert_eq!(w.crash_reports.len(), 1);
    assert_eq!(w.crash_reports[0].request, w.fingerprint(PATH));
}

/// Prevents a popular request from being refused everywhere because servers crashed together under it.
#[test]
fn servers_that_crash_together_under_a_request_prove_nothing() {
    let mut w = world();
    for n in 0..12 {
        let report = crash(&w, &format!("s-{n}"), ms(120 + n), ms(2));
        w.on(Event::CrashReported(report));
    }
    assert_eq!(w.quarantined, []);
}

/// Prevents a popular request from being refused because servers crash again and again while others answer it.
#[test]
fn an_answer_at_another_vm_clears_the_crashes_before_it() {
    let mut w = world();
    for server in ["s-1", "s-2", "s-3", "s-4", "s-5"] {
        w.advance(ms(700));
        w.on(Event::CrashReported(crash(&w, server, ms(50), ms(0))));
        w.advance(ms(100));
        w.on(Event::CrashReported(executed(&w)));
    }
    assert_eq!(w.quarantined, []);
}

/// Prevents one crash that several VMs report from counting several times.
#[test]
fn a_crash_that_several_vms_report_counts_once() {
    let mut w = world();
    for server in ["s-1", "s-1", "s-1", "s-2", "s-2"] {
        w.on(Event::CrashReported(crash(&w, server, ms(20), ms(0))));
        w.advance(ms(30));
    }
    assert_eq!(w.quarantined, []);
}

/// Prevents one crash from counting several times because VMs see it at different times, some only by a removed entry.
#[test]
fn a_crash_that_vms_see_at_different_times_counts_once() {
    let mut w = world();
    for server in ["s-1", "s-2"] {
        w.on(Event::CrashReported(crash(&w, server, ms(20), ms(0))));
        w.advance(ms(900));
        w.on(Event::CrashReported(crash(&w, server, ms(880), ms(0))));
        w.advance(ms(3000));
        w.on(Event::CrashReported(crash(&w, server, ms(10), ms(0))));
    }
    assert_eq!(w.quarantined, []);
}

/// Prevents a harmless request from staying refused although this VM has seen servers execute it since.
#[test]
fn a_vm_that_saw_the_request_executed_contradicts_a_verdict() {
    let mut w = world();
    let seq = w.arrive(PATH, ms(8000));
    let server = w.open[0].server.name.to_string();
    w.end_attempt(&server, success(b'a'));
    assert!(w.report(seq).is_some());
    let verdict = Verdict {
        evidence_age: Some(ms(500)),
        remaining: Some(ms(30_000)),
        ..Verdict::first(w.fingerprint(PATH))
    };
    w.on(Event::Verdicts(vec![verdict], VerdictOrigin::Peer));
    assert_eq!(w.released, [w.fingerprint(PATH)]);
    let seq = w.arrive(PATH, ms(8000));
    assert_eq!(refused_for(&w, seq), None);
}

/// Prevents an execution from before the first crash from releasing a request that crashes servers now.
#[test]
fn an_execution_before_the_first_crash_contradicts_nothing() {
    let mut w = world();
    let seq = w.arrive(PATH, ms(8000));
    let server = w.open[0].server.name.to_string();
    w.end_attempt(&server, success(b'a'));
    assert!(w.report(seq).is_some());
    w.advance(ms(1000));
    report_three_crashes(&mut w);
    assert_eq!(w.quarantined, [w.fingerprint(PATH)]);
    assert_eq!(w.released, []);
}

/// Prevents a request that waits for a server from crashing it after the verdict has arrived.
#[test]
fn a_waiting_request_is_refused_when_the_verdict_arrives() {
    let routes = vec![one_route(RepeatPolicy::Once)];
    let mut w = World::new(table(1, routes)).with_server_pairs(&["desk"]);
    while w.busy_servers().len() == w.open.len() {
        let before = w.open.len();
        w.arrive("/one/other", ms(8000));
        if w.open.len() == before {
            break;
        }
    }
    let waiting = w.arrive(PATH, ms(8000));
    assert!(w.report(waiting).is_none());
    let verdict = Verdict::first(w.fingerprint(PATH));
    w.on(Event::Verdicts(vec![verdict], VerdictOrigin::Peer));
    assert!(refused_for(&w, waiting).is_some());
}

/// Prevents a second attempt at a request from being sent after the verdict has arrived.
#[test]
fn a_request_in_quarantine_is_not_retried() {
    let routes = vec![one_route(RepeatPolicy::Safe)];
    let mut w = World::new(table(1, routes)).with_server_pairs(&["desk"]);
    let seq = w.arrive(PATH, ms(8000));
    let verdict = Verdict::first(w.fingerprint(PATH));
    w.on(Event::Verdicts(vec![verdict], VerdictOrigin::Peer));
    let server = w.open[0].server.name.to_string();
    w.end_attempt(&server, AttemptEnd::Broken);
    assert!(w.open.is_empty());
    assert!(w.report(seq).is_some());
}

/// Prevents a request from crashing three servers again each time that its quarantine has ended.
#[test]
fn a_crash_on_probation_quarantines_at_once_and_for_longer() {
    let mut w = world();
    report_three_crashes(&mut w);
    let mut runs = 0;
    let mut waits = Vec::new();
    for _ in 0..4 {
        let seq = w.arrive(PATH, ms(8000));
        let wait = refused_for(&w, seq).expect("it is in quarantine");
        waits.push(wait);
        w.advance(wait + ms(1));
        runs += usize::from(crash_one_server(&mut w).is_some());
    }
    assert_eq!(runs, 4);
    assert!(waits.is_sorted_by(|a, b| *b >= *a * 3), "{waits:?}");
    assert_eq!(w.quarantined.len(), 5);
}

#[test]
fn an_answer_on_probation_releases_a_request() {
    let mut w = world();
    report_three_crashes(&mut w);
    w.advance(ms(31_000));
    w.arrive(PATH, ms(8000));
    let server = w.open[0].server.name.to_string();
    w.end_attempt(&server, success(b'a'));
    assert_eq!(w.released, [w.fingerprint(PATH)]);
}

/// Prevents many repeats that arrive together after a quarantine from crashing a server each.
#[test]
fn one_request_at_a_time_is_tried_on_probation() {
    let mut w = world();
    report_three_crashes(&mut w);
    w.advance(ms(31_000));
    let tried = w.arrive(PATH, ms(8000));
    let other = w.arrive(PATH, ms(8000));
    assert!(w.report(tried).is_none());
    assert!(refused_for(&w, other).is_some());
}

/// Prevents an older verdict that arrives late from quarantining a request that was released.
#[test]
fn an_older_verdict_does_not_replace_a_release() {
    let mut w = world();
    let first = Verdict::first(w.fingerprint(PATH));
    let release = Verdict {
        version: 2,
        strikes: 0,
        ..first.clone()
    };
    for verdict in [release, first] {
        w.on(Event::Verdicts(vec![verdict], VerdictOrigin::Peer));
    }
    let seq = w.arrive(PATH, ms(8000));
    assert_eq!(refused_for(&w, seq), None);
}

/// Prevents a verdict whose VM was lost from staying in the directory, and its request from being refused for ever.
#[test]
fn a_listed_verdict_that_is_over_is_removed_from_the_directory() {
    let mut w = world();
    let listed = Verdict::first(w.fingerprint(PATH));
    for _ in 0..900 {
        let verdicts = vec![listed.clone()];
        w.on(Event::Verdicts(verdicts, VerdictOrigin::Directory));
        w.advance(ms(1500));
    }
    assert!(w.unlisted.contains(&listed.request));
    let seq = w.arrive(PATH, ms(8000));
    assert_eq!(refused_for(&w, seq), None);
}

/// Prevents a flood of requests that each break once from hiding the one that crashes servers again and again.
#[test]
fn a_repeated_crash_is_found_among_many_first_ones() {
    let mut w = world();
    // 300 VMs that send this one as many reports as each may, and a repeat each 700 ms.
    let reports_per_s = 300 * 16;
    let repeat_every = reports_per_s * 7 / 10;
    for n in 0..reports_per_s * 3 {
        if n % repeat_every == 0 {
            w.on(Event::CrashReported(crash(
                &w,
                &format!("s-{n}"),
                ms(5),
                ms(0),
            )));
        }
        let mut report = crash(&w, "s-x", ms(5), ms(0));
        report.request = Fingerprint(n);
        w.on(Event::CrashReported(report));
        w.advance(Duration::from_secs(1) / reports_per_s as u32);
    }
    assert_eq!(w.quarantined, [w.fingerprint(PATH)]);
}

/// Prevents a crash of many servers at once from making each VM send a report for each request that it has.
#[test]
fn reports_of_first_crashes_are_limited() {
    let mut w = world();
    w.on(Event::Vms(fleet(7)));
    for n in 0..200 {
        w.arrive(&format!("/one/{n}"), ms(8000));
        if let Some(server) = w.open.front().map(|d| d.server.name.to_string()) {
            w.crash_under_attempt(&server);
        }
        w.advance(ms(1));
    }
    assert!(w.crash_reports.len() <= 32, "{}", w.crash_reports.len());
}

/// A fleet of relays that exchange reports and verdicts, each after [`HEARD_AFTER`].
struct Fleet {
    worlds: Vec<World>,
    by_port: HashMap<u16, usize>,
    vms: Vec<PeerVm>,
    live: BTreeSet<ServerName>,
    runs: usize,
}

impl Fleet {
    fn new(size: usize) -> Self {
        let vms = fleet(size);
        let worlds = vms.iter().map(|member| {
            let mut options = options();
            options.vm = member.name.clone();
            let routes = vec![one_route(RepeatPolicy::Once)];
            let w = World::with_options(table(1, routes), options).with_server_pairs(&["desk"]);
            let mut w = w;
            w.on(Event::Vms(vms.clone()));
            w
        });
        let worlds = worlds.collect();
        let ports = vms.iter().enumerate().map(|(n, vm)| (vm.addr.port(), n));
        Self {
            worlds,
            by_port: ports.collect(),
            vms,
            live: ["desk-near", "desk-far"]
                .map(|s| s.parse().expect("a name"))
                .into(),
            runs: 0,
        }
    }

    /// Sends the request to a VM, crashes the server that runs it, and delivers what the VMs then tell each other.
    fn crash_at(&mut self, n: usize) {
        let crashed = self.run_until_crash(n);
        self.advance(HEARD_AFTER);
        self.deliver(n);
        if let Some(crashed) = crashed {
            self.runs += 1;
            self.restart(crashed);
        }
    }

    /// Sends the request to a VM until a live server has it; those that crashed refuse connections.
    fn run_until_crash(&mut self, n: usize) -> Option<ServerName> {
        let w = &mut self.worlds[n];
        w.news.clear();
        w.arrive(PATH, ms(8000));
        while let Some(server) = w.open.front().map(|d| d.server.name.clone()) {
            if self.live.contains(&server) {
                w.advance(ms(20));
                w.crash_under_attempt(server.as_str());
                return Some(server);
            }
            w.end_attempt(server.as_str(), AttemptEnd::NotSent);
        }
        None
    }

    /// Starts a server that crashed under another name.
    fn restart(&mut self, crashed: ServerName) {
        let restarted = entry(&format!("desk-{}", self.runs), "desk", HERE);
        let restarted = Arc::new(restarted);
        self.live.remove(&crashed);
        self.live.insert(restarted.name.clone());
        for w in &mut self.worlds {
            w.on(Event::EntryMissing(crashed.clone()));
            w.on(Event::Server(Arc::clone(&restarted)));
        }
    }

    fn deliver(&mut self, from: usize) {
        let mut pending = vec![from];
        while let Some(n) = pending.pop() {
            for action in std::mem::take(&mut self.worlds[n].news) {
                let (targets, event) = match action {
                    Action::ReportCrash {
                        candidates,
                        copies,
                        report,
                    } => {
                        let targets = candidates.into_iter().take(copies).collect::<Vec<_>>();
                        (targets, Event::CrashReported(report.aged(HEARD_AFTER)))
                    }
                    Action::Publish { verdict, peers } => {
                        (peers, Event::Verdicts(vec![verdict], VerdictOrigin::Peer))
                    }
                    _ => continue,
                };
                for addr in targets {
                    let to = self.by_port[&addr.port()];
                    self.worlds[to].on(event.clone());
                    pending.push(to);
                }
            }
        }
    }

    fn advance(&mut self, by: Duration) {
        self.worlds.iter_mut().for_each(|w| w.advance(by));
    }
}

/// Prevents a request from crashing more servers the more VMs there are.
#[rstest]
#[case(3)]
#[case(9)]
#[case(27)]
#[case(300)]
fn a_fleet_stops_a_request_after_three_crashes(#[case] size: usize) {
    let mut f = Fleet::new(size);
    assert_eq!(f.vms.len(), size);
    for n in 0..40 {
        f.crash_at(n % size);
        f.advance(ms(400));
    }
    assert_eq!(f.runs, 3);
}

/// Prevents a request from crashing a server at each VM when its quarantine ends everywhere at the same time.
#[rstest]
#[case(3)]
#[case(9)]
#[case(27)]
#[case(300)]
fn a_fleet_tries_a_request_once_after_each_quarantine(#[case] size: usize) {
    let mut f = Fleet::new(size);
    // Quarantines of 30 s, 2 min and 8 min end in this time.
    let mut n = 0;
    for _ in 0..1800 {
        f.crash_at(n % size);
        n += 7;
        f.advance(ms(200));
    }
    assert!((5..=6).contains(&f.runs), "{} runs", f.runs);
}

/// Prevents a crash of all servers from making each VM tell the whole fleet of every fan-out that it had.
#[test]
fn the_verdicts_that_a_vm_publishes_are_limited() {
    let shards = ["s0", "s1", "s2"];
    let routes = vec![page_route(&shards, 0.6)];
    let mut w = World::new(table(1, routes)).with_server_pairs(&shards);
    w.on(Event::Vms(fleet(7)));
    for n in 0..40 {
        w.arrive(&format!("/page/{n}"), ms(2500));
    }
    while let Some(server) = w.open.front().map(|d| d.server.name.to_string()) {
        w.crash_under_attempt(&server);
    }
    assert!(
        (1..=8).contains(&w.quarantined.len()),
        "{}",
        w.quarantined.len()
    );
}

/// Prevents a crash from going unnoticed because the server's entry had already left.
#[test]
fn a_crash_of_a_server_that_has_left_is_evidence() {
    let mut w = world();
    w.on(Event::Vms(fleet(7)));
    w.arrive(PATH, ms(8000));
    let server = w.open[0].server.name.clone();
    w.on(Event::EntryMissing(server.clone()));
    w.advance(ms(6000));
    w.end_attempt(server.as_str(), AttemptEnd::Broken);
    assert_eq!(w.crash_reports.len(), 1);
}

/// Prevents a newer verdict in the directory from being removed because an older one was released.
#[test]
fn a_newer_listed_verdict_replaces_a_release() {
    let mut w = world();
    let release = Verdict {
        version: 2,
        strikes: 0,
        ..Verdict::first(w.fingerprint(PATH))
    };
    let later = Verdict {
        version: 3,
        strikes: 1,
        ..release.clone()
    };
    w.on(Event::Verdicts(vec![release], VerdictOrigin::Peer));
    w.on(Event::Verdicts(vec![later], VerdictOrigin::Directory));
    assert_eq!(w.unlisted, []);
    let seq = w.arrive(PATH, ms(8000));
    assert!(refused_for(&w, seq).is_some());
}

/// Prevents a request that only one shard never answers from being quarantined for longer because another shard crashed.
#[test]
fn a_crash_of_another_shard_on_probation_proves_nothing() {
    let shards = ["s0", "s1", "s2"];
    let routes = vec![page_route(&shards, 0.3)];
    let mut w = World::new(table(1, routes)).with_server_pairs(&shards);
    let verdict = Verdict {
        service: Some("s0".parse().expect("a name")),
        ..Verdict::first(w.fingerprint("/page/x"))
    };
    w.on(Event::Verdicts(vec![verdict], VerdictOrigin::Peer));
    w.advance(ms(31_000));
    let seq = w.arrive("/page/x", ms(2500));
    while w.report(seq).is_none() {
        let server = w.open[0].server.name.to_string();
        match &server[..2] {
            "s0" => w.end_attempt(&server, AttemptEnd::NotSent),
            "s1" => w.crash_under_attempt(&server),
            _ => w.end_attempt(&server, success(b'a')),
        }
    }
    assert_eq!(w.quarantined, []);
}
