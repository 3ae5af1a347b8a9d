//! Implementation of [`Mesh`] over `nng`.
//!
//! One `Pull0` socket listens, and one `Push0` socket per peer dials. Sending never waits: if a peer is dead, partitioned
//! or stopped, its queue fills up, and further messages to it are dropped and counted. The queues of other peers are
//! not affected.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc as std_mpsc;
use std::thread;

use gs_types::prelude::*;
use nng::Aio;
use nng::AioResult;
use nng::Listener;
use nng::ListenerBuilder;
use nng::Protocol;
use nng::Socket;
use nng::options::Options;
use nng::options::RecvMaxSize;
use nng::options::transport::tcp::BoundPort;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

use crate::counters::Counts;
use crate::endpoint::Endpoint;
use crate::mesh::Mesh;
use crate::mesh::Received;
use crate::mesh::SendError;
use crate::settings::MeshSettings;

/// What the reaper thread closes.
enum Discarded {
    Sockets(Vec<Socket>),
    Receiver(Aio),
}

/// The mesh over `nng` and TCP.
///
/// # Examples
///
/// ```no_run
/// use gs_mesh::Mesh;
/// use gs_mesh::MeshSettings;
/// use gs_mesh::NngMesh;
/// use gs_mesh::Secret;
/// use gs_types::prelude::*;
///
/// let cfg = MeshSettings::builder()
///     .vm("entry-1".parse()?)
///     .incarnation(Incarnation(1))
///     .listen("127.0.0.1:7100".parse().expect("an address"))
///     .secret(Secret::new(b"sixteen bytes or more")?)
///     .build();
/// let (mesh, mut rx) = NngMesh::<String>::start(cfg)?;
/// mesh.set_peers(&[("entry-2".parse()?, "127.0.0.1:7101".parse().expect("an address"))]);
/// let _ = mesh.send(&"entry-2".parse()?, &"hello".to_owned());
/// while let Some(received) = rx.blocking_recv() {
///     println!("{}: {}", received.from, received.msg);
/// }
/// # Ok::<(), Error>(())
/// ```
pub struct NngMesh<M> {
    endpoint: Arc<Endpoint>,
    listener_addr: SocketAddr,
    pull: Socket,
    aio: Option<Aio>,
    reaper: std_mpsc::Sender<Discarded>,
    message: PhantomData<fn(M) -> M>,
}

impl<M: Serialize + DeserializeOwned + Send + 'static> NngMesh<M> {
    /// Starts listening; returns the mesh and the channel of received messages.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if the address cannot be bound.
    pub fn start(cfg: MeshSettings) -> Result<(Self, mpsc::Receiver<Received<M>>)> {
        let (tx, rx) = mpsc::channel(cfg.inbox_max);
        let (pull, listener_addr) = listen(&cfg).map_err(|e| {
            Error::new(ErrorKind::Io, e.to_string())
                .at("listen for VMs")
                .from_peer(cfg.listen.to_string())
                .with_hint("check the mesh address and that no other process uses it")
        })?;
        let endpoint = Arc::new(Endpoint::new(cfg, listener_addr));
        let aio = start_receiving(&endpoint, &pull, tx)
            .map_err(|e| Error::new(ErrorKind::Io, e.to_string()).at("receive from VMs"))?;
        let mesh = Self {
            endpoint,
            listener_addr,
            pull,
            aio: Some(aio),
            reaper: start_reaper()?,
            message: PhantomData,
        };
        Ok((mesh, rx))
    }

    /// Returns the address on which the mesh listens.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.listener_addr
    }
}

impl<M: Serialize + DeserializeOwned + Send + 'static> Mesh<M> for NngMesh<M> {
    fn send(&self, to: &VmId, msg: &M) -> Result<(), SendError> {
        let body = postcard::to_allocvec(msg).map_err(|_| SendError::Failed)?;
        self.endpoint.send(to, &body)
    }

    fn set_peers(&self, peers: &[(VmId, SocketAddr)]) {
        let unused = self.endpoint.set_peers(peers);
        let _ = self.reaper.send(Discarded::Sockets(unused));
    }

    fn counts(&self) -> Counts {
        self.endpoint.counters.counts()
    }
}

impl<M> Drop for NngMesh<M> {
    fn drop(&mut self) {
        self.pull.close();
        let _ = self
            .reaper
            .send(Discarded::Sockets(self.endpoint.take_sockets()));
        if let Some(aio) = self.aio.take() {
            let _ = self.reaper.send(Discarded::Receiver(aio));
        }
    }
}

/// Opens the listening socket and returns it with its address.
fn listen(cfg: &MeshSettings) -> nng::Result<(Socket, SocketAddr)> {
    let pull = Socket::new(Protocol::Pull0)?;
    let builder = ListenerBuilder::new(&pull, &format!("tcp://{}", cfg.listen))?;
    builder.set_opt::<RecvMaxSize>(usize::try_from(cfg.message_max.0).unwrap_or(usize::MAX))?;
    let listener: Listener = builder.start().map_err(|(_, e)| e)?;
    // The `nng` crate returns the port of `LocalAddr` in network byte order; `BoundPort` is right.
    let port = listener.get_opt::<BoundPort>()?;
    let addr = SocketAddr::new(cfg.listen.ip(), port);
    Ok((pull, addr))
}

/// Starts receiving messages.
///
/// One receive operation is in progress at any time. It ends in a callback on a thread of `nng`, which starts the next
/// one. The callback never waits, and holds no handle whose drop would wait for the callback.
fn start_receiving<M: DeserializeOwned + Send + 'static>(
    endpoint: &Arc<Endpoint>,
    pull: &Socket,
    tx: mpsc::Sender<Received<M>>,
) -> nng::Result<Aio> {
    let endpoint = Arc::clone(endpoint);
    let socket = pull.clone();
    let aio = Aio::new(move |aio, res| {
        match res {
            AioResult::Recv(Ok(m)) => endpoint.on_frame(m.as_slice(), &tx),
            AioResult::Recv(Err(nng::Error::Closed | nng::Error::Canceled)) => return,
            AioResult::Recv(Err(e)) => log::warn!("event=mesh-receive error={e:?}"),
            AioResult::Send(_) | AioResult::Sleep(_) => return,
        }
        let _ = socket.recv_async(&aio);
    })?;
    pull.recv_async(&aio)?;
    Ok(aio)
}

/// Starts the thread that closes sockets and receivers.
///
/// Closing either waits for threads of `nng`: on a tokio worker this would block unrelated tasks until the peer's
/// connection is closed, and in a callback it would deadlock.
fn start_reaper() -> Result<std_mpsc::Sender<Discarded>> {
    let (tx, rx) = std_mpsc::channel::<Discarded>();
    thread::Builder::new()
        .name("mesh-reaper".to_owned())
        .spawn(move || {
            for discarded in rx {
                match discarded {
                    Discarded::Sockets(sockets) => sockets.iter().for_each(Socket::close),
                    Discarded::Receiver(aio) => aio.wait(),
                }
            }
        })
        .map_err(|e| Error::new(ErrorKind::Io, e.to_string()).at("start the mesh's reaper"))?;
    Ok(tx)
}
