//! `gs-rig bare`: the same fan-out with a plain hyper client, as the baseline for costs.

use std::process::ExitCode;
use std::time::Duration;

use bytes::Bytes;
use gs_rig::process::usage_of;
use gs_types::prelude::*;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::args::BareArgs;

type Http = Client<HttpConnector, Full<Bytes>>;

/// Sends fan-outs at a given mean rate and prints parts, processor time and median latency as JSON.
pub async fn run(args: &BareArgs) -> Result<ExitCode> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_local_address(Some(args.source));
    let http: Http = Client::builder(TokioExecutor::new()).build(connector);
    let before = usage_of(std::process::id())?;
    let latencies = fan_outs(args, &http).await;
    let after = usage_of(std::process::id())?;
    let mut sorted: Vec<u64> = latencies.iter().map(|l| l.1).collect();
    sorted.sort_unstable();
    let median = sorted.get(sorted.len() / 2).copied().unwrap_or(0);
    let report = json!({
        "lookups": sorted.len(),
        "parts": latencies.iter().map(|l| l.0).sum::<u64>(),
        "cpu_us": u64::try_from((after.cpu - before.cpu).as_micros()).unwrap_or(0),
        "median_us": median,
    });
    println!("{report}");
    Ok(ExitCode::SUCCESS)
}

/// Returns the number of parts and the duration in microseconds of each fan-out.
async fn fan_outs(args: &BareArgs, http: &Http) -> Vec<(u64, u64)> {
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let mut running = JoinSet::new();
    let mut ended = Vec::new();
    let start = Instant::now();
    let mut due = Duration::ZERO;
    for seq in 0_u64.. {
        let u: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        due += Duration::from_secs_f64(-u.ln() / args.rate);
        if due > args.length {
            break;
        }
        tokio::time::sleep_until(start + due).await;
        running.spawn(fan_out(http.clone(), args.servers.clone(), seq));
        while let Some(Ok(l)) = running.try_join_next() {
            ended.push(l);
        }
    }
    while let Some(Ok(l)) = running.join_next().await {
        ended.push(l);
    }
    ended
}

async fn fan_out(http: Http, servers: Vec<std::net::SocketAddr>, seq: u64) -> (u64, u64) {
    let start = Instant::now();
    let mut parts = JoinSet::new();
    for (shard, addr) in servers.iter().enumerate() {
        let req = Request::post(format!("http://{addr}/search"))
            .header("x-attempt", format!("bare/1/{seq}/{shard}/0"))
            .header("x-snapshot", "1")
            .header("x-shard", shard.to_string())
            .header("x-page", "10")
            .header("x-budget-ms", "1000")
            .body(Full::new(Bytes::from_static(b"gentiansill query")));
        let Ok(req) = req else { continue };
        let http = http.clone();
        parts.spawn(async move {
            let resp = http.request(req).await.ok()?;
            let ok = resp.status().is_success();
            resp.into_body().collect().await.ok()?;
            ok.then_some(())
        });
    }
    let mut complete = 0;
    while let Some(part) = parts.join_next().await {
        complete += u64::from(matches!(part, Ok(Some(()))));
    }
    let duration_us = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
    (complete, duration_us)
}
