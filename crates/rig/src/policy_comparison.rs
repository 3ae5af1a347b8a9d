//! `gs-rig table`: compares policies under each scenario, with the same seed and load.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use gs_rig::corpus::Corpus;
use gs_rig::deployment::Deployment;
use gs_rig::deployment::DeploymentOptions;
use gs_rig::load;
use gs_rig::load::LoadSpec;
use gs_rig::load::Plot;
use gs_rig::load::Resends;
use gs_rig::load::Row;
use gs_rig::load::Series;
use gs_rig::load::Tally;
use gs_rig::operator::Operator;
use gs_types::prelude::*;
use strum::IntoEnumIterator;

use crate::args::TableArgs;
use crate::scenario::Scenario;

/// The duration of the load before faults are injected and requests are counted.
const WARM_UP_DURATION: Duration = Duration::from_secs(2);

/// In scenarios with poisoned lookups, one out of this many lookups is poisoned.
const POISON_EVERY: u32 = 100;

/// The measurement of one scenario under one policy.
struct Measurement {
    scenario: Scenario,
    policy: String,
    row: Row,
    tally: Tally,
    opened: u64,
    crashes: u64,
    engines: Engines,
}

/// The counters of the engines summed over all VMs, including the warm-up.
#[derive(Clone, Copy, Debug, Default)]
struct Engines {
    attempts: u64,
    hedges: u64,
    hedges_won: u64,
    retries: u64,
    resends: u64,
    extra_refused: u64,
}

/// Runs the comparison and prints it as Markdown.
pub async fn run(args: &TableArgs) -> Result<ExitCode> {
    let corpus = Arc::new(Corpus::read(&args.common.text)?);
    let mut lines = Vec::new();
    for scenario in Scenario::iter() {
        let wanted =
            args.scenarios.is_empty() || args.scenarios.iter().any(|s| s == scenario.name());
        if !wanted {
            continue;
        }
        for policy in &args.policies {
            let line = measure(args, &corpus, scenario, policy).await?;
            print_line(&line);
            lines.push(line);
        }
    }
    print_table(args, &lines);
    if let Some(path) = &args.svg {
        let svg = plot(args, &lines).svg();
        std::fs::write(path, svg)
            .map_err(|e| Error::new(ErrorKind::Io, e.to_string()).at("write the plot"))?;
    }
    let wrong: u64 = lines.iter().map(|l| l.row.wrong).sum();
    Ok(if wrong == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

async fn measure(
    args: &TableArgs,
    corpus: &Arc<Corpus>,
    scenario: Scenario,
    policy: &str,
) -> Result<Measurement> {
    let c = &args.common;
    let settings = format!("[tuning]\npolicy = \"{policy}\"\n\n[log]\nlevel = \"warn\"\n");
    let options = DeploymentOptions::builder()
        .shape(c.shape.clone())
        .corpus(corpus.clone())
        .bin(c.bin.clone())
        .service_time(scenario.service_time())
        .seed(c.seed)
        .settings(settings)
        .build();
    let d = Deployment::start(options).await?;
    run_load(&d, args, scenario, WARM_UP_DURATION, c.seed).await;
    let before = d.servers.counts().summary().total;
    let (injected, tally) = tokio::join!(
        scenario.inject(&d, c.length),
        run_load(&d, args, scenario, c.length, c.seed + 1),
    );
    injected?;
    let after = d.servers.counts().summary().total;
    Ok(Measurement {
        scenario,
        policy: policy.to_owned(),
        row: tally.row(&format!("{}, {policy}", scenario.name())),
        tally,
        opened: after.opened - before.opened,
        crashes: after.crashes - before.crashes,
        engines: engines(&d).await,
    })
}

async fn run_load(
    d: &Deployment,
    args: &TableArgs,
    scenario: Scenario,
    length: Duration,
    seed: u64,
) -> Tally {
    let resends = Resends {
        resends_max: 5,
        resend_delay: Duration::from_millis(200),
    };
    let spec = LoadSpec::builder()
        .rate(scenario.rate())
        .length(length)
        .seed(seed)
        .to_callers(args.common.shape.to_callers)
        .maybe_resends(scenario.has_resends().then_some(resends))
        .build();
    let mut mix = d.mix(args.common.seed);
    if scenario.is_one_lookup() {
        // An early end avoids most of the work, so such a lookup does not measure capacity.
        let lookup = d.shape.lookups.iter().find(|l| l.enough_at.is_none());
        mix = mix.only(&[lookup.map_or("", |l| l.name)]);
    }
    if let Some(word) = scenario.poison_word() {
        mix = mix.poisoned(word, POISON_EVERY);
    }
    let tallies = load::run(spec, mix, d.targets(false), Some(d.checker())).await;
    let mut all = Tally::default();
    tallies.values().for_each(|t| all.add(t));
    all
}

/// Sums the counters of all VMs that answer.
async fn engines(d: &Deployment) -> Engines {
    let operator = Operator::new();
    let mut sum = Engines::default();
    for vm in &d.vms {
        let dump = operator.dump(vm.plan().admin).await.unwrap_or_default();
        let count = |name: &str| dump["engine"]["counters"][name].as_u64().unwrap_or(0);
        log::info!(
            "event=engine vm={} groups={} extra-left={}",
            vm.plan().name,
            dump["engine"]["groups"],
            dump["engine"]["extra_left"]
        );
        sum.attempts += count("attempts");
        sum.hedges += count("hedges");
        sum.hedges_won += count("hedges_won");
        sum.retries += count("retries");
        sum.resends += count("resends");
        sum.extra_refused += count("extra_refused");
    }
    sum
}

fn print_line(line: &Measurement) {
    eprintln!(
        "table: {} asked={} whole={} p50={:.1} p99={:.1} p99.9={:.1} coverage={:.4} extra={:.2}% opened={} crashes={} wrong={} not-run={:?} unknown={:?} missing={:?} faults={:?} {:?}",
        line.row.name,
        line.row.asked,
        line.row.whole,
        line.row.p50,
        line.row.p99,
        line.row.p999,
        line.row.coverage,
        line.row.extra,
        line.opened,
        line.crashes,
        line.row.wrong,
        line.tally.not_run,
        line.tally.unknown,
        line.tally.missing,
        line.tally.faults,
        line.engines,
    );
}

fn print_table(args: &TableArgs, lines: &[Measurement]) {
    let rows: Vec<Row> = lines.iter().map(|l| l.row.clone()).collect();
    println!(
        "{}, {:?} a run, seed {}\n",
        args.common.deployment, args.common.length, args.common.seed
    );
    println!("{}", load::table(&rows));
    println!(
        "| what | connections opened | crashes | refusals | shards missing |\n|---|---:|---:|---|---|"
    );
    for l in lines {
        println!(
            "| {} | {} | {} | not-run {:?}, unknown {:?} | {:?} |",
            l.row.name, l.opened, l.crashes, l.tally.not_run, l.tally.unknown, l.tally.missing
        );
    }
}

fn plot(args: &TableArgs, lines: &[Measurement]) -> Plot {
    let mut scenarios: Vec<String> = Vec::new();
    for l in lines {
        let name = l.scenario.name().to_owned();
        if !scenarios.contains(&name) {
            scenarios.push(name);
        }
    }
    let series = args.policies.iter().map(|policy| Series {
        name: policy.clone(),
        values: lines
            .iter()
            .filter(|l| l.policy == *policy)
            .map(|l| l.row.p99)
            .collect(),
    });
    Plot {
        title: format!("p99 in ms, {}", args.common.deployment),
        scenarios,
        series: series.collect(),
    }
}
