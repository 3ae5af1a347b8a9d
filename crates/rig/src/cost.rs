//! `gs-rig cost`: measures processor time per part, added latency, memory, and time to ready.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use gs_rig::corpus::Corpus;
use gs_rig::deploy::Shape;
use gs_rig::deployment::Deployment;
use gs_rig::deployment::DeploymentOptions;
use gs_rig::index::SnapshotIndex;
use gs_rig::load;
use gs_rig::load::Caller;
use gs_rig::load::LoadSpec;
use gs_rig::load::Tally;
use gs_rig::load::Targets;
use gs_rig::net::Net;
use gs_rig::server::Servers;
use gs_types::prelude::*;
use hdrhistogram::Histogram;
use serde::Deserialize;
use tokio::task::JoinSet;

use crate::args::CostArgs;

/// The number of lookups in flight for the memory measurement.
const IN_FLIGHT_LOOKUPS: usize = 2000;

/// The duration of the load before anything is measured.
const WARM_UP_DURATION: Duration = Duration::from_secs(2);

/// The output of `gs-rig bare`.
#[derive(Debug, Deserialize)]
struct BareReport {
    lookups: u64,
    parts: u64,
    cpu_us: u64,
    median_us: u64,
}

/// Runs the measurements and prints them as Markdown lines.
pub async fn run(args: &CostArgs) -> Result<ExitCode> {
    let corpus = Arc::new(Corpus::read(&args.common.text)?);
    measure_startup(args, &corpus).await?;
    measure_cpu(args, &corpus).await?;
    measure_memory(args, &corpus).await?;
    Ok(ExitCode::SUCCESS)
}

fn options(args: &CostArgs, corpus: &Arc<Corpus>, shape: Shape, service: u64) -> DeploymentOptions {
    options_with(args, corpus, shape, service, "")
}

fn options_with(
    args: &CostArgs,
    corpus: &Arc<Corpus>,
    shape: Shape,
    service: u64,
    settings: &str,
) -> DeploymentOptions {
    DeploymentOptions::builder()
        .shape(shape)
        .corpus(corpus.clone())
        .bin(args.common.bin.clone())
        .seed(args.common.seed)
        .service_time(Duration::from_millis(service))
        .settings(format!("[log]\nlevel = \"warn\"\n{settings}"))
        .build()
}

/// Measures the time to ready of VMs that start together, and their memory when idle.
async fn measure_startup(args: &CostArgs, corpus: &Arc<Corpus>) -> Result<()> {
    let d = Deployment::start(options(args, corpus, args.common.shape.clone(), 4)).await?;
    let mut ready: Vec<Duration> = d.times_to_ready.clone();
    ready.sort();
    tokio::time::sleep(WARM_UP_DURATION).await;
    let mut resident = Vec::new();
    for vm in &d.vms {
        resident.push(vm.usage()?.resident.0 >> 20);
    }
    println!(
        "- start to ready, nine together: median {:.0?}, last {:.0?}",
        ready[ready.len() / 2],
        ready[ready.len() - 1]
    );
    println!("- resident memory idle, MB by VM: {resident:?}");
    Ok(())
}

/// Compares the processor time of one VM under load with a bare client of the same fan-out.
async fn measure_cpu(args: &CostArgs, corpus: &Arc<Corpus>) -> Result<()> {
    let shape = Shape {
        vms_per_site: 1,
        to_callers: Duration::ZERO,
        ..args.common.shape.clone()
    };
    let d = Deployment::start(options(args, corpus, shape, 4)).await?;
    load_one(args, &d, WARM_UP_DURATION).await;
    let before = d.vms[0].usage()?;
    let runs = d.servers.counts().summary().total.runs;
    let tally = load_one(args, &d, args.common.length).await;
    let used = d.vms[0].usage()?.cpu - before.cpu;
    let parts = d.servers.counts().summary().total.runs - runs;
    let row = tally.row("quote");
    let median = |h: &Histogram<u64>| h.value_at_quantile(0.5) as f64 / 1000.0;
    let (slowest, added) = (median(&tally.slowest), median(&tally.added));
    let per_part = used.as_micros() as f64 / parts.max(1) as f64;
    println!(
        "- one VM at {}/s, {} shards: {} lookups, {parts} parts, {per_part:.1} us of processor time a part, {:.0} us a lookup",
        args.rate,
        d.shape.groups[0].services,
        tally.asked,
        used.as_micros() as f64 / tally.asked.max(1) as f64
    );
    println!(
        "- latency: p50 {:.1} ms; slowest part p50 {:.1} ms; added p50 {:.2} ms",
        row.p50, slowest, added
    );
    let bare = run_bare(args, corpus).await?;
    let bare_part = bare.cpu_us as f64 / bare.parts.max(1) as f64;
    println!(
        "- bare client, same fan-out: {} lookups, {} parts, {bare_part:.1} us a part, p50 {:.1} ms",
        bare.lookups,
        bare.parts,
        bare.median_us as f64 / 1000.0
    );
    println!(
        "- ratio of processor time a part: {:.2}",
        per_part / bare_part
    );
    Ok(())
}

