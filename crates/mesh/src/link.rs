//! Outgoing connections: one `nng` socket per peer.

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

/// The largest number of connections to unlisted VMs, which sent a frame before the program listed them.
const UNLISTED_PEERS_MAX: usize = 256;

/// How long the connection to an unlisted VM is kept.
const UNLISTED_PEER_RETENTION: Duration = Duration::from_secs(60);

/// The initial and the longest delay between attempts to connect.
const RECONNECT_DELAYS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// The connection to one peer.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) addr: SocketAddr,
    pub(crate) socket: Socket,
    /// The newest known incarnation of the peer's process.
    pub(crate) incarnation: Incarnation,
    /// When the last hello was sent; limits the hellos sent in response to stale frames.
    pub(crate) last_hello: Option<Instant>,
    /// When the connection to an unlisted VM was opened; `None` if the VM is listed.
    unlisted_since: Option<Instant>,
}

/// The outgoing connections to all peers.
#[derive(Debug)]
pub(crate) struct Links {
    map: HashMap<VmId, Link>,
    source: Option<IpAddr>,
    send_queue_max: u16,
}

impl Links {
    pub(crate) fn new(source: Option<IpAddr>, send_queue_max: u16) -> Self {
        Self {
            map: HashMap::new(),
            source,
            send_queue_max,
        }
    }

    pub(crate) fn find(&mut self, vm: &VmId) -> Option<&mut Link> {
        self.map.get_mut(vm)
    }

    /// Connects to the listed peers; returns the newly connected ones, and the sockets that are no longer used.
    pub(crate) fn set_peers(&mut self, peers: &[(VmId, SocketAddr)]) -> (Vec<VmId>, Vec<Socket>) {
        let now = Instant::now();
        let listed: HashMap<&VmId, SocketAddr> = peers.iter().map(|(vm, a)| (vm, *a)).collect();
        let keep = |vm: &VmId, l: &Link| match (listed.get(vm), l.unlisted_since) {
            (Some(addr), _) => *addr == l.addr,
            (None, Some(since)) => now.duration_since(since) < UNLISTED_PEER_RETENTION,
            (None, None) => false,
        };
        let unused = self.map.extract_if(|vm, l| !keep(vm, l));
        let unused = unused.map(|(_, l)| l.socket).collect();
        let mut added = Vec::new();
        for (vm, addr) in peers {
            if let Some(l) = self.map.get_mut(vm) {
                l.unlisted_since = None;
            } else if self.open(vm, *addr, None).is_ok() {
                added.push(vm.clone());
            }
        }
        (added, unused)
    }

    /// Returns the connection to a VM that sent a frame, opening one if the VM is unlisted and the limit allows it.
    pub(crate) fn find_or_open_unlisted(
        &mut self,
        vm: &VmId,
        addr: SocketAddr,
    ) -> Option<&mut Link> {
        if !self.map.contains_key(vm) {
            let unlisted = self.map.values().filter(|l| l.unlisted_since.is_some());
            if unlisted.count() >= UNLISTED_PEERS_MAX {
                return None;
            }
            self.open(vm, addr, Some(Instant::now())).ok()?;
        }
        self.map.get_mut(vm)
    }

    /// Removes all connections and returns their sockets, to close them.
    pub(crate) fn take_sockets(&mut self) -> Vec<Socket> {
        self.map.drain().map(|(_, l)| l.socket).collect()
    }

    /// Opens the connection to a peer in the background.
    fn open(
        &mut self,
        vm: &VmId,
        addr: SocketAddr,
        unlisted_since: Option<Instant>,
    ) -> nng::Result<()> {
        let socket = Socket::new(Protocol::Push0)?;
        socket.set_opt::<SendBufferSize>(i32::from(self.send_queue_max))?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_DELAYS.0))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_DELAYS.1))?;
        socket.dial_async(&dial_url(self.source, addr))?;
        let link = Link {
            addr,
            socket,
            incarnation: Incarnation::default(),
            last_hello: None,
            unlisted_since,
        };
        self.map.insert(vm.clone(), link);
        Ok(())
    }
}

/// Returns the URL to dial, preceded by the local address if one is set.
fn dial_url(source: Option<IpAddr>, addr: SocketAddr) -> String {
    match source {
        Some(IpAddr::V6(ip)) => format!("tcp://[{ip}];{addr}"),
        Some(ip) => format!("tcp://{ip};{addr}"),
        None => format!("tcp://{addr}"),
    }
}
