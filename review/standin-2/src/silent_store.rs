//! The connections to the store go silent for good while a server leaves.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, steady_load, unsafe_requests};
use crate::site::{HOST, PREFIX, Site, ZONES};

/// `drain_ms` of the site.
const DRAIN: Duration = Duration::from_secs(3);
/// `stable_window_ms` of the site.
const STABLE_WINDOW: Duration = Duration::from_secs(4);
/// When the leaving server exits; PROTOCOL.md: after `drain_ms` "and a little longer (at times many seconds)".
const EXIT_AFTER: Duration = Duration::from_millis(4600);
/// Servers of one service differ in speed; on the site's sheet by 0.8 to 1.3.
const WORK: Duration = Duration::from_millis(156);
const FAST_WORK: Duration = Duration::from_millis(96);
const SERVERS: usize = 7;
const LEAVING: &str = "i-7f3a9999";
/// The longest wait for the moment.
const MOMENT_WAIT: Duration = Duration::from_secs(45);

/// Returns whether the rule was kept.
pub fn run(site: &Site, trouble: bool) -> std::io::Result<bool> {
    let record = Arc::clone(&site.record);
    for n in 1..SERVERS {
        site.start_server(format!("i-7f3a{n:02}00"), ZONES[n % ZONES.len()], WORK, None)?;
    }
    let leaving = site.start_server(LEAVING.to_owned(), ZONES[0], FAST_WORK, None)?;
    if !site.wait_until_ready() {
        return Err(std::io::Error::other("a VM is not ready"));
    }
    let client = Client::new(HOST, 1, None, Duration::from_secs(8), Arc::clone(&record));
    let stop = Arc::new(AtomicBool::new(false));
    let load = |(n, vm): (usize, &crate::vm::Vm)| {
        // 22.5 requests a second over all VMs, as on the site's sheet.
        steady_load(&client, &stop, n, vm.plan.callers, Duration::from_millis(311), unsafe_requests(PREFIX, n))
    };
    let loads: Vec<_> = site.vms.iter().enumerate().map(load).collect();
    thread::sleep(Duration::from_secs(16));
    // For trials at other moments: the wait before the silence, in place of the wait for a moment that fits.
    match std::env::var("MOMENT_MS").ok().and_then(|ms| ms.parse().ok()) {
        Some(ms) => thread::sleep(Duration::from_millis(ms)),
        None => wait_for_moment(site),
    }
    let silent_at = Instant::now();
    if trouble {
        site.store.silence_open_connections();
        record.line("the open connections to the store go silent");
    }
    thread::sleep(Duration::from_millis(50));
    site.store.delete("servers", LEAVING);
    let gone_at = Instant::now();
    leaving.leave();
    record.line(&format!("the store has removed the entry of {LEAVING}, which goes on serving"));
    thread::sleep(EXIT_AFTER.saturating_sub(gone_at.elapsed()));
    leaving.end();
    record.line(&format!("{LEAVING} exits"));
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    for load in loads {
        let _ = load.join();
    }
    let in_touch_from = if trouble { silent_at + STABLE_WINDOW } else { silent_at };
    let runs = site.runs.lock().unwrap();
    let sent = client.sent.lock().unwrap();
    let mut late = 0;
    for run in runs.iter().filter(|r| r.server == LEAVING && r.at > gone_at + DRAIN) {
        let Some(request) = sent.iter().find(|s| s.id == run.id) else {
            continue;
        };
        let after = run.at - gone_at;
        let is_in_touch = request.at > in_touch_from;
        late += usize::from(is_in_touch);
        record.line(&format!(
            "late: {} from vm {} reached {LEAVING} {:.3} s after its removal, sent {:.3} s after the silence, in touch: {is_in_touch}",
            run.id, request.vm, after.as_secs_f64(), (request.at - silent_at).as_secs_f64(),
        ));
    }
    let lost = sent.iter().filter(|s| s.status == 502 || s.status == 0).count();
    record.say(&format!(
        "requests sent: {}, ended with 502 or without an answer as {LEAVING} had them when it exited: {lost}",
        sent.len()
    ));
    record.say(&format!(
        "DRAIN: requests that machines in touch sent on to {LEAVING} later than {} ms after its removal: {late}, allowed 0",
        DRAIN.as_millis()
    ));
    Ok(late == 0)
}

/// Waits for a moment at which most VMs have begun a watch lately and a heartbeat in the last second.
fn wait_for_moment(site: &Site) {
    let until = Instant::now() + MOMENT_WAIT;
    while Instant::now() < until {
        let is_recent = |at: Option<Instant>, max| {
            at.is_some_and(|at| (Duration::from_millis(10)..max).contains(&at.elapsed()))
        };
        let fitting = site.store.last_calls().iter().filter(|last| {
            is_recent(last.servers_watch, Duration::from_millis(500))
                && is_recent(last.heartbeat, Duration::from_millis(900))
        }).count();
        if fitting * 2 > site.vms.len() {
            return;
        }
        thread::sleep(Duration::from_millis(5));
    }
    site.record.line("no such moment; going on");
}
