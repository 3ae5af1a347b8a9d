//! Measures patches on nine VMs: the time from an operator's call until every VM has confirmed that the
//! version is in force, and the number of calls to the platform.
//!
//! `cargo run --release -p gs-rig --example patches -- target/release/gentiansill 200`

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_rig::corpus::Corpus;
use gs_rig::deploy::Shape;
use gs_rig::deployment::Deployment;
use gs_rig::deployment::DeploymentOptions;
use gs_rig::operator::Operator;
use gs_rig::operator::page_patch;
use gs_types::prelude::*;
use hdrhistogram::Histogram;

#[tokio::main]
async fn main() -> Result<()> {
    let mut args = std::env::args().skip(1);
    let usage = || Error::new(ErrorKind::BadInput, "usage: patches GENTIANSILL HOW-MANY");
    let bin = PathBuf::from(args.next().ok_or_else(usage)?);
    let count = args.next().and_then(|n| n.parse().ok());
    let count = count.ok_or_else(usage)?;
    println!("| deployment | patches | p50 | p99 | longest | writes | reads | watches |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let shapes = [
        ("Derwent Quill", Shape::derwent_quill()),
        ("Lankapura", Shape::lankapura()),
    ];
    for (name, shape) in shapes {
        measure(name, shape, bin.clone(), count).await?;
    }
    Ok(())
}

/// Sends patches one after the other, to each VM in turn, and prints a line of the table.
async fn measure(name: &str, shape: Shape, bin: PathBuf, count: u64) -> Result<()> {
    let options = DeploymentOptions::builder()
        .shape(shape.clone())
        .corpus(Arc::new(Corpus::sample(400)))
        .bin(bin)
        .settings("[log]\nlevel = \"warn\"\n")
        .build();
    let d = Deployment::start(options).await?;
    let before = d.platform.counts();
    let times = patches(&d, &shape, count).await?;
    let after = d.platform.counts();
    let ms = |us: u64| format!("{:.1} ms", Duration::from_micros(us).as_secs_f64() * 1e3);
    println!(
        "| {name} | {count} | {} | {} | {} | {} | {} | {} |",
        ms(times.value_at_quantile(0.5)),
        ms(times.value_at_quantile(0.99)),
        ms(times.max()),
        after.writes - before.writes,
        after.reads - before.reads,
        after.watches - before.watches,
    );
    Ok(())
}

/// Returns the times of the patches in microseconds; fails if one is not accepted and in force at every VM.
async fn patches(d: &Deployment, shape: &Shape, count: u64) -> Result<Histogram<u64>> {
    let operator = Operator::new();
    let failed = |e: String| Error::new(ErrorKind::BadInput, e);
    let mut times = Histogram::new(3).map_err(|e| failed(e.to_string()))?;
    let lookup = shape.lookups[0].name;
    let mut vms = d.vms.iter().cycle();
    for i in 0..count {
        let page = 10 + u32::try_from(i % 20).unwrap_or(0);
        let patch = page_patch(shape, &format!("patch-{i}"), 1 + i, lookup, page)?;
        let admin = vms.next().map(|vm| vm.plan().admin);
        let admin = admin.ok_or_else(|| failed("no VM".into()))?;
        let start = Instant::now();
        let outcome = operator.propose(admin, &patch).await?;
        let took = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
        let everywhere = outcome["in_force"].as_array().map(Vec::len) == Some(d.vms.len());
        if outcome["verdict"] != "accepted" || !everywhere {
            return Err(failed(outcome.to_string()));
        }
        let _ = times.record(took);
    }
    Ok(times)
}
