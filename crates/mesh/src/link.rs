//! Outgoing connections, one socket a peer.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use nng::Protocol;
use nng::Socket;
use nng::options::Options;
use nng::options::ReconnectMaxTime;
use nng::options::ReconnectMinTime;
use nng::options::SendBufferSize;

/// Most connections to VMs that the program did not list.
const GUESTS_MAX: usize = 256;

/// How long a VM that is not listed keeps its connection.
const GUEST_FOR: Duration = Duration::from_secs(60);

/// First and longest wait between attempts to connect.
const RECONNECT: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// The connection to one peer.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) addr: SocketAddr,
    pub(crate) socket: Socket,
    /// The newest run of the peer's process heard of.
    pub(crate) incarnation: Incarnation,
    /// When it was last greeted, so that stale frames cannot make us flood it.
    pub(crate) greeted: Option<Instant>,
    /// When it connected without being listed; `None` if the program lists it.
    guest_since: Option<Instant>,
}

/// All outgoing connections.
#[derive(Debug)]
pub(crate) struct Links {
    map: HashMap<VmId, Link>,
    source: Option<IpAddr>,
    queue: u16,
}

impl Links {
    pub(crate) fn new(source: Option<IpAddr>, queue: u16) -> Self {
        Self {
            map: HashMap::new(),
            source,
            queue,
        }
    }

    pub(crate) fn find(&mut self, vm: &VmId) -> Option<&mut Link> {
        self.map.get_mut(vm)
    }

    /// Connects to the listed peers and gives those that are new, and the sockets now unused.
    pub(crate) fn list(&mut self, peers: &[(VmId, SocketAddr)]) -> (Vec<VmId>, Vec<Socket>) {
        let now = Instant::now();
        let wanted: HashMap<&VmId, SocketAddr> = peers.iter().map(|(vm, a)| (vm, *a)).collect();
        let keep = |vm: &VmId, l: &Link| match (wanted.get(vm), l.guest_since) {
            (Some(addr), _) => *addr == l.addr,
            (None, Some(since)) => now.duration_since(since) < GUEST_FOR,
            (None, None) => false,
        };
        let unused = self.map.extract_if(|vm, l| !keep(vm, l));
        let unused = unused.map(|(_, l)| l.socket).collect();
        let mut fresh = Vec::new();
        for (vm, addr) in peers {
            if let Some(l) = self.map.get_mut(vm) {
                l.guest_since = None;
            } else if self.open(vm, *addr, None).is_ok() {
                fresh.push(vm.clone());
            }
        }
        (fresh, unused)
    }

    /// Finds the connection to a VM that spoke first, or opens one if there are not too many.
    pub(crate) fn guest(&mut self, vm: &VmId, addr: SocketAddr) -> Option<&mut Link> {
        if !self.map.contains_key(vm) {
            let guests = self.map.values().filter(|l| l.guest_since.is_some());
            if guests.count() >= GUESTS_MAX {
                return None;
            }
            self.open(vm, addr, Some(Instant::now())).ok()?;
        }
        self.map.get_mut(vm)
    }

    /// Takes every socket, to close them.
    pub(crate) fn clear(&mut self) -> Vec<Socket> {
        self.map.drain().map(|(_, l)| l.socket).collect()
    }

    fn open(&mut self, vm: &VmId, addr: SocketAddr, guest: Option<Instant>) -> nng::Result<()> {
        let socket = Socket::new(Protocol::Push0)?;
        socket.set_opt::<SendBufferSize>(i32::from(self.queue))?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT.0))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT.1))?;
        socket.dial_async(&url(self.source, addr))?;
        let link = Link {
            addr,
            socket,
            incarnation: Incarnation::default(),
            greeted: None,
            guest_since: guest,
        };
        self.map.insert(vm.clone(), link);
        Ok(())
    }
}

/// The address to dial, with the local one before it if that is set.
fn url(source: Option<IpAddr>, addr: SocketAddr) -> String {
    match source {
        Some(IpAddr::V6(ip)) => format!("tcp://[{ip}];{addr}"),
        Some(ip) => format!("tcp://{ip};{addr}"),
        None => format!("tcp://{addr}"),
    }
}
