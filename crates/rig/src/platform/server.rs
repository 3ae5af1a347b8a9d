//! The running stand-in of the platform and its state.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bon::Builder;
use bytes::Bytes;
use gs_types::prelude::*;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::control::AnswerLoss;
use super::control::Control;
use super::control::Limits;
use super::counts::CallKind;
use super::counts::Counts;
use super::http;
use super::objects::Objects;
use super::vms::MeshAddresses;
use super::vms::Vm;
use super::vms::VmList;

/// The options of the stand-in.
#[derive(Builder, Clone, Debug)]
pub struct PlatformOptions {
    /// The address to listen on; a free port of 127.0.0.1 by default.
    #[builder(default = SocketAddr::from(([127, 0, 0, 1], 0)))]
    pub addr: SocketAddr,
    /// The initial VM list, visible without delay.
    #[builder(default)]
    pub vms: Vec<Vm>,
    /// The delay until changes appear in the VM list.
    #[builder(default)]
    pub vm_lag: Duration,
    /// The delay of every answer.
    #[builder(default)]
    pub delay: Duration,
    /// Mesh addresses returned in place of the true ones, by source address: those of links that can
    /// be cut.
    #[builder(default)]
    pub mesh_addresses: MeshAddresses,
}

/// A running stand-in; dropping it stops it and closes its connections.
#[derive(Debug)]
pub struct Platform {
    addr: SocketAddr,
    shared: Arc<SharedState>,
    task: JoinHandle<()>,
}

impl Platform {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if the address cannot be bound.
    pub async fn start(options: PlatformOptions) -> Result<Self> {
        let io = |e: std::io::Error| {
            Error::new(ErrorKind::Io, e.to_string())
                .at("listen")
                .from_peer(options.addr.to_string())
        };
        let listener = TcpListener::bind(options.addr).await.map_err(io)?;
        let addr = listener.local_addr().map_err(io)?;
        let shared = Arc::new(SharedState::new(&options));
        let task = tokio::spawn(accept(listener, shared.clone()));
        Ok(Self { addr, shared, task })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Applies a control command.
    pub fn control(&self, control: Control) {
        self.shared.control(control);
    }

    /// Returns the number of calls so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.shared.lock().counts.clone()
    }

    /// Writes an object as a publisher would, regardless of its version and of injected faults; not
    /// counted.
    pub fn put(&self, path: &str, content: impl Into<Bytes>) -> u64 {
        let version = self.shared.lock().objects.set(path, content.into());
        self.shared.notify_change();
        version
    }

    /// Returns an object's version and content; not counted.
    #[must_use]
    pub fn get(&self, path: &str) -> Option<(u64, Bytes)> {
        self.shared.lock().objects.get(path)
    }

