//! A backend server whose process ends under certain requests and is started again.
//!
//! While it is down its address refuses connections. Its entry stays in the store until its lease has run out, and it
//! comes back under another id.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bon::Builder;
use gs_types::prelude::*;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::address::allocate_address;
use super::backend::BackendHandler;
use super::backend::ServerRecords;
use super::backend::server_entry;
use super::http::listen;
use super::http::serve;
use super::store::StoreWriter;

/// How long after a crash the entry of the server stays in the store.
const LEASE: Duration = Duration::from_millis(1500);

/// How a server is registered and when it crashes.
#[derive(Clone, Builder)]
pub struct RestartingServerOptions {
    /// The id of its first incarnation; later ones have a number appended.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its data centre.
    pub zone: String,
    /// The time for which it executes a request.
    pub work: Duration,
    /// Requests whose path contains this text crash it.
    pub crashes_on: &'static str,
    /// How long it is down after a crash.
    pub down_for: Duration,
}

/// A running server; stops when dropped.
pub struct RestartingServer {
    addr: SocketAddr,
    task: JoinHandle<()>,
}

impl RestartingServer {
    /// Starts a server and registers it under its own address.
    ///
    /// # Errors
    ///
    /// If it cannot listen.
    pub async fn start(
        store: StoreWriter,
        opts: RestartingServerOptions,
        records: ServerRecords,
    ) -> Result<Self> {
        let listener = listen(SocketAddr::from((allocate_address(), 0))).await?;
        let addr = listener
            .local_addr()
            .map_err(|e| Error::new(ErrorKind::Io, e.to_string()))?;
        let task = tokio::spawn(run(store, opts, records, listener, addr));
        Ok(Self { addr, task })
    }

    /// Returns its address, which all its incarnations have.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for RestartingServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(
    store: StoreWriter,
    opts: RestartingServerOptions,
    records: ServerRecords,
    mut listener: TcpListener,
    addr: SocketAddr,
) {
    let mut starts = 0;
    loop {
        starts += 1;
        let id = match starts {
            1 => opts.id.clone(),
            n => format!("{}-{n}", opts.id),
        };
        serve_until_crash(&store, &opts, &records, &id, starts, listener).await;
        tokio::time::sleep(LEASE.min(opts.down_for)).await;
        store.delete("servers", &id);
        tokio::time::sleep(opts.down_for.saturating_sub(LEASE)).await;
        listener = match listen(addr).await {
            Ok(listener) => listener,
            Err(e) => {
                log::error!("event=not-restarted server={id} error=\"{e}\"");
                return;
            }
        };
    }
}

async fn serve_until_crash(
    store: &StoreWriter,
    opts: &RestartingServerOptions,
    records: &ServerRecords,
    id: &str,
    born: u64,
    listener: TcpListener,
) {
    let Ok(addr) = listener.local_addr() else {
        return;
    };
    let crashes_on = Some(opts.crashes_on);
    let handler = BackendHandler::new(id, &opts.service, opts.work, records.clone(), crashes_on);
    let handler = Arc::new(handler);
    let serving = AbortOnDrop(serve(listener, Arc::<BackendHandler>::clone(&handler)));
    let entry = server_entry(&opts.service, addr, &opts.zone, "ready", born);
    store.put("servers", id, entry);
    handler.wait_for_crash().await;
    drop(serving);
}

/// Ends a task when dropped, also when the task that holds it is ended.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
