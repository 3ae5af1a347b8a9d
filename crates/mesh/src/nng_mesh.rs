//! The mesh over `nng`.
//!
//! One `Pull0` socket listens, one `Push0` socket a peer dials. Each sends without waiting: a peer
//! that is dead, cut off or stopped fills its own queue, whereupon messages for it are dropped and
//! counted, while every other peer has a queue of its own.

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
use crate::hub::Hub;
use crate::mesh::Mesh;
use crate::mesh::Received;
use crate::mesh::SendError;
use crate::settings::MeshSettings;

/// What the reaper is given to drop.
enum Dead {
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
    hub: Arc<Hub>,
    listener_addr: SocketAddr,
    pull: Socket,
    aio: Option<Aio>,
    reaper: std_mpsc::Sender<Dead>,
    message: PhantomData<fn(M) -> M>,
}

impl<M: Serialize + DeserializeOwned + Send + 'static> NngMesh<M> {
    /// Listens, and gives what is received.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if the address cannot be listened on.
    pub fn start(cfg: MeshSettings) -> Result<(Self, mpsc::Receiver<Received<M>>)> {
        let (tx, rx) = mpsc::channel(cfg.inbox);
        let (pull, listener_addr) = listen(&cfg).map_err(|e| {
            Error::new(ErrorKind::Io, e.to_string())
                .at("listen for VMs")
                .from_peer(cfg.listen.to_string())
                .with_hint("check the mesh address and that no other process uses it")
        })?;
        let hub = Arc::new(Hub::new(cfg, listener_addr));
        let aio = receive(&hub, &pull, tx)
            .map_err(|e| Error::new(ErrorKind::Io, e.to_string()).at("receive from VMs"))?;
        let mesh = Self {
            hub,
            listener_addr,
            pull,
            aio: Some(aio),
            reaper: reaper()?,
            message: PhantomData,
        };
        Ok((mesh, rx))
    }

    /// Where it listens.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.listener_addr
    }
}

impl<M: Serialize + DeserializeOwned + Send + 'static> Mesh<M> for NngMesh<M> {
    fn send(&self, to: &VmId, msg: &M) -> Result<(), SendError> {
        let body = postcard::to_allocvec(msg).map_err(|_| SendError::Failed)?;
        self.hub.send(to, &body)
    }

    fn set_peers(&self, peers: &[(VmId, SocketAddr)]) {
        let unused = self.hub.list(peers);
        let _ = self.reaper.send(Dead::Sockets(unused));
    }

    fn counts(&self) -> Counts {
        self.hub.counters.counts()
    }
}

impl<M> Drop for NngMesh<M> {
    fn drop(&mut self) {
        self.pull.close();
        let _ = self.reaper.send(Dead::Sockets(self.hub.close()));
        if let Some(aio) = self.aio.take() {
            let _ = self.reaper.send(Dead::Receiver(aio));
        }
    }
}

fn listen(cfg: &MeshSettings) -> nng::Result<(Socket, SocketAddr)> {
    let pull = Socket::new(Protocol::Pull0)?;
    let builder = ListenerBuilder::new(&pull, &format!("tcp://{}", cfg.listen))?;
    builder.set_opt::<RecvMaxSize>(usize::try_from(cfg.message_max.0).unwrap_or(usize::MAX))?;
    let listener: Listener = builder.start().map_err(|(_, e)| e)?;
    // The crate gives `LocalAddr`'s port in network byte order; `BoundPort` is right.
    let port = listener.get_opt::<BoundPort>()?;
    let addr = SocketAddr::new(cfg.listen.ip(), port);
    Ok((pull, addr))
}

/// Keeps one receive under way; each ends in a callback on a thread of `nng`, which starts the
/// next. The callback never waits and holds no handle whose drop would wait for the callback.
fn receive<M: DeserializeOwned + Send + 'static>(
    hub: &Arc<Hub>,
    pull: &Socket,
    tx: mpsc::Sender<Received<M>>,
) -> nng::Result<Aio> {
    let hub = Arc::clone(hub);
    let socket = pull.clone();
    let aio = Aio::new(move |aio, res| {
        match res {
            AioResult::Recv(Ok(m)) => hub.take(m.as_slice(), &tx),
            AioResult::Recv(Err(nng::Error::Closed | nng::Error::Canceled)) => return,
            AioResult::Recv(Err(e)) => log::warn!("event=mesh-receive error={e:?}"),
            AioResult::Send(_) | AioResult::Sleep(_) => return,
        }
        let _ = socket.recv_async(&aio);
    })?;
    pull.recv_async(&aio)?;
    Ok(aio)
}

/// Starts the thread that drops sockets and receivers.
///
/// Dropping either waits for `nng`'s own threads: on a tokio worker that would hold up unrelated
/// work for as long as a peer's connection takes to close, and in a callback it would never end.
fn reaper() -> Result<std_mpsc::Sender<Dead>> {
    let (tx, rx) = std_mpsc::channel::<Dead>();
    thread::Builder::new()
        .name("mesh-reaper".to_owned())
        .spawn(move || {
            for dead in rx {
                match dead {
                    Dead::Sockets(sockets) => sockets.iter().for_each(Socket::close),
                    Dead::Receiver(aio) => aio.wait(),
                }
            }
        })
        .map_err(|e| Error::new(ErrorKind::Io, e.to_string()).at("start the mesh's reaper"))?;
    Ok(tx)
}
