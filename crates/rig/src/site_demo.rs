//! `gs-rig site`: runs relaying VMs on a stand-in of the users' platform and checks every page.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;

use gs_rig::site::CallOutcome;
use gs_rig::site::Site;
use gs_rig::site::SiteCaller;
use gs_rig::site::SiteOptions;
use gs_types::prelude::*;
use tokio::time::Instant;

use crate::args::SoakArgs;

/// The delay between two requests of the only caller.
const REQUEST_DELAY: Duration = Duration::from_millis(5);

/// Sends requests to the VMs and routes in turn; exits with 1 if an answer was wrong or none was complete.
pub(crate) async fn run(args: &SoakArgs) -> Result<ExitCode> {
    std::fs::create_dir_all(&args.dir)
        .map_err(|e| Error::new(ErrorKind::Io, e.to_string()).at("make a folder"))?;
    let options = SiteOptions::builder()
        .bin(args.bin.clone())
        .dir(args.dir.clone())
        .vms(args.vms)
        .shards(args.shards)
        .build();
    let site = Site::start(options).await?;
    println!(
        "{} VMs, {} backend servers, {} s",
        args.vms,
        site.backends.len(),
        args.seconds
    );
    let caller = SiteCaller::new();
    let end = Instant::now() + Duration::from_secs(args.seconds);
    let mut ends: BTreeMap<(String, &'static str), u64> = BTreeMap::new();
    let mut wrong = Vec::new();
    let mut latencies = Vec::new();
    for n in 0.. {
        if Instant::now() > end {
            break;
        }
        let route = &site.config.routes[n % site.config.routes.len()];
        let vm = site.vms[n % site.vms.len()].plan().callers;
        let started = Instant::now();
        let answer = caller.request(vm, route, &format!("demo-{n}")).await;
        latencies.push(started.elapsed());
        let kind = match answer.outcome {
            CallOutcome::Right(0) => "whole",
            CallOutcome::Right(_) => "partial",
            CallOutcome::NotRun(_) => "not-run",
            CallOutcome::Failed(_) => "failed",
            CallOutcome::Unreached => "unreached",
            CallOutcome::Cut => "cut",
            CallOutcome::Wrong(ref how) => {
                wrong.push(how.clone());
                "wrong"
            }
        };
        *ends.entry((route.prefix.clone(), kind)).or_default() += 1;
        tokio::time::sleep(REQUEST_DELAY).await;
    }
    latencies.sort_unstable();
    for ((prefix, kind), n) in &ends {
        println!("{prefix:8} {kind:8} {n}");
    }
    if let Some(median) = latencies.get(latencies.len() / 2) {
        println!("median {:.1} ms", median.as_secs_f64() * 1e3);
    }
    wrong.iter().for_each(|w| println!("wrong: {w}"));
    let is_any_complete = ends.keys().any(|(_, kind)| *kind == "whole");
    Ok(ExitCode::from(u8::from(
        !wrong.is_empty() || !is_any_complete,
    )))
}
