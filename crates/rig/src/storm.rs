//! `gs-rig storm`: measures goodput by load, and the recovery after a storm of resends.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use gs_rig::corpus::Corpus;
use gs_rig::deployment::Deployment;
use gs_rig::deployment::DeploymentOptions;
use gs_rig::load::Caller;
use gs_rig::load::LookupRequest;
use gs_rig::operator::Operator;
use gs_types::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::args::CommonArgs;

/// The service time with which a shard of 2 servers × 2 slots runs [`CAPACITY_PER_S`] lookups per second.
const SERVICE_TIME: Duration = Duration::from_millis(80);

/// The capacity of the group's servers, in lookups per second.
const CAPACITY_PER_S: f64 = 50.0;

/// The loads of the sweep, as fractions of the capacity.
const SWEEP_LOADS: [f64; 5] = [0.8, 1.0, 1.2, 1.5, 2.0];

/// The duration of the load before anything is counted.
const WARM_UP_DURATION: Duration = Duration::from_secs(2);

/// The duration that one line of a storm's table covers.
const SLICE_DURATION: Duration = Duration::from_millis(500);

/// The maximum number of resends of one request.
const RESENDS_MAX: u32 = 5;

/// The p99 latency that still counts as normal, as a multiple of that before the storm.
const NORMAL_LATENCY_FACTOR: f64 = 1.5;

/// The reaction of callers to a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResendPolicy {
    Once,
    ResendAtOnce,
    HonourRetryAfter,
}

/// A period of arrivals at one rate.
#[derive(Clone, Copy, Debug)]
struct Phase {
    load: f64,
    length: Duration,
    resend_policy: ResendPolicy,
}

/// One request or resend; times are measured from the start of the load.
#[derive(Clone, Copy, Debug)]
struct Sample {
    sent: Duration,
    ended: Duration,
    page: bool,
    complete: bool,
    refused: bool,
    wrong: bool,
}

/// Runs the sweep and the storms for both policies, and prints Markdown.
pub async fn run(c: &CommonArgs) -> Result<ExitCode> {
    let corpus = Arc::new(Corpus::read(&c.text)?);
    println!("{}, seed {}, one lookup\n", c.deployment, c.seed);
    let (mut wrong, peak) = sweep(c, &corpus).await?;
    println!("peak {peak:.1} whole pages a second: normal is 0.6 of it, the storm 3 times\n");
    for resend_policy in [
        ResendPolicy::Once,
        ResendPolicy::ResendAtOnce,
        ResendPolicy::HonourRetryAfter,
    ] {
        for policy in ["chosen", "baseline"] {
            wrong += storm(c, &corpus, peak / CAPACITY_PER_S, resend_policy, policy).await?;
        }
    }
    println!("wrong answers: {wrong}");
    Ok(ExitCode::from(u8::from(wrong > 0)))
}

async fn start_deployment(
    c: &CommonArgs,
    corpus: &Arc<Corpus>,
    policy: &str,
) -> Result<Deployment> {
    let options = DeploymentOptions::builder()
        .shape(c.shape.clone())
        .corpus(corpus.clone())
        .bin(c.bin.clone())
        .service_time(SERVICE_TIME)
        .seed(c.seed)
        .settings(format!(
            "[tuning]\npolicy = \"{policy}\"\n\n[log]\nlevel = \"warn\"\n"
        ))
        .build();
    Deployment::start(options).await
}

