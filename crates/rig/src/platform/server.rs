//! The running stand-in and its state.

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
use super::counts::Counts;
use super::counts::Kind;
use super::http;
use super::objects::Objects;
use super::vms::MeshFrom;
use super::vms::Vm;
use super::vms::VmList;

/// How the stand-in starts.
#[derive(Builder, Clone, Debug)]
pub struct PlatformOptions {
    /// Where it listens; a free port of 127.0.0.1 unless given.
    #[builder(default = SocketAddr::from(([127, 0, 0, 1], 0)))]
    pub addr: SocketAddr,
    /// The VM list, shown at once.
    #[builder(default)]
    pub vms: Vec<Vm>,
    /// How late the VM list shows changes.
    #[builder(default)]
    pub vm_lag: Duration,
    /// How late every call is answered.
    #[builder(default)]
    pub delay: Duration,
    /// Mesh addresses shown in place of the true ones, by the address of the asker: those of links
    /// that can be cut.
    #[builder(default)]
    pub mesh_from: MeshFrom,
}

/// A running stand-in; it stops, and drops its connections, when this is dropped.
#[derive(Debug)]
pub struct Platform {
    addr: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Platform {
    /// Starts to listen.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if the address is not to be had.
    pub async fn start(options: PlatformOptions) -> Result<Self> {
        let io = |e: std::io::Error| {
            Error::new(ErrorKind::Io, e.to_string())
                .at("listen")
                .from_peer(options.addr.to_string())
        };
        let listener = TcpListener::bind(options.addr).await.map_err(io)?;
        let addr = listener.local_addr().map_err(io)?;
        let shared = Arc::new(Shared::new(&options));
        let task = tokio::spawn(accept(listener, shared.clone()));
        Ok(Self { addr, shared, task })
    }

    /// Where it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes how it behaves.
    pub fn control(&self, control: Control) {
        self.shared.control(control);
    }

    /// The calls taken so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.shared.lock().counts.clone()
    }

    /// Writes an object as a publisher would, whatever its version and however the stand-in
    /// misbehaves; not counted.
    pub fn put(&self, path: &str, content: impl Into<Bytes>) -> u64 {
        let version = self.shared.lock().objects.set(path, content.into());
        self.shared.changed();
        version
    }

    /// Reads an object's version and content, not counted.
    #[must_use]
    pub fn get(&self, path: &str) -> Option<(u64, Bytes)> {
        self.shared.lock().objects.get(path)
    }

    /// The paths under a prefix, not counted.
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

/// What all connections share.
#[derive(Debug)]
pub(super) struct Shared {
    state: Mutex<State>,
    /// Counts changes of anything that a held or waiting call looks at.
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
    pub(super) delay: Duration,
    pub(super) lose: AnswerLoss,
    pub(super) stalled: Option<Vec<(String, u64, Bytes)>>,
    cut: Vec<IpAddr>,
    cut_data_centres: Vec<DataCentre>,
    limits: Limits,
    window: Window,
}

/// Calls taken in the running second.
#[derive(Debug)]
struct Window {
    start: Instant,
    reads: u32,
    writes: u32,
}

impl State {
    /// Whether a call from there gets no answer now.
    pub(super) fn is_held(&self, source: IpAddr) -> bool {
        self.silent
            || self.cut.contains(&source)
            || self.vms.stands_in(source, &self.cut_data_centres)
    }

    /// Counts a call against its limit: `false` if it is over.
    pub(super) fn within_limit(&mut self, kind: Kind) -> bool {
        if self.window.start.elapsed() >= Duration::from_secs(1) {
            self.window = Window {
                start: Instant::now(),
                reads: 0,
                writes: 0,
            };
        }
        let (used, limit) = match kind.writes() {
            true => (&mut self.window.writes, self.limits.writes),
            false => (&mut self.window.reads, self.limits.reads),
        };
        *used = used.saturating_add(1);
        limit == 0 || *used <= limit
    }

    fn obey(&mut self, c: Control) {
        set(&mut self.down, c.down);
        set(&mut self.silent, c.silent);
        set(&mut self.delay, c.delay_ms.map(Duration::from_millis));
        set(&mut self.lose, c.lose);
        set(&mut self.limits, c.limits);
        set(&mut self.cut, c.cut);
        set(&mut self.cut_data_centres, c.cut_data_centres);
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
            self.objects.forget();
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

fn set<T>(to: &mut T, value: Option<T>) {
    if let Some(v) = value {
        *to = v;
    }
}

impl Shared {
    fn new(options: &PlatformOptions) -> Self {
        let state = State {
            objects: Objects::default(),
            vms: VmList::new(options.vms.clone(), options.vm_lag)
                .with_mesh_from(options.mesh_from.clone()),
            counts: Counts::default(),
            down: false,
            silent: false,
            delay: options.delay,
            lose: AnswerLoss::default(),
            stalled: None,
            cut: Vec::new(),
            cut_data_centres: Vec::new(),
            limits: Limits::default(),
            window: Window {
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

    /// The state; a panic in another call leaves it usable.
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes held and waiting calls to look again.
    pub(super) fn changed(&self) {
        self.change.send_modify(|n| *n += 1);
    }

    /// Brings news of changes from now on.
    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.change.subscribe()
    }

    /// Obeys an order.
    pub(super) fn control(&self, control: Control) {
        self.lock().obey(control);
        self.changed();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // Out of file descriptors, say: the next accept may work once some are closed.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        connections.spawn(connection(stream, peer, shared.clone()));
        while connections.try_join_next().is_some() {}
    }
}

async fn connection(stream: TcpStream, peer: SocketAddr, shared: Arc<Shared>) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("event=nodelay-failed peer={peer} error=\"{e}\"");
    }
    let service = service_fn(move |req| http::answer(shared.clone(), peer.ip(), req));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(e) = served {
        // A caller that hung up, or an answer lost on purpose.
        log::debug!("event=connection-ended peer={peer} error=\"{e}\"");
    }
}