async fn load_one(args: &CostArgs, d: &Deployment, length: Duration) -> Tally {
    let name = d.shape.lookups[0].name;
    let spec = LoadSpec::builder()
        .rate(args.rate)
        .length(length)
        .seed(args.common.seed)
        .build();
    let targets = Arc::new(Targets::new(vec![d.vms[0].plan().callers]));
    let mix = d.mix(args.common.seed).only(&[name]);
    let mut tallies = load::run(spec, mix, targets, Some(d.checker())).await;
    tallies.remove(name).unwrap_or_default()
}

/// Runs this program's bare client in its own process, so that its processor time can be measured.
///
/// It uses separate servers with the same parameters, as the VMs occupy all connections to their own servers.
async fn run_bare(args: &CostArgs, corpus: &Arc<Corpus>) -> Result<BareReport> {
    let failed = |e: String| Error::new(ErrorKind::Io, e).at("run the bare client");
    let shape = &args.common.shape;
    let group = &shape.groups[0];
    let net = Arc::new(Net::with_unused_network(shape.between));
    let mut specs = group.servers(Duration::from_millis(4), args.common.seed)?;
    specs.iter_mut().for_each(|s| s.connections = u32::MAX);
    let own = Servers::start(net.clone(), specs).await?;
    let index = SnapshotIndex::build(corpus, SnapshotId(1), group.services);
    own.publish(&group.name.parse()?, index);
    let servers: Vec<String> = (0..group.services)
        .filter_map(|i| format!("{}-{i}-{}", group.name, i % 2).parse().ok())
        .filter_map(|name| own.addr(&name))
        .map(|a| a.to_string())
        .collect();
    let mut command =
        std::process::Command::new(std::env::current_exe().map_err(|e| failed(e.to_string()))?);
    command
        .args(["bare", "--server", &servers.join(",")])
        .args(["--source", &net.ip(1, 200).to_string()])
        .args(["--rate", &args.rate.to_string()])
        .args(["--seconds", &args.common.length.as_secs_f64().to_string()])
        .args(["--seed", &args.common.seed.to_string()]);
    let out = tokio::task::spawn_blocking(move || command.output()).await;
    let out = out
        .map_err(|e| failed(e.to_string()))?
        .map_err(|e| failed(e.to_string()))?;
    serde_json::from_slice(&out.stdout).map_err(|e| {
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        failed(format!("{e}: {text}"))
    })
}

/// Measures the memory of one VM with many lookups in flight that wait for slow servers.
async fn measure_memory(args: &CostArgs, corpus: &Arc<Corpus>) -> Result<()> {
    let mut shape = Shape {
        vms_per_site: 1,
        to_callers: Duration::ZERO,
        ..args.common.shape.clone()
    };
    for l in &mut shape.lookups {
        l.deadline = Duration::from_secs(20);
    }
    // Admission control of the default policy refuses some of these lookups; the baseline policy admits them all.
    let hold_all = "[tuning]\npolicy = \"baseline\"\n";
    let d = Deployment::start(options_with(args, corpus, shape, 2000, hold_all)).await?;
    let vm = &d.vms[0];
    let idle = vm.usage()?.resident;
    let name = d.shape.lookups[0].name;
    let mut mix = d.mix(args.common.seed).only(&[name]);
    let caller = Caller::new();
    let mut requests = JoinSet::new();
    for _ in 0..IN_FLIGHT_LOOKUPS {
        let (caller, request, addr) = (caller.clone(), mix.draw(), vm.plan().callers);
        requests.spawn(async move { caller.request(addr, &request).await });
    }
    tokio::time::sleep(WARM_UP_DURATION).await;
    let busy = vm.usage()?.resident;
    let mut ended: BTreeMap<String, usize> = BTreeMap::new();
    while let Some(Ok(reply)) = requests.try_join_next() {
        let what = reply
            .refusal()
            .map_or_else(|| "answered".to_owned(), |r| r.reason.to_string());
        *ended.entry(what).or_default() += 1;
    }
    println!(
        "- resident memory of one VM: {} MB idle, {} MB with {} lookups of {} shards in flight; ended before: {ended:?}",
        idle.0 >> 20,
        busy.0 >> 20,
        IN_FLIGHT_LOOKUPS - ended.values().sum::<usize>(),
        d.shape.groups[0].services
    );
    Ok(())
}