/// Measures the complete pages per second at each load, with a separate deployment for each, and returns the
/// number of wrong answers and the peak.
async fn sweep(c: &CommonArgs, corpus: &Arc<Corpus>) -> Result<(usize, f64)> {
    println!(
        "| policy | load | asked | refused | whole pages a second |\n|---|---:|---:|---:|---:|"
    );
    let (mut wrong, mut peak) = (0, 0.0_f64);
    for policy in ["chosen", "baseline"] {
        for load in SWEEP_LOADS {
            let d = start_deployment(c, corpus, policy).await?;
            let length = WARM_UP_DURATION + c.length;
            let resend_policy = ResendPolicy::Once;
            let phase = Phase {
                load,
                length,
                resend_policy,
            };
            let samples = send_phases(&d, &[phase], c.seed).await;
            wrong += count(&samples, |s| s.wrong);
            let sent: Vec<_> = sent_within(&samples, WARM_UP_DURATION, length).collect();
            // Counted by end time, so that a backlog served after the load does not count as goodput.
            let goodput = count(&samples, |s| {
                s.complete && s.ended >= WARM_UP_DURATION && s.ended < length
            });
            let goodput = goodput as f64 / c.length.as_secs_f64();
            peak = peak.max(goodput);
            println!(
                "| {policy} | {load} | {} | {} | {goodput:.1} |",
                sent.len(),
                sent.iter().filter(|s| s.refused).count(),
            );
        }
    }
    println!();
    Ok((wrong, peak))
}

/// Runs normal load, a storm and normal load again; prints a line for each half second and the time to recover.
///
/// With [`ResendPolicy::Once`] the load stays normal throughout, as a control run.
async fn storm(
    c: &CommonArgs,
    corpus: &Arc<Corpus>,
    unit: f64,
    resend_policy: ResendPolicy,
    policy: &str,
) -> Result<usize> {
    let d = start_deployment(c, corpus, policy).await?;
    let normal = |s| new_phase(0.6 * unit, s, ResendPolicy::Once);
    let storm = if resend_policy == ResendPolicy::Once {
        0.6
    } else {
        3.0
    };
    let phases = [
        normal(6),
        new_phase(storm * unit, 4, resend_policy),
        normal(6),
    ];
    let (begin, end) = (phases[0].length, phases[0].length + phases[1].length);
    let before_runs = d.servers.counts().summary().total;
    let samples = send_phases(&d, &phases, c.seed).await;
    let total = d.servers.counts().summary().total;
    let before = latency_ms(sent_within(&samples, WARM_UP_DURATION, begin), 0.99);
    println!(
        "storm of {resend_policy:?}, {policy}; p99 before {before:.1} ms; servers ran {} parts, shed {}, connections opened {}\n",
        total.runs - before_runs.runs,
        total.shed - before_runs.shed,
        total.opened - before_runs.opened
    );
    println!(
        "| from s | asked | whole | p50 ms | p99 ms | refused |\n|---:|---:|---:|---:|---:|---:|"
    );
    let (mut recovered, mut outside) = (None, 0);
    let mut at = Duration::ZERO;
    while at < end + phases[2].length {
        let slice = || sent_within(&samples, at, at + SLICE_DURATION);
        let (p99, refused) = (
            latency_ms(slice(), 0.99),
            slice().filter(|s| s.refused).count(),
        );
        println!(
            "| {:.1} | {} | {} | {:.1} | {p99:.1} | {refused} |",
            at.as_secs_f64(),
            slice().count(),
            slice().filter(|s| s.complete).count(),
            latency_ms(slice(), 0.5)
        );
        at += SLICE_DURATION;
        let is_normal = p99 > 0.0 && p99 <= NORMAL_LATENCY_FACTOR * before && refused == 0;
        if at > end && is_normal && recovered.is_none() {
            recovered = Some(at - end);
        }
        // The first 2 s after the storm are allowed for recovery.
        outside += usize::from(at > end + WARM_UP_DURATION && !is_normal);
    }
    println!(
        "\nback to normal at the end of the first such half second: {recovered:?} after the storm; later than 2 s after it {outside} of 8 are not normal; fill by VM {}\n",
        fill_by_vm(&d).await
    );
    Ok(count(&samples, |s| s.wrong))
}

/// Returns for each VM the fraction of its time that admission lets a lookup's parts need on average, or `?`.
async fn fill_by_vm(d: &Deployment) -> String {
    let mut out = Vec::new();
    for vm in &d.vms {
        let dump = Operator::new().dump(vm.plan().admin).await;
        let dump = dump.unwrap_or_default();
        let fill = dump["engine"]["admission"]["fill"].as_f64();
        out.push(fill.map_or("?".to_owned(), |f| format!("{f:.2}")));
    }
    out.join(" ")
}

