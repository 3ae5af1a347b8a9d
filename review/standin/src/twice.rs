//! Case: a late copy of a refusal is taken for the answer to the next attempt of the same request.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Site;
use crate::caller::Attempt;
use crate::caller::Attempts;
use crate::caller::Caller;
use crate::server::Server;
use crate::server::ServerOptions;
use crate::vm;

/// The services, each with one route, whose requests may run at most once.
const SERVICES: [&str; 3] = ["subs-office", "mailout", "levy-register"];

/// Requests per second for all services together.
const RATE: f64 = 300.0;

/// Requesters per VM.
const CALLERS_PER_VM: usize = 28;

/// How long a requester waits.
const DEADLINE: Duration = Duration::from_secs(8);

/// Until the VMs have their shares of the extra attempts, which takes a window of 10 s.
const WARM_UP: Duration = Duration::from_secs(14);

/// The disturbance: for 5 s at a time, one of the two servers (share 0.5) sends a late copy of 4 in
/// 100 of its answers.
const EPISODES: usize = 12;
const EPISODE: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(500);
const EXTRA_PART: f64 = 0.04;

/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

pub fn run(site: &Site) -> std::io::Result<bool> {
    let mut servers = Vec::new();
    for (n, service) in SERVICES.into_iter().enumerate() {
        for (m, zone) in ["hobart-a", "launceston-a"].into_iter().enumerate() {
            let opts = ServerOptions {
                id: format!("i-{:08x}", 0x7f3a_0000 + 16 * n + m),
                service,
                zone,
                slots: 2,
                queue: 2,
                work: Duration::from_millis(30),
                latency: Duration::from_millis(5),
            };
            let runs = Arc::clone(&site.runs);
            let random = Arc::clone(&site.random);
            let server = Server::start(opts, runs, random, Arc::clone(&site.record))?;
            site.store.put("servers", &server.opts.id, &server.entry());
            servers.push(server);
        }
    }
    let routes = SERVICES.map(|s| {
        format!(
            r#"{{"name":"r-{s}","hostname":"quill.example","path_prefix":"/{s}/","kind":"unsafe","timeout_ms":8000,"goal_ms":500,"priority":2,"backend":"{s}","max_attempts":2}}"#
        )
    });
    let services = SERVICES.map(|s| {
        format!(r#"{{"name":"{s}","health_path":"/health","max_conns":100,"protocol":"h1","tls":false}}"#)
    });
    let config = format!(
        r#"{{"version":7,"routes":[{}],"backends":[{}],"limits":{{"header_bytes":16384,"body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(","),
        services.join(",")
    );
    site.store.put("config", "main", &config);
    let mut vms = site.start_vms()?;
    let attempts: Attempts = Arc::new(Mutex::default());
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    let addrs: Vec<_> = vms.iter().map(|vm| (vm.name.clone(), vm.callers)).collect();
    for n in 0..vms.len() * CALLERS_PER_VM {
        let (addrs, is_over) = (addrs.clone(), Arc::clone(&is_over));
        let (record, attempts) = (Arc::clone(&site.record), Arc::clone(&attempts));
        let random = Arc::clone(&site.random);
        let mean = (addrs.len() * CALLERS_PER_VM) as f64 / RATE;
        threads.push(thread::spawn(move || {
            let own = n % addrs.len();
            let mut caller = Caller::new(&addrs[own].0, addrs[own].1, &record, &attempts);
            while !is_over.load(Ordering::Relaxed) {
                let pause = -(1.0 - random.fraction()).ln() * mean;
                thread::sleep(Duration::from_secs_f64(pause.min(4.0 * mean)));
                let route = SERVICES[random.next() as usize % SERVICES.len()];
                let id = format!("{:016x}", random.next());
                let first = caller.send(&id, route, DEADLINE, DEADLINE);
                // Refused as not run: the requester tries once more, elsewhere and with a new id.
                if first.status.is_some_and(|s| PROMISES.contains(&s)) {
                    thread::sleep(first.retry_after.unwrap_or_default());
                    let (name, addr) = &addrs[(own + 1) % addrs.len()];
                    let mut other = Caller::new(name, *addr, &record, &attempts);
                    let id = format!("{:016x}", random.next());
                    other.send(&id, route, DEADLINE.saturating_sub(first.took), DEADLINE);
                }
            }
        }));
    }
    thread::sleep(WARM_UP);
    for _ in 0..EPISODES {
        disturb(site, &servers, true);
        thread::sleep(EPISODE);
        disturb(site, &servers, false);
        thread::sleep(PAUSE);
    }
    is_over.store(true, Ordering::Relaxed);
    for t in threads {
        let _ = t.join();
    }
    // A request that was answered as not run may run later.
    thread::sleep(Duration::from_secs(1));
    for s in &servers {
        site.record.add(format!(
            "summary: server {} gave {} answers, {} of them were followed by a late copy",
            s.opts.id,
            s.answers.load(Ordering::Relaxed),
            s.extras.load(Ordering::Relaxed)
        ));
    }
    let attempts = attempts.lock().unwrap().clone();
    vm::check_running(&mut vms)?;
    Ok(judge(site, &attempts))
}

/// Begins or ends an episode at one of the two servers of each service.
fn disturb(site: &Site, servers: &[Arc<Server>], is_on: bool) {
    if !site.has_trouble {
        return;
    }
    for server in servers.iter().step_by(2) {
        server.set_extras(if is_on { EXTRA_PART } else { 0.0 });
    }
    let what = if is_on { "begins" } else { "ends" };
    site.record.add(format!("the disturbance {what}"));
}

/// Returns whether a request ran twice, or ran although it was answered as not run.
fn judge(site: &Site, attempts: &[Attempt]) -> bool {
    let runs = site.runs.lock().unwrap();
    let (mut twice, mut refused) = (0, 0);
    for a in attempts {
        let ran = runs.get(&a.id).copied().unwrap_or(0);
        let is_refused = a.status.is_some_and(|s| PROMISES.contains(&s));
        if ran > 1 {
            twice += 1;
            site.record.add(format!("TWICE: {} ran {ran} times", a.id));
        }
        if is_refused && ran > 0 {
            refused += 1;
            let status = a.status.unwrap_or(0);
            site.record.add(format!(
                "REFUSED: {} was answered {status} and ran {ran} times",
                a.id
            ));
        }
    }
    let mut statuses = std::collections::BTreeMap::new();
    for a in attempts {
        *statuses.entry(a.status).or_insert(0) += 1;
    }
    let text = format!(
        "summary: {} attempts, by status {statuses:?}; TWICE {twice}, REFUSED {refused}",
        attempts.len()
    );
    println!("{text}");
    site.record.add(text);
    twice + refused > 0
}
