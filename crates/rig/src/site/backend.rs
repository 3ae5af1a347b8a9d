//! Stand-in backend servers that the store lists, with injected faults.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use gs_types::prelude::*;
use hyper::Request;
use hyper::Response;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

use super::address::allocate_address;
use super::crash_runs::CrashRuns;
use super::http::RequestHandler;
use super::http::listen;
use super::http::response;
use super::http::serve;
use super::proxy::FaultProxy;
use super::records::part;
use super::store::Store;
use super::traffic::Traffic;
use crate::body::Body;
use crate::body::complete;
use crate::body::cut_short;
use crate::body::endless;

/// The number of requests that a server runs concurrently.
const SLOTS: usize = 2;

/// The number of requests that wait for a slot before the next is refused.
const QUEUE_MAX: usize = 12;

/// The content length that a truncated answer announces, in bytes; longer than any part.
const TRUNCATED_CONTENT_LENGTH: usize = 100_000;

/// The injected faults of a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackendFaults {
    /// Every request is delayed by this duration before it runs.
    pub pause: Option<Duration>,
    /// Every request is executed for this much longer.
    pub hold: Option<Duration>,
    /// Every request is refused as not run.
    pub sheds: bool,
    /// Every request is refused as not run when it arrives for the first time.
    pub sheds_first: bool,
    /// Requests are run and their connections closed without an answer.
    pub loses: bool,
    /// Answers are truncated.
    pub truncates: bool,
    /// Answers begin as they should and never end.
    pub endless: bool,
    /// Answers carry another request's id.
    pub crosses: bool,
    /// Every request fails with a stamped 500.
    pub fails: bool,
    /// Answers have this many bytes in place of the right body.
    pub answer_bytes: Option<usize>,
}

/// How often each server ran each request, by server id and request id.
pub type Runs = Arc<Mutex<HashMap<(String, String), u32>>>;

/// What the servers of a site record.
#[derive(Clone, Default)]
pub struct ServerRecords {
    /// How often each server ran each request.
    pub runs: Runs,
    /// The arrivals of requests.
    pub traffic: Arc<Traffic>,
    /// The runs of requests that crash servers.
    pub crashes: Arc<CrashRuns>,
}

/// A backend server that is registered in the store; stops when dropped.
pub struct Backend {
    id: String,
    service: String,
    zone: String,
    addr: SocketAddr,
    link: FaultProxy,
    inner: Arc<BackendHandler>,
    task: JoinHandle<()>,
    /// Whether it has crashed and was not restarted.
    is_down: AtomicBool,
}

/// Answers the requests of one server.
pub(super) struct BackendHandler {
    id: String,
    service: String,
    work: Duration,
    slots: Semaphore,
    queued: Semaphore,
    faults: Mutex<BackendFaults>,
    /// The requests that [`BackendFaults::sheds_first`] refused.
    refused: Mutex<HashSet<String>>,
    /// Whether a late copy of each answer follows.
    sends_late_copies: AtomicBool,
    records: ServerRecords,
    /// Requests whose path contains this text end the process that runs them.
    crashes_on: Option<&'static str>,
    crashed: Arc<Notify>,
}

impl Backend {
    /// Starts a server and registers it.
    ///
    /// # Errors
    ///
    /// If it cannot listen.
    pub async fn start(
        store: &Store,
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
        records: ServerRecords,
    ) -> Result<Self> {
        let listener = listen(SocketAddr::from((allocate_address(), 0))).await?;
        let addr = listener
            .local_addr()
            .map_err(|e| Error::new(ErrorKind::Io, e.to_string()))?;
        let inner = Arc::new(BackendHandler::new(id, service, work, records, None));
        let this = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            addr,
            link: FaultProxy::start_at(addr.ip(), addr).await?,
            task: serve(listener, Arc::<BackendHandler>::clone(&inner)),
            is_down: AtomicBool::new(false),
            inner,
        };
        this.register(store, "ready");
        Ok(this)
    }

    /// Returns its id.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns its service.
    #[must_use]
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Returns its own address, behind the proxy.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the proxy through which VMs reach it.
    #[must_use]
    pub fn link(&self) -> &FaultProxy {
        &self.link
    }

    /// Writes its entry to the store with this state.
    pub fn register(&self, store: &Store, state: &str) {
        store.put(
            "servers",
            &self.id,
            server_entry(&self.service, self.link.addr(), &self.zone, state, 1),
        );
    }

    /// Sets the faults that apply from now on.
    pub fn set_faults(&self, faults: BackendFaults) {
        *lock(&self.inner.faults) = faults;
    }

    /// Sets whether a late copy of each answer follows, where the next answer on its connection is expected.
    pub fn set_late_copies(&self, are_sent: bool) {
        let flag = &self.inner.sends_late_copies;
        flag.store(are_sent, Ordering::Relaxed);
    }

    /// Crashes it: its connections are closed and it stops listening.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::Relaxed);
        self.link.set_listening(false);
        self.task.abort();
    }

    /// Restarts a crashed server at its old address; does nothing if the server is running.
    ///
    /// # Errors
    ///
    /// If the address is taken.
    pub async fn restart(&mut self) -> Result<()> {
        if !self.is_down.swap(false, Ordering::Relaxed) {
            return Ok(());
        }
        // The listener is closed once the aborted task has ended; the result of the task does not matter.
        drop((&mut self.task).await);
        let listener = listen(self.addr).await?;
        self.task = serve(listener, Arc::<BackendHandler>::clone(&self.inner));
        self.link.set_listening(true);
        Ok(())
    }
}

