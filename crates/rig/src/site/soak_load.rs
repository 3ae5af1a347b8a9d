//! The callers of a soak and the requests that they observe.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;

use super::caller::CallOutcome;
use super::config::SiteRoute;
use super::setup::Site;

/// One request as observed by its caller.
pub(super) struct ObservedRequest {
    pub(super) id: String,
    pub(super) vm: usize,
    pub(super) started: Instant,
    pub(super) ended: Instant,
    pub(super) is_once: bool,
    pub(super) outcome: CallOutcome,
}

/// Callers that send requests to every VM until stopped.
pub(super) struct Load {
    stop: Arc<AtomicBool>,
    requests: Arc<Mutex<Vec<ObservedRequest>>>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

/// The number of callers for each VM.
const CALLERS_PER_VM: usize = 3;

impl Load {
    pub(super) fn start(site: &Site) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let requests = Arc::new(Mutex::new(Vec::new()));
        let next = Arc::new(AtomicU64::new(0));
        let mut tasks = Vec::new();
        for (vm, process) in site.vms.iter().enumerate() {
            for _ in 0..CALLERS_PER_VM {
                let (stop, requests, next) =
                    (Arc::clone(&stop), Arc::clone(&requests), Arc::clone(&next));
                let addr = process.plan().callers;
                let routes = site.config.routes.clone();
                let caller = site.caller();
                tasks.push(tokio::spawn(async move {
                    while !stop.load(Ordering::Relaxed) {
                        let n = next.fetch_add(1, Ordering::Relaxed);
                        let route: &SiteRoute = &routes[n as usize % routes.len()];
                        let started = Instant::now();
                        let answer = caller.request(addr, route, &format!("s{n}")).await;
                        let request = ObservedRequest {
                            id: answer.id,
                            vm,
                            started,
                            ended: Instant::now(),
                            is_once: !route.is_safe,
                            outcome: answer.outcome,
                        };
                        requests
                            .lock()
                            .unwrap_or_else(PoisonError::into_inner)
                            .push(request);
                        tokio::time::sleep(Duration::from_millis(15)).await;
                    }
                }));
            }
        }
        Self {
            stop,
            requests,
            tasks,
        }
    }

    pub(super) async fn stop(self) -> Vec<ObservedRequest> {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            // A caller that panicked has already printed its message to stderr.
            let _ = task.await;
        }
        std::mem::take(&mut *self.requests.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
