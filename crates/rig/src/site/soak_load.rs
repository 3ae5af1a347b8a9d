//! The callers of a soak, and what they see.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;

use super::caller::CallOutcome;
use super::caller::SiteCaller;
use super::config::SiteRoute;
use super::whole::Site;

/// One request as a caller saw it.
pub(super) struct ObservedRequest {
    pub(super) id: String,
    pub(super) vm: usize,
    pub(super) begun: Instant,
    pub(super) ended: Instant,
    pub(super) is_once: bool,
    pub(super) outcome: CallOutcome,
}

/// Callers that go on asking every VM.
pub(super) struct Load {
    stop: Arc<AtomicBool>,
    seen: Arc<Mutex<Vec<ObservedRequest>>>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

/// Callers at each VM.
const CALLERS: usize = 3;

impl Load {
    pub(super) fn start(site: &Site) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let seen = Arc::new(Mutex::new(Vec::new()));
        let next = Arc::new(AtomicU64::new(0));
        let mut tasks = Vec::new();
        for (vm, process) in site.vms.iter().enumerate() {
            for _ in 0..CALLERS {
                let (stop, seen, next) = (Arc::clone(&stop), Arc::clone(&seen), Arc::clone(&next));
                let addr = process.plan().callers;
                let routes = site.config.routes.clone();
                tasks.push(tokio::spawn(async move {
                    let caller = SiteCaller::new();
                    while !stop.load(Ordering::Relaxed) {
                        let n = next.fetch_add(1, Ordering::Relaxed);
                        let route: &SiteRoute = &routes[n as usize % routes.len()];
                        let begun = Instant::now();
                        let answer = caller.request(addr, route, &format!("s{n}")).await;
                        let one = ObservedRequest {
                            id: answer.id,
                            vm,
                            begun,
                            ended: Instant::now(),
                            is_once: !route.is_safe,
                            outcome: answer.outcome,
                        };
                        seen.lock()
                            .unwrap_or_else(PoisonError::into_inner)
                            .push(one);
                        tokio::time::sleep(Duration::from_millis(15)).await;
                    }
                }));
            }
        }
        Self { stop, seen, tasks }
    }

    pub(super) async fn stop(self) -> Vec<ObservedRequest> {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            // A caller that panicked has told of it on stderr.
            let _ = task.await;
        }
        std::mem::take(&mut *self.seen.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