/// Returns the store's entry of a server.
pub(super) fn server_entry(
    service: &str,
    addr: SocketAddr,
    zone: &str,
    state: &str,
    born: u64,
) -> Value {
    json!({
        "backend": service, "address": addr.to_string(), "zone": zone,
        "version": "v1", "max_concurrent": SLOTS, "state": state, "warmup_left_ms": 0,
        "sequence": 1, "born": born,
    })
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[async_trait::async_trait]
impl RequestHandler for BackendHandler {
    async fn respond(&self, req: Request<Bytes>) -> Option<Response<Body>> {
        let header = |name: &str| {
            let value = req.headers().get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or("").to_owned()
        };
        let id = header("attempt-id");
        self.records.traffic.record_arrival(&self.service, &id);
        let expected = header("expect-instance");
        if !expected.is_empty() && expected != self.id {
            return Some(with_header(response(421, ""), "instance-id", &self.id));
        }
        let faults = *lock(&self.faults);
        let Ok(_queued) = self.queued.try_acquire() else {
            return Some(self.shed(&id));
        };
        let is_refused_first = faults.sheds_first && lock(&self.refused).insert(id.clone());
        if faults.sheds || is_refused_first {
            return Some(self.shed(&id));
        }
        let Ok(_slot) = self.slots.acquire().await else {
            return None;
        };
        if let Some(pause) = faults.pause {
            tokio::time::sleep(pause).await;
        }
        *lock(&self.records.runs)
            .entry((self.id.clone(), id.clone()))
            .or_default() += 1;
        if self
            .crashes_on
            .is_some_and(|text| req.uri().path().contains(text))
        {
            self.records.crashes.record(&self.id, &id);
            self.crash_later();
            // The process ends, and with it every connection.
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(self.work + faults.hold.unwrap_or_default()).await;
        if faults.loses {
            return None;
        }
        let target = req.uri().path_and_query().map_or("/", |t| t.as_str());
        let stamp = format!("{}.{}.{id}", self.service, self.id);
        let body = part(&self.service, target);
        let mut res = response(if faults.fails { 500 } else { 200 }, body.clone());
        res = with_header(res, "answer-stamp", &stamp);
        let echoed = if faults.crosses { "another" } else { &id };
        res = with_header(res, "attempt-id", echoed);
        res = with_header(res, "server-load", &self.load());
        if let Some(bytes) = faults.answer_bytes {
            *res.body_mut() = complete(vec![b'a'; bytes]);
        }
        if faults.endless {
            *res.body_mut() = endless(body.clone());
        }
        if faults.truncates {
            cut_short(&mut res, TRUNCATED_CONTENT_LENGTH, body);
        }
        Some(res)
    }

    fn sends_late_copies(&self) -> bool {
        self.sends_late_copies.load(Ordering::Relaxed)
    }
}

impl BackendHandler {
    /// Creates the handler of a server; a request whose path contains `crashes_on` ends its process.
    pub(super) fn new(
        id: &str,
        service: &str,
        work: Duration,
        records: ServerRecords,
        crashes_on: Option<&'static str>,
    ) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            work,
            slots: Semaphore::new(SLOTS),
            queued: Semaphore::new(SLOTS + QUEUE_MAX),
            faults: Mutex::default(),
            refused: Mutex::default(),
            sends_late_copies: AtomicBool::new(false),
            records,
            crashes_on,
            crashed: Arc::new(Notify::new()),
        }
    }

    /// Waits until a request has crashed the server.
    pub(super) async fn wait_for_crash(&self) {
        self.crashed.notified().await;
    }

    /// Ends the process after the time of a run, although the caller may have closed the connection by then.
    fn crash_later(&self) {
        let (work, crashed) = (self.work, Arc::clone(&self.crashed));
        tokio::spawn(async move {
            tokio::time::sleep(work).await;
            crashed.notify_one();
        });
    }

    fn shed(&self, id: &str) -> Response<Body> {
        let res = with_header(response(503, ""), "not-executed", "1");
        let res = with_header(res, "attempt-id", id);
        with_header(res, "server-load", &self.load())
    }

    fn load(&self) -> String {
        let running = SLOTS - self.slots.available_permits();
        let present = SLOTS + QUEUE_MAX - self.queued.available_permits();
        format!("{running},{},{SLOTS}", present.saturating_sub(running))
    }
}

fn with_header(mut res: Response<Body>, name: &'static str, value: &str) -> Response<Body> {
    if let Ok(value) = hyper::header::HeaderValue::from_str(value) {
        res.headers_mut().insert(name, value);
    }
    res
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}
