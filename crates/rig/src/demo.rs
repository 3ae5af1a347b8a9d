//! `gs-rig demo`: runs a deployment under load and checks every page.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_rig::corpus::Corpus;
use gs_rig::deployment::Deployment;
use gs_rig::deployment::DeploymentOptions;
use gs_rig::load;
use gs_rig::load::LoadSpec;
use gs_rig::load::Tally;
use gs_types::prelude::*;

use crate::args::DemoArgs;

/// The interval between two lines of progress.
const SLICE_DURATION: Duration = Duration::from_secs(2);

/// The settings of the demo's processes that differ from the defaults.
const SETTINGS: &str = "[log]\nlevel = \"info\"\n";

/// Runs the demo; succeeds only if every page was right.
pub async fn run(args: &DemoArgs) -> Result<ExitCode> {
    let c = &args.common;
    let corpus = Arc::new(Corpus::read(&c.text)?);
    println!(
        "demo: indexed {} paragraphs under {}",
        corpus.docs().len(),
        c.text.display()
    );
    let started = Instant::now();
    let options = DeploymentOptions::builder()
        .shape(c.shape.clone())
        .corpus(corpus)
        .bin(c.bin.clone())
        .seed(c.seed)
        .settings(SETTINGS)
        .build();
    let d = Deployment::start(options).await?;
    let control = d.servers.serve_control(args.control).await?;
    println!(
        "demo: {} backend servers and {} VMs in {} are ready after {:.1?}; faults by POST http://{control}/control",
        d.servers.names().count(),
        d.vms.len(),
        c.shape.data_centres.join(", "),
        started.elapsed(),
    );
    let tallies = run_slices(args, &d).await;
    Ok(print_report(&d, &tallies))
}

/// Sends the load in slices and prints a line of progress after each.
async fn run_slices(args: &DemoArgs, d: &Deployment) -> BTreeMap<&'static str, Tally> {
    let mut sum: BTreeMap<&'static str, Tally> = BTreeMap::new();
    let c = &args.common;
    let mut left = c.length;
    let mut seed = c.seed;
    while !left.is_zero() {
        let length = left.min(SLICE_DURATION);
        left -= length;
        let spec = LoadSpec::builder()
            .rate(args.rate)
            .length(length)
            .seed(seed)
            .to_callers(c.shape.to_callers)
            .build();
        let tallies = load::run(spec, d.mix(seed), d.targets(false), Some(d.checker())).await;
        for (name, t) in &tallies {
            sum.entry(name).or_default().add(t);
        }
        seed += 1;
        let all = sum_tallies(&sum);
        println!(
            "demo: {:>4.1}s asked={} answered={} wrong={}",
            (c.length - left).as_secs_f64(),
            all.asked,
            all.answered,
            all.wrong()
        );
    }
    sum
}

fn sum_tallies(tallies: &BTreeMap<&'static str, Tally>) -> Tally {
    let mut all = Tally::default();
    tallies.values().for_each(|t| all.add(t));
    all
}

fn print_report(d: &Deployment, tallies: &BTreeMap<&'static str, Tally>) -> ExitCode {
    let all = sum_tallies(tallies);
    let mut rows: Vec<_> = tallies.iter().map(|(name, t)| t.row(name)).collect();
    rows.push(all.row("all"));
    println!("\n{}", load::table(&rows));
    let s = d.servers.counts().summary();
    println!(
        "servers: runs={} shed={} opened={} over-limit={} late-offers={} keys-run={} keys-run-twice={}",
        s.total.runs,
        s.total.shed,
        s.total.opened,
        s.total.over_limit,
        s.total.late_offers,
        s.keys_run,
        s.keys_doubled
    );
    println!(
        "refusals: not-run={:?} unknown={:?}",
        all.not_run, all.unknown
    );
    println!("wrong answers: {} {:?}", all.wrong(), all.faults);
    // A lookup without a single page shows nothing about it, so it fails the demo too.
    let has_lookup_without_page = tallies.values().any(|t| t.answered == 0);
    if all.wrong() > 0 || s.keys_doubled > 0 || has_lookup_without_page || tallies.is_empty() {
        println!("demo: FAILED");
        return ExitCode::FAILURE;
    }
    println!("demo: every page was right");
    ExitCode::SUCCESS
}