    /// Returns the paths under a prefix; not counted.
    #[must_use]
    pub fn paths(&self, prefix: &str) -> Vec<String> {
        let list = self.shared.lock().objects.list(prefix);
        list.into_iter().map(|(p, _)| p).collect()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The state shared by all connections.
#[derive(Debug)]
pub(super) struct SharedState {
    state: Mutex<State>,
    /// The number of changes so far; wakes held and waiting calls.
    change: watch::Sender<u64>,
}

/// The stand-in's state.
#[derive(Debug)]
pub(super) struct State {
    pub(super) objects: Objects,
    pub(super) vms: VmList,
    pub(super) counts: Counts,
    pub(super) down: bool,
    pub(super) silent: bool,
    pub(super) lose_watches: bool,
    pub(super) delay: Duration,
    pub(super) lose: AnswerLoss,
    pub(super) stalled: Option<Vec<(String, u64, Bytes)>>,
    cut: Vec<IpAddr>,
    cut_data_centres: Vec<DataCentre>,
    limits: Limits,
    window: RateWindow,
}

/// The calls in the current second.
#[derive(Debug)]
struct RateWindow {
    start: Instant,
    reads: u32,
    writes: u32,
}

impl State {
    /// Whether calls from this source are held without an answer.
    pub(super) fn is_held(&self, source: IpAddr) -> bool {
        self.silent
            || self.cut.contains(&source)
            || self.vms.is_in_data_centre(source, &self.cut_data_centres)
    }

    /// Counts a call against its limit; returns `false` if the limit is exceeded.
    pub(super) fn count_against_limit(&mut self, kind: CallKind) -> bool {
        if self.window.start.elapsed() >= Duration::from_secs(1) {
            self.window = RateWindow {
                start: Instant::now(),
                reads: 0,
                writes: 0,
            };
        }
        let (used, limit) = match kind.is_write() {
            true => (&mut self.window.writes, self.limits.writes),
            false => (&mut self.window.reads, self.limits.reads),
        };
        *used = used.saturating_add(1);
        limit == 0 || *used <= limit
    }

    fn apply(&mut self, c: Control) {
        set_if_some(&mut self.down, c.down);
        set_if_some(&mut self.silent, c.silent);
        set_if_some(&mut self.lose_watches, c.lose_watches);
        set_if_some(&mut self.delay, c.delay_ms.map(Duration::from_millis));
        set_if_some(&mut self.lose, c.lose);
        set_if_some(&mut self.limits, c.limits);
        set_if_some(&mut self.cut, c.cut);
        set_if_some(&mut self.cut_data_centres, c.cut_data_centres);
        if let Some(lag) = c.vm_lag_ms {
            self.vms.set_lag(Duration::from_millis(lag));
        }
        if let Some(vm) = c.vm_add {
            self.vms.change(|vms| {
                vms.retain(|v| v.vm != vm.vm);
                vms.push(vm);
            });
        }
        if let Some(name) = c.vm_remove {
            self.vms.change(|vms| vms.retain(|v| v.vm != name));
        }
        if let Some(name) = c.vm_leaving {
            self.vms.change(|vms| {
                let found = vms.iter_mut().find(|v| v.vm == name);
                found.into_iter().for_each(|v| v.leaving = true);
            });
        }
        if c.forget == Some(true) {
            self.objects.drop_history();
        }
        match c.stall_writes {
            Some(true) if self.stalled.is_none() => self.stalled = Some(Vec::new()),
            Some(false) => {
                for (path, if_version, content) in self.stalled.take().unwrap_or_default() {
                    let _ = self.objects.put(&path, if_version, content);
                }
            }
            _ => {}
        }
    }
}

fn set_if_some<T>(to: &mut T, value: Option<T>) {
    if let Some(v) = value {
        *to = v;
    }
}

impl SharedState {
    fn new(options: &PlatformOptions) -> Self {
        let state = State {
            objects: Objects::default(),
            vms: VmList::new(options.vms.clone(), options.vm_lag)
                .with_mesh_addresses(options.mesh_addresses.clone()),
            counts: Counts::default(),
            down: false,
            silent: false,
            lose_watches: false,
            delay: options.delay,
            lose: AnswerLoss::default(),
            stalled: None,
            cut: Vec::new(),
            cut_data_centres: Vec::new(),
            limits: Limits::default(),
            window: RateWindow {
                start: Instant::now(),
                reads: 0,
                writes: 0,
            },
        };
        Self {
            state: Mutex::new(state),
            change: watch::Sender::new(0),
        }
    }

    /// Locks the state; a panic in another call leaves it usable.
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes held and waiting calls, which then check the state again.
    pub(super) fn notify_change(&self) {
        self.change.send_modify(|n| *n += 1);
    }

    /// Returns a receiver that is notified of changes from now on.
    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.change.subscribe()
    }

    /// Applies a control command and wakes held and waiting calls.
    pub(super) fn control(&self, control: Control) {
        self.lock().apply(control);
        self.notify_change();
    }
}

async fn accept(listener: TcpListener, shared: Arc<SharedState>) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // The process may be out of file descriptors: accept can succeed once some are closed.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        connections.spawn(connection(stream, peer, shared.clone()));
        while connections.try_join_next().is_some() {}
    }
}

async fn connection(stream: TcpStream, peer: SocketAddr, shared: Arc<SharedState>) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("event=nodelay-failed peer={peer} error=\"{e}\"");
    }
    let service = service_fn(move |req| http::answer(shared.clone(), peer.ip(), req));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(e) = served {
        // The caller disconnected, or the answer was dropped on purpose.
        log::debug!("event=connection-ended peer={peer} error=\"{e}\"");
    }
}
