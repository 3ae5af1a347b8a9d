//! Requests that crash the servers that run them, and come again.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, steady_load, unsafe_requests};
use crate::server::{Deadly, Server};
use crate::site::{HOST, PREFIX, Site};

/// How long a server is away after a crash; PROTOCOL.md: "the server is back after some seconds".
const AWAY: Duration = Duration::from_secs(3);
/// `stable_window_ms` of the site.
const STABLE_WINDOW: Duration = Duration::from_secs(4);
/// The retries that RULES.md allows.
const RETRIES_MAX: usize = 3;
const SERVERS: usize = 7;
const WORK: Duration = Duration::from_millis(120);
/// 22.5 requests a second over all VMs, as on the site's sheet.
const LOAD_GAP: Duration = Duration::from_millis(311);
/// Of the other callers' requests, one in so many goes to the path of the request that crashes servers.
const SHARED_EVERY: usize = 5;
const DEADLY_CALLER: &str = "nightly-report";

/// A way in which the request comes.
pub struct Plan {
    kind: &'static str,
    deadly: Deadly,
    caller: Option<&'static str>,
    what: String,
    body: &'static [u8],
    /// Whether some requests of the other callers go to the same path, with the same body.
    is_path_shared: bool,
    gap: Duration,
    arrivals: usize,
}

impl Plan {
    /// The request comes each 11 s.
    pub fn slow() -> Self {
        Self {
            kind: "unsafe",
            deadly: Deadly::Path("deadly"),
            caller: None,
            what: format!("POST {PREFIX}deadly"),
            body: b"the same body each time",
            is_path_shared: false,
            gap: Duration::from_secs(11),
            arrivals: 9,
        }
    }

    /// The request comes each 2 s, and other callers send harmless ones to the same path.
    pub fn shared_path() -> Self {
        Self {
            kind: "safe",
            deadly: Deadly::Caller(DEADLY_CALLER),
            caller: Some(DEADLY_CALLER),
            what: format!("GET {PREFIX}2f"),
            body: b"",
            is_path_shared: true,
            gap: Duration::from_secs(2),
            arrivals: 11,
        }
    }

    pub fn kind(&self) -> &'static str {
        self.kind
    }
}

/// Returns whether the rule was kept.
pub fn run(site: &Site, plan: &Plan, trouble: bool) -> std::io::Result<bool> {
    let record = Arc::clone(&site.record);
    let deadly = trouble.then_some(&plan.deadly);
    let mut servers: Vec<(usize, Arc<Server>)> = Vec::new();
    for n in 0..SERVERS {
        let id = format!("i-7f3a{n:02}00");
        servers.push((0, site.start_server(id, n, WORK, deadly)?));
    }
    if !site.wait_until_ready() {
        return Err(std::io::Error::other("a VM is not ready"));
    }
    thread::sleep(Duration::from_secs(3));
    let deadline = Duration::from_secs(8);
    let others = Client::new(HOST, 1, Some("reader"), deadline, Arc::clone(&record));
    let stop = Arc::new(AtomicBool::new(false));
    let mut loads = Vec::new();
    for (n, vm) in site.vms.iter().enumerate() {
        let addr = vm.plan.callers;
        loads.push(match plan.is_path_shared {
            true => {
                let (what, body) = (plan.what.clone(), plan.body.to_vec());
                let some_same = move |number: usize| match number % SHARED_EVERY {
                    0 => (what.clone(), body.clone()),
                    _ => (format!("GET {PREFIX}{n}-{number}"), Vec::new()),
                };
                steady_load(&others, &stop, n, addr, LOAD_GAP, some_same)
            }
            false => steady_load(
                &others,
                &stop,
                n,
                addr,
                LOAD_GAP,
                unsafe_requests(PREFIX, n),
            ),
        });
    }
    thread::sleep(Duration::from_secs(2));
    let poison = Client::new(HOST, 2, plan.caller, deadline, Arc::clone(&record));
    let mut crashes: Vec<Instant> = Vec::new();
    let start = Instant::now();
    let mut senders = Vec::new();
    for arrival in 0..plan.arrivals {
        let due = start + plan.gap * arrival as u32;
        while Instant::now() < due {
            restart_crashed(site, &mut servers, deadly, &mut crashes)?;
            thread::sleep(Duration::from_millis(20));
        }
        let vm = arrival % site.vms.len();
        let addr = site.vms[vm].plan.callers;
        record.line(&format!(
            "the request to crash servers, arrival {arrival}, at vm {vm}"
        ));
        let (poison, what, body) = (Arc::clone(&poison), plan.what.clone(), plan.body);
        senders.push(thread::spawn(move || {
            poison.send(&mut None, vm, addr, &what, body)
        }));
    }
    let end = Instant::now() + Duration::from_secs(1);
    while Instant::now() < end {
        restart_crashed(site, &mut servers, deadly, &mut crashes)?;
        thread::sleep(Duration::from_millis(20));
    }
    stop.store(true, Ordering::SeqCst);
    for sender in senders {
        let _ = sender.join();
    }
    for load in loads {
        let _ = load.join();
    }
    crashes.sort();
    Ok(judge(site, &poison, &others, &crashes))
}

/// Notes crashes, and starts each crashed server again after some seconds with a new id.
fn restart_crashed(
    site: &Site,
    servers: &mut [(usize, Arc<Server>)],
    deadly: Option<&Deadly>,
    crashes: &mut Vec<Instant>,
) -> std::io::Result<()> {
    for (n, (starts, server)) in servers.iter_mut().enumerate() {
        let Some(at) = *server.crashed_at.lock().unwrap() else {
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
        *server = site.start_server(id, n, WORK, deadly)?;
        // The entry of the earlier incarnation goes after three silent intervals of 1,200 ms.
        site.store.delete("servers", &old);
    }
    Ok(())
}

/// Judges the rule by what requesters and servers saw; returns whether it was kept.
fn judge(site: &Site, poison: &Client, others: &Client, crashes: &[Instant]) -> bool {
    let record = &site.record;
    for (n, at) in crashes.iter().enumerate() {
        record.say(&format!("crash {} at {:.3}", n + 1, record.secs(*at)));
    }
    let sent = poison.sent.lock().unwrap();
    let refused = sent.iter().filter(|s| s.status == 429).count();
    record.say(&format!(
        "arrivals of the request: {}, refused with 429: {refused}",
        sent.len()
    ));
    let runs = site.runs.lock().unwrap();
    let is_late = |at: Instant| {
        crashes
            .get(2)
            .is_some_and(|third| at > *third + STABLE_WINDOW)
    };
    let late = sent.iter().filter(|s| is_late(s.at));
    let retries = late.filter(|s| runs.iter().any(|r| r.id == s.id)).count();
    let sent = others.sent.lock().unwrap();
    let lost = sent
        .iter()
        .filter(|s| s.status == 502 || s.status == 0)
        .count();
    let refused = sent.iter().filter(|s| s.status == 429).count();
    record.say(&format!(
        "other requests sent: {}, ended with 502 or without an answer: {lost}, refused with 429: {refused}",
        sent.len()
    ));
    record.say(&format!(
        "BUDGET: retries sent later than {} ms after the third crash that reached a server: {retries}, allowed {RETRIES_MAX}",
        STABLE_WINDOW.as_millis()
    ));
    retries <= RETRIES_MAX
}
