//! Replays of traces that processes recorded under faults.

use std::fs::File;
use std::io::BufReader;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use gs_rig::control::Command;
use gs_rig::control::ReplyFault;
use gs_rig::deploy::Shape;
use gs_rig::deployment::Deployment;
use gs_trace::Checker;
use gs_trace::Expectations;
use gs_trace::OutcomeKind;
use gs_trace::Reader;
use gs_trace::Replay;
use gs_types::prelude::*;
use rstest::rstest;
use rustix::process::Signal;

use crate::support::run_load;
use crate::support::start;
use crate::support::wait_until;

/// Replays a trace, checks the promises and the recorded actions, and returns the number of answered lookups.
fn replay(trace: &Path) -> usize {
    let file = File::open(trace).expect("a trace");
    let reader = Reader::new(BufReader::new(file)).expect("a header");
    let engine = gs_trace::build_engine(reader.header()).expect("an engine");
    let mut checker = Checker::new(Expectations::default()).exact();
    for step in Replay::new(reader, engine, Instant::now()) {
        let step = step.expect("a step");
        checker
            .on(&step)
            .expect("the same actions, and the promises hold");
    }
    checker.end().expect("the promises hold");
    assert!(
        checker.compared_steps() > 100,
        "{}",
        checker.compared_steps()
    );
    checker.count(OutcomeKind::Answered)
}

/// Drains a server, kills and restarts another, and makes servers send malformed replies or those of other attempts.
async fn inject_faults(d: &Deployment) {
    let server = |name: &str| name.parse::<ServerName>().expect("a name");
    let (draining, crashing) = (server("bulletin-desk-0-0"), server("bulletin-desk-1-1"));
    wait_until("work on the server", async || {
        d.servers.counts().of(&draining).runs > 3
    })
    .await;
    let bad_replies = |how| Command::Spoil {
        server: None,
        how,
        share: 0.05,
    };
    let faults = [
        Command::Drain { server: draining },
        Command::Kill {
            server: crashing.clone(),
        },
        bad_replies(ReplyFault::Garbled),
        Command::Restart { server: crashing },
        bad_replies(ReplyFault::Crossed),
    ];
    for fault in faults {
        let runs = || d.servers.counts().summary().total.runs;
        let before = runs();
        d.servers.apply(fault).await.expect("applied");
        wait_until("work under the fault", async || runs() > before + 60).await;
    }
}

/// Prevents traces, recorded while servers drain, crash and send bad replies, that replay differently: a decision might
/// depend on input that is not recorded, or that is recorded in another order.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_processes_recorded_under_faults_replays_the_same() {
    let settings = "[record]\nfile = \"{vm}.trace\"\n[shutdown]\nlag = \"100ms\"\n";
    let mut d = start(Shape::tiny(), settings).await;
    let (tally, ()) = tokio::join!(
        run_load(&d, d.targets(false), 40.0, Duration::from_secs(4)),
        inject_faults(&d)
    );
    assert!(tally.answered > 100, "{tally:?}");
    for vm in &mut d.vms {
        vm.signal(Signal::TERM).expect("a running process");
        let status = vm.wait_for_exit(Duration::from_secs(40)).await;
        assert!(status.expect("it exits").success());
    }
    let answered: usize = d
        .vms
        .iter()
        .map(|vm| {
            let name = &vm.plan().name;
            replay(&d.log_of(name).with_file_name(format!("{name}.trace")))
        })
        .sum();
    assert_eq!(answered as u64, tally.answered);
}
