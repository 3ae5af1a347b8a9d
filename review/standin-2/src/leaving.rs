//! A server leaves while VMs do not hear from the store.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, steady_load, unsafe_requests};
use crate::site::{DQM, HOST, LPL, Layout, PREFIX, Site};

/// `drain_ms` of both sites.
const DRAIN: Duration = Duration::from_secs(3);
/// When the leaving server exits; PROTOCOL.md: after `drain_ms` "and a little longer (at times many seconds)".
const EXIT_AFTER: Duration = Duration::from_millis(4600);
/// Servers of one service differ in speed; on the sites' sheets by 0.8 to 1.3. The one that leaves is a fast one.
const FAST: f64 = 0.8;
const SLOW: f64 = 1.3;
const LEAVING: &str = "i-7f3a9999";
/// The longest wait for the moment.
const MOMENT_WAIT: Duration = Duration::from_secs(45);

/// What happens besides.
#[derive(Clone, Copy, PartialEq)]
pub enum Trouble {
    /// The open connections to the store go silent for good.
    SilentConnections,
    /// The VM with this number is cut off from the store.
    CutOff(usize),
}

pub struct Plan {
    pub layout: &'static Layout,
    trouble: Trouble,
    /// The time between two requests to a VM.
    gap: Duration,
    /// The servers of the service, and the mean time of their work.
    servers: usize,
    work: Duration,
}

impl Plan {
    pub fn silent_connections() -> Self {
        // 22.5 requests a second over all VMs, as on the sheet of dqm-search.
        let gap = Duration::from_millis(311);
        let work = Duration::from_millis(120);
        Self {
            layout: &DQM,
            trouble: Trouble::SilentConnections,
            gap,
            servers: 7,
            work,
        }
    }

    pub fn cut_off() -> Self {
        // 111 requests a second over all VMs; the sheet of lpl-search has 112 of all kinds.
        let (gap, work) = (Duration::from_millis(90), Duration::from_millis(90));
        Self {
            layout: &LPL,
            trouble: Trouble::CutOff(0),
            gap,
            servers: 5,
            work,
        }
    }
}

impl Trouble {
    /// `stable_window_ms` of the site, in which the VMs are not in touch after it; a cut counts for its VM only.
    fn out_of_touch(self, vm: usize) -> Duration {
        match self {
            Self::SilentConnections => Duration::from_secs(4),
            Self::CutOff(cut) if cut == vm => Duration::MAX,
            Self::CutOff(_) => Duration::ZERO,
        }
    }
}

/// Returns whether the rule was kept.
pub fn run(site: &Site, plan: &Plan, has_trouble: bool) -> std::io::Result<bool> {
    let record = Arc::clone(&site.record);
    for n in 1..plan.servers {
        site.start_server(format!("i-7f3a{n:02}00"), n, plan.work.mul_f64(SLOW), None)?;
    }
    let leaving = site.start_server(LEAVING.to_owned(), 0, plan.work.mul_f64(FAST), None)?;
    if !site.wait_until_ready() {
        return Err(std::io::Error::other("a VM is not ready"));
    }
    let client = Client::new(HOST, 1, None, Duration::from_secs(8), Arc::clone(&record));
    let stop = Arc::new(AtomicBool::new(false));
    let load = |(n, vm): (usize, &crate::vm::Vm)| {
        steady_load(
            &client,
            &stop,
            n,
            vm.plan.callers,
            plan.gap,
            unsafe_requests(PREFIX, n),
        )
    };
    let loads: Vec<_> = site.vms.iter().enumerate().map(load).collect();
    thread::sleep(Duration::from_secs(16));
    // For trials at other moments: the wait before the trouble, in place of the wait for a moment that fits.
    match std::env::var("MOMENT_MS")
        .ok()
        .and_then(|ms| ms.parse().ok())
    {
        Some(ms) => thread::sleep(Duration::from_millis(ms)),
        None => wait_for_moment(site, plan.trouble),
    }
    let trouble_at = Instant::now();
    if has_trouble {
        begin(site, plan.trouble);
    }
    thread::sleep(Duration::from_millis(20));
    site.store.delete("servers", LEAVING);
    let gone_at = Instant::now();
    leaving.leave();
    record.line(&format!(
        "the store has removed the entry of {LEAVING}, which goes on serving"
    ));
    thread::sleep(EXIT_AFTER.saturating_sub(gone_at.elapsed()));
    leaving.end();
    record.line(&format!("{LEAVING} exits"));
    thread::sleep(Duration::from_secs(1));
    if let Trouble::CutOff(vm) = plan.trouble {
        site.store.set_cut_off(vm, false);
        record.line("the cut has ended");
    }
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::SeqCst);
    for load in loads {
        let _ = load.join();
    }
    let runs = site.runs.lock().unwrap();
    let sent = client.sent.lock().unwrap();
    let mut late = 0;
    for run in runs
        .iter()
        .filter(|r| r.server == LEAVING && r.at > gone_at + DRAIN)
    {
        let Some(request) = sent.iter().find(|s| s.id == run.id) else {
            continue;
        };
        let sent_after = request.at - trouble_at;
        let is_in_touch = !has_trouble || sent_after > plan.trouble.out_of_touch(request.vm);
        late += usize::from(is_in_touch);
        record.line(&format!(
            "late: {} from vm {} reached {LEAVING} {:.3} s after its removal, sent {:.3} s after the trouble began, in touch: {is_in_touch}",
            run.id, request.vm, (run.at - gone_at).as_secs_f64(), sent_after.as_secs_f64(),
        ));
    }
    let lost = sent
        .iter()
        .filter(|s| s.status == 502 || s.status == 0)
        .count();
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

fn begin(site: &Site, trouble: Trouble) {
    match trouble {
        Trouble::SilentConnections => {
            site.store.silence_open_connections();
            site.record
                .line("the open connections to the store go silent");
        }
        Trouble::CutOff(vm) => {
            site.store.set_cut_off(vm, true);
            site.record.line(&format!(
                "{} is cut off from the store",
                site.vms[vm].plan.name
            ));
        }
    }
}

/// Waits for a moment at which the last calls of the VMs fit.
///
/// For silent connections, most VMs have begun a watch lately and a heartbeat in the last second. For a cut, its VM
/// has just had a heartbeat answered.
fn wait_for_moment(site: &Site, trouble: Trouble) {
    let until = Instant::now() + MOMENT_WAIT;
    while Instant::now() < until {
        let is_recent = |at: Option<Instant>, max_ms| {
            let range = Duration::from_millis(10)..Duration::from_millis(max_ms);
            at.is_some_and(|at| range.contains(&at.elapsed()))
        };
        let calls = site.store.last_calls();
        let is_fitting = match trouble {
            Trouble::SilentConnections => {
                let fits = calls
                    .iter()
                    .filter(|c| is_recent(c.servers_watch, 500) && is_recent(c.heartbeat, 900));
                fits.count() * 2 > calls.len()
            }
            Trouble::CutOff(vm) => is_recent(calls[vm].heartbeat, 100),
        };
        if is_fitting {
            return;
        }
        thread::sleep(Duration::from_millis(5));
    }
    site.record.line("no such moment; going on");
}
