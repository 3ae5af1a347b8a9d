//! Case: a request that waits for a free server is not answered at its route's timeout.

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

/// A route to the service, and those who use it.
#[derive(Clone, Copy)]
struct Load {
    route: &'static str,
    timeout: Duration,
    goal: Duration,
    /// How long its requesters wait.
    deadline: Duration,
    /// Requests per second at each VM.
    rate: f64,
    callers: usize,
}

/// The route with the long timeout, as that of `renewal-check`.
const LONG: Load = Load {
    route: "renewal",
    timeout: Duration::from_millis(8000),
    goal: Duration::from_millis(500),
    deadline: Duration::from_millis(8000),
    rate: 4.0,
    callers: 8,
};

/// The route with the short timeout; its requesters wait longer than the operator allows.
const SHORT: Load = Load {
    route: "counter",
    timeout: Duration::from_millis(1000),
    goal: Duration::from_millis(150),
    deadline: Duration::from_millis(2000),
    rate: 6.0,
    callers: 16,
};

const WARM_UP: Duration = Duration::from_secs(6);

/// The disturbance: both servers are silent.
const EPISODES: usize = 5;
const EPISODE: Duration = Duration::from_millis(2900);
const PAUSE: Duration = Duration::from_secs(7);

/// How long after its route's timeout a request must be answered.
const GRACE: Duration = Duration::from_millis(500);

/// The fewest requests without an answer that break the rule, if they are over a quarter of those
/// that last longer than the timeout.
const LATE_MIN: usize = 8;

pub fn run(site: &Site) -> std::io::Result<bool> {
    let mut servers = Vec::new();
    for (n, zone) in ["hobart-a", "launceston-a"].into_iter().enumerate() {
        let opts = ServerOptions {
            id: format!("i-{:08x}", 0x7f3a_0000 + n),
            service: "subs-office",
            zone,
            slots: 3,
            queue: 12,
            work: Duration::from_millis(40),
            latency: Duration::from_millis(3),
        };
        let runs = Arc::clone(&site.runs);
        let random = Arc::clone(&site.random);
        let server = Server::start(opts, runs, random, Arc::clone(&site.record))?;
        site.store.put("servers", &server.opts.id, &server.entry());
        servers.push(server);
    }
    let routes = [LONG, SHORT].map(|l| {
        format!(
            r#"{{"name":"r-{0}","hostname":"quill.example","path_prefix":"/{0}/","kind":"safe","timeout_ms":{1},"goal_ms":{2},"priority":2,"backend":"subs-office","max_attempts":2}}"#,
            l.route,
            l.timeout.as_millis(),
            l.goal.as_millis()
        )
    });
    let config = format!(
        r#"{{"version":7,"routes":[{}],"backends":[{{"name":"subs-office","health_path":"/health","max_conns":100,"protocol":"h1","tls":false}}],"limits":{{"header_bytes":16384,"body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(",")
    );
    site.store.put("config", "main", &config);
    let mut vms = site.start_vms()?;
    let attempts: Attempts = Arc::new(Mutex::default());
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for vm in &vms {
        for load in [LONG, SHORT] {
            for _ in 0..load.callers {
                let mut caller = Caller::new(&vm.name, vm.callers, &site.record, &attempts);
                let (is_over, random) = (Arc::clone(&is_over), Arc::clone(&site.random));
                let mean = load.callers as f64 / load.rate;
                threads.push(thread::spawn(move || {
                    while !is_over.load(Ordering::Relaxed) {
                        let pause = -(1.0 - random.fraction()).ln() * mean;
                        thread::sleep(Duration::from_secs_f64(pause.min(4.0 * mean)));
                        let id = format!("{:016x}", random.next());
                        caller.send(&id, load.route, load.deadline, load.deadline);
                    }
                }));
            }
        }
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
    vm::check_running(&mut vms)?;
    let attempts = attempts.lock().unwrap().clone();
    let late = judge(site, &attempts);
    for id in late.iter().take(5) {
        for vm in &vms {
            for line in vm.log_lines(id) {
                site.record.add(format!("log of {}: {line}", vm.name));
            }
        }
    }
    Ok(!late.is_empty())
}

fn disturb(site: &Site, servers: &[Arc<Server>], is_on: bool) {
    if !site.has_trouble {
        return;
    }
    for server in servers {
        server.set_dark(is_on);
    }
    let what = if is_on { "begins" } else { "ends" };
    site.record.add(format!("the disturbance {what}"));
}

/// Returns the ids of the requests without an answer if they break the rule.
fn judge(site: &Site, attempts: &[Attempt]) -> Vec<String> {
    let mut late = Vec::new();
    for load in [LONG, SHORT] {
        let of_route = attempts.iter().filter(|a| a.route == load.route);
        let overdue: Vec<&Attempt> = of_route.clone().filter(|a| a.took > load.timeout).collect();
        let unanswered: Vec<&&Attempt> = overdue
            .iter()
            .filter(|a| a.took > load.timeout + GRACE)
            .collect();
        for a in &unanswered {
            site.record.add(format!(
                "LATE: {} on {} sent at {:.3} to {} had no answer after {} ms",
                a.id,
                a.route,
                a.sent_at,
                a.vm,
                (load.timeout + GRACE).as_millis()
            ));
        }
        let text = format!(
            "summary: {}: {} attempts, {} unanswered at {} ms, {} of them 500 ms later, {} never answered",
            load.route,
            of_route.clone().count(),
            overdue.len(),
            load.timeout.as_millis(),
            unanswered.len(),
            of_route.filter(|a| a.status.is_none()).count()
        );
        println!("{text}");
        site.record.add(text);
        if unanswered.len() >= LATE_MIN && 4 * unanswered.len() > overdue.len() {
            late.extend(unanswered.iter().map(|a| a.id.clone()));
        }
    }
    late
}