fn new_phase(load: f64, seconds: u64, resend_policy: ResendPolicy) -> Phase {
    let length = Duration::from_secs(seconds);
    Phase {
        load,
        length,
        resend_policy,
    }
}

/// Sends the phases one after another in open loop, and waits until every request has ended.
async fn send_phases(d: &Deployment, phases: &[Phase], seed: u64) -> Vec<Sample> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    // An early end avoids most of the work, so such a lookup does not measure capacity.
    let lookup = d.shape.lookups.iter().find(|l| l.enough_at.is_none());
    let mut mix = d.mix(seed).only(&[lookup.map_or("", |l| l.name)]);
    let (caller, targets, checker) = (Caller::new(), d.targets(false), d.checker());
    let start = Instant::now();
    let mut requests = JoinSet::new();
    let (mut due, mut until) = (Duration::ZERO, Duration::ZERO);
    for phase in phases {
        until += phase.length;
        loop {
            let u: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
            due += Duration::from_secs_f64(-u.ln() / (phase.load * CAPACITY_PER_S));
            if due >= until {
                due = until;
                break;
            }
            tokio::time::sleep_until(start + due).await;
            let (request, resend_policy) = (mix.draw(), phase.resend_policy);
            let (caller, targets, checker) = (caller.clone(), targets.clone(), checker.clone());
            let delay = d.shape.to_callers;
            let send = move |request: LookupRequest| {
                let (caller, vm, checker) = (caller.clone(), targets.next(), checker.clone());
                async move {
                    let sent = start.elapsed();
                    tokio::time::sleep(delay).await;
                    let reply = caller
                        .request(vm.expect("a deployment has VMs"), &request)
                        .await;
                    tokio::time::sleep(delay).await;
                    let page = reply.page();
                    let sample = Sample {
                        sent,
                        ended: start.elapsed(),
                        page: page.is_some(),
                        complete: page.is_some_and(|a| a.coverage.is_complete()),
                        refused: page.is_none(),
                        wrong: checker.check(&request, &reply).is_some(),
                    };
                    (sample, reply.refusal().and_then(|r| r.retry_after))
                }
            };
            requests.spawn(async move {
                let mut samples = Vec::new();
                loop {
                    let (sample, retry_after) = send(request.clone()).await;
                    samples.push(sample);
                    let sent = u32::try_from(samples.len()).unwrap_or(u32::MAX);
                    if !sample.refused || resend_policy == ResendPolicy::Once || sent > RESENDS_MAX
                    {
                        return samples;
                    }
                    if resend_policy == ResendPolicy::HonourRetryAfter {
                        tokio::time::sleep(retry_after.unwrap_or_default()).await;
                    }
                }
            });
        }
    }
    requests.join_all().await.into_iter().flatten().collect()
}

fn sent_within(samples: &[Sample], from: Duration, to: Duration) -> impl Iterator<Item = &Sample> {
    samples
        .iter()
        .filter(move |s| s.sent >= from && s.sent < to)
}

fn count(samples: &[Sample], fits: impl Fn(&Sample) -> bool) -> usize {
    samples.iter().filter(|s| fits(s)).count()
}

/// Returns the latency of pages at this quantile, in milliseconds; 0 without pages.
fn latency_ms<'a>(samples: impl Iterator<Item = &'a Sample>, quantile: f64) -> f64 {
    let mut ms: Vec<f64> = samples
        .filter(|s| s.page)
        .map(|s| (s.ended - s.sent).as_secs_f64() * 1000.0)
        .collect();
    ms.sort_by(f64::total_cmp);
    let at = (quantile * ms.len() as f64).ceil() as usize;
    ms.get(at.saturating_sub(1)).copied().unwrap_or(0.0)
}
