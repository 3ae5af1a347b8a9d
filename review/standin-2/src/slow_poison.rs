//! A request that crashes its server comes again every 11 s.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, steady_load};
use crate::server::Server;
use crate::site::{HOST, PREFIX, Site, ZONES};

/// The time between two arrivals of the request.
const GAP: Duration = Duration::from_secs(11);
/// How often it arrives.
const ARRIVALS: usize = 9;
/// How long a server is away after a crash; PROTOCOL.md: "the server is back after some seconds".
const AWAY: Duration = Duration::from_secs(3);
/// `stable_window_ms` of the site.
const STABLE_WINDOW: Duration = Duration::from_secs(4);
/// The retries that RULES.md allows.
const RETRIES_MAX: usize = 3;
const SERVERS: usize = 7;
const WORK: Duration = Duration::from_millis(120);
const DEADLY: &str = "deadly";

/// Returns whether the rule was kept.
pub fn run(site: &Site, trouble: bool) -> std::io::Result<bool> {
    let record = Arc::clone(&site.record);
    let deadly = trouble.then_some(DEADLY);
    let mut servers: Vec<(usize, Arc<Server>)> = Vec::new();
    for n in 0..SERVERS {
        let id = format!("i-7f3a{n:02}00");
        servers.push((0, site.start_server(id, ZONES[n % ZONES.len()], WORK, deadly)?));
    }
    if !site.wait_until_ready() {
        return Err(std::io::Error::other("a VM is not ready"));
    }
    thread::sleep(Duration::from_secs(3));
    let client = Client::new(HOST, 1, Duration::from_secs(8), Arc::clone(&record));
    let stop = Arc::new(AtomicBool::new(false));
    let loads: Vec<_> = site
        .vms
        .iter()
        .enumerate()
        .map(|(n, vm)| {
            // 22.5 requests a second over all VMs, as on the site's sheet.
            let gap = Duration::from_millis(311);
            steady_load(&client, &stop, n, vm.plan.callers, gap, PREFIX)
        })
        .collect();
    let poison = Client::new(HOST, 2, Duration::from_secs(8), Arc::clone(&record));
    let target = format!("{PREFIX}{DEADLY}");
    let mut crashes: Vec<Instant> = Vec::new();
    let start = Instant::now();
    for arrival in 0..ARRIVALS {
        let due = start + GAP * arrival as u32;
        while Instant::now() < due {
            restart_crashed(site, &mut servers, deadly, &mut crashes)?;
            thread::sleep(Duration::from_millis(20));
        }
        let (vm, addr) = (arrival % site.vms.len(), site.vms[arrival % site.vms.len()].plan.callers);
        record.line(&format!("deadly request, arrival {arrival}, at vm {vm}"));
        poison.send(&mut None, vm, addr, &target, b"the same body each time");
    }
    thread::sleep(Duration::from_secs(1));
    restart_crashed(site, &mut servers, deadly, &mut crashes)?;
    stop.store(true, Ordering::SeqCst);
    for load in loads {
        let _ = load.join();
    }
    judge(site, &poison, &client, &target, &crashes);
    Ok(retries(site, &poison, &target, &crashes) <= RETRIES_MAX)
}

/// Notes crashes, and starts each crashed server again after some seconds with a new id.
fn restart_crashed(
    site: &Site,
    servers: &mut [(usize, Arc<Server>)],
    deadly: Option<&str>,
    crashes: &mut Vec<Instant>,
) -> std::io::Result<()> {
    for (n, (starts, server)) in servers.iter_mut().enumerate() {
        let Some((at, _)) = *server.crashed_at.lock().unwrap() else {
            continue;
        };
        if !crashes.contains(&at) {
            crashes.push(at);
        }
        if at.elapsed() < AWAY {
            continue;
        }
        *starts += 1;
        let old = server.opts.id.clone();
        let id = format!("i-7f3a{n:02}{starts:02}");
        *server = site.start_server(id, ZONES[n % ZONES.len()], WORK, deadly)?;
        // The entry of the earlier incarnation goes after three silent intervals of 1,200 ms.
        site.store.delete("servers", &old);
    }
    Ok(())
}

/// Returns how many arrivals, sent later than the stable window after the third crash, reached a server.
fn retries(site: &Site, poison: &Client, target: &str, crashes: &[Instant]) -> usize {
    let Some(third) = crashes.get(2) else {
        return 0;
    };
    let runs = site.runs.lock().unwrap();
    let sent = poison.sent.lock().unwrap();
    let late = sent.iter().filter(|s| s.at > *third + STABLE_WINDOW);
    late.filter(|s| runs.iter().any(|r| r.id == s.id && r.target == target)).count()
}

fn judge(site: &Site, poison: &Client, load: &Client, target: &str, crashes: &[Instant]) {
    let record = &site.record;
    for (n, at) in crashes.iter().enumerate() {
        record.say(&format!("crash {} at {:.3}", n + 1, record.secs(*at)));
    }
    let refused = poison.sent.lock().unwrap().iter().filter(|s| s.status == 429).count();
    record.say(&format!("arrivals refused with 429: {refused}"));
    let sent = load.sent.lock().unwrap();
    let lost = sent.iter().filter(|s| s.status == 502 || s.status == 0).count();
    record.say(&format!("other requests sent: {}, ended with 502 or without an answer: {lost}", sent.len()));
    let retries = retries(site, poison, target, crashes);
    record.say(&format!(
        "BUDGET: retries that reached a server later than {} ms after the third crash: {retries}, allowed {RETRIES_MAX}",
        STABLE_WINDOW.as_millis()
    ));
}
