//! All stand-in servers of one process and their control port.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use gs_types::prelude::*;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use super::counts::Counts;
use super::faults::Faults;
use super::spec::ServerSpec;
use super::state::Server;
use super::state::SharedState;
use super::state::lock;
use crate::control::Command;
use crate::index::SnapshotIndex;
use crate::net::Net;

/// The host number of the backend servers in each data centre.
const SERVER_HOST: u8 = 1;

/// The maximum length of a control command, in bytes.
const COMMAND_MAX_BYTES: usize = 16 << 10;

/// All stand-in servers of one process; dropping the last handle stops them.
#[derive(Clone, Debug)]
pub struct Servers {
    net: Arc<Net>,
    common: Arc<SharedState>,
    servers: Arc<ServersByName>,
}

/// The servers by name; dropping it closes their listeners and connections.
#[derive(Debug)]
struct ServersByName(BTreeMap<ServerName, Arc<Server>>);

impl Drop for ServersByName {
    fn drop(&mut self) {
        self.0.values().for_each(|s| {
            s.kill();
        });
    }
}

impl Servers {
    /// Starts a server for each spec, on a free port of its data centre.
    ///
    /// # Errors
    ///
    /// If a port cannot be bound.
    pub async fn start(net: Arc<Net>, specs: Vec<ServerSpec>) -> Result<Self> {
        let common = Arc::new(SharedState::default());
        let mut servers = BTreeMap::new();
        for spec in specs {
            let ip = net.ip(spec.site, SERVER_HOST);
            let listener = bind(SocketAddr::from((ip, 0))).await?;
            let addr = listener.local_addr().map_err(|e| io_error(&e))?;
            let name = spec.name.clone();
            let server = Arc::new(Server::new(spec, addr, net.clone(), common.clone()));
            server.start_serving(listener);
            servers.insert(name, server);
        }
        Ok(Self {
            net,
            common,
            servers: Arc::new(ServersByName(servers)),
        })
    }

    /// Adds an index; a server holds it once it receives [`Command::Hold`].
    pub fn add_index(&self, group: &GroupName, index: SnapshotIndex) {
        let key = (group.clone(), index.snapshot());
        let mut indexes = self
            .common
            .indexes
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        indexes.insert(key, Arc::new(index));
    }

    /// Adds an index and makes every server of its group hold it.
    pub fn publish(&self, group: &GroupName, index: SnapshotIndex) {
        let snapshot = index.snapshot();
        self.add_index(group, index);
        for s in self.servers.0.values().filter(|s| s.spec.group == *group) {
            s.faults().snapshots.insert(snapshot);
        }
    }

    /// Returns the address that a server listens on.
    #[must_use]
    pub fn addr(&self, server: &ServerName) -> Option<SocketAddr> {
        self.servers.0.get(server).map(|s| s.addr)
    }

    /// Returns the counts of the servers.
    #[must_use]
    pub fn counts(&self) -> &Counts {
        &self.common.counts
    }

    /// Returns the names of the servers.
    pub fn names(&self) -> impl Iterator<Item = &ServerName> {
        self.servers.0.keys()
    }

    /// Applies a command; it is in effect when this returns.
    ///
    /// # Errors
    ///
    /// If the command names an unknown server.
    pub async fn apply(&self, command: Command) -> Result<()> {
        match command {
            Command::Drain { server } => {
                let now = Instant::now();
                self.update_faults(Some(&server), |f| f.draining = Some(now))
            }
            Command::Kill { server } => {
                self.server(&server)?.kill();
                Ok(())
            }
            Command::Restart { server } => {
                self.server(&server)?.restart().await;
                Ok(())
            }
            Command::Shed { server, on } => self.update_faults(server.as_ref(), |f| f.shed = on),
            Command::Mislead { server, load } => {
                self.update_faults(server.as_ref(), |f| f.claimed_load = load)
            }
            Command::Stragglers {
                server,
                share,
                factor,
            } => self.update_faults(server.as_ref(), |f| {
                f.straggle_share = share;
                f.straggle_factor = factor;
            }),
            Command::Poison { word, down_ms } => {
                let down = Duration::from_millis(down_ms);
                *lock(&self.common.poison) = word.map(|w| (w, down));
                Ok(())
            }
            Command::Spoil { server, how, share } => self.update_faults(server.as_ref(), |f| {
                f.reply_fault = how;
                f.reply_fault_share = share;
            }),
            Command::Hold { server, snapshot } => self.update_faults(server.as_ref(), |f| {
                f.snapshots.insert(snapshot);
            }),
            Command::Forget { server, snapshot } => self.update_faults(server.as_ref(), |f| {
                f.snapshots.remove(&snapshot);
            }),
            Command::Cut { a, b } => {
                self.net.cut(a, b);
                Ok(())
            }
            Command::Heal { a, b } => {
                self.net.heal(a, b);
                Ok(())
            }
        }
    }

    /// Serves `POST /control` and `GET /counts` until the runtime ends.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn serve_control(&self, addr: SocketAddr) -> Result<SocketAddr> {
        let listener = bind(addr).await?;
        let addr = listener.local_addr().map_err(|e| io_error(&e))?;
        let servers = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let servers = servers.clone();
                let handle = service_fn(move |req| control(servers.clone(), req));
                let io = TokioIo::new(stream);
                tokio::spawn(http1::Builder::new().serve_connection(io, handle));
            }
        });
        Ok(addr)
    }

    fn server(&self, name: &ServerName) -> Result<&Arc<Server>> {
        let missing = || Error::new(ErrorKind::NotFound, format!("no stand-in server `{name}`"));
        self.servers.0.get(name).ok_or_else(missing)
    }

    fn update_faults(&self, server: Option<&ServerName>, f: impl Fn(&mut Faults)) -> Result<()> {
        match server {
            Some(name) => f(&mut self.server(name)?.faults()),
            None => self.servers.0.values().for_each(|s| f(&mut s.faults())),
        }
        Ok(())
    }
}

async fn control(
    servers: Servers,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let answer = match (req.method(), req.uri().path()) {
        (&Method::POST, "/control") => command(&servers, req.into_body()).await,
        (&Method::GET, "/counts") => counts(&servers),
        _ => Err(Error::new(ErrorKind::NotFound, "use /control or /counts")),
    };
    Ok(match answer {
        Ok(body) => Response::new(body.into()),
        Err(e) => {
            let mut resp = Response::new(Full::from(e.to_string()));
            *resp.status_mut() = StatusCode::BAD_REQUEST;
            resp
        }
    })
}

async fn command(servers: &Servers, body: Incoming) -> Result<String> {
    let bad = |e: String| Error::new(ErrorKind::BadInput, e).at("read a control command");
    let body = Limited::new(body, COMMAND_MAX_BYTES).collect().await;
    let body = body.map_err(|e| bad(e.to_string()))?.to_bytes();
    let command = serde_json::from_slice(&body).map_err(|e| bad(e.to_string()))?;
    servers.apply(command).await?;
    Ok("done\n".to_owned())
}

fn counts(servers: &Servers) -> Result<String> {
    let counts = (servers.counts().summary(), servers.counts().by_server());
    serde_json::to_string(&counts).map_err(|e| Error::new(ErrorKind::Io, e.to_string()))
}

async fn bind(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .map_err(|e| io_error(&e).from_peer(addr.to_string()))
}

fn io_error(e: &std::io::Error) -> Error {
    Error::new(ErrorKind::Io, e.to_string()).at("listen")
}
