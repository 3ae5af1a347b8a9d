//! Loopback addresses by data centre, one-way delays between data centres, and partitions.
//!
//! Data centre `k` owns `127.net.k.0/24`, so a stand-in derives the data centre of a connection from
//! its source address. Each rig uses a separate `net`, so that rigs do not compete for ports.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;

/// The number of a data centre, from 1; 0 stands for the platform and the callers.
pub type SiteNumber = u8;

/// The site of the platform and of the callers, outside every data centre.
pub const OUTSIDE: SiteNumber = 0;

/// The number of networks among which rigs choose, starting with `127.2.0.0/16`.
const NETWORK_COUNT: u32 = 250;

/// The loopback network of one rig.
#[derive(Debug)]
pub struct Net {
    net: u8,
    between: Duration,
    cuts: watch::Sender<BTreeSet<(SiteNumber, SiteNumber)>>,
}

impl Net {
    /// Uses the network `127.net.0.0/16` with this one-way delay between data centres.
    #[must_use]
    pub fn new(net: u8, between: Duration) -> Self {
        Self {
            net,
            between,
            cuts: watch::channel(BTreeSet::new()).0,
        }
    }

    /// Uses a network that differs from those of the other rigs of this process, and almost always
    /// from those of other processes.
    #[must_use]
    pub fn with_unused_network(between: Duration) -> Self {
        static ALLOCATED: AtomicU32 = AtomicU32::new(0);
        let n = ALLOCATED.fetch_add(1, Ordering::Relaxed);
        let spread = std::process::id().wrapping_mul(37).wrapping_add(n) % NETWORK_COUNT;
        Self::new(u8::try_from(spread).unwrap_or(0) + 2, between)
    }

    /// Returns the address of a host in a data centre.
    #[must_use]
    pub fn ip(&self, site: SiteNumber, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, site, host)
    }

    /// Returns the data centre of an address.
    #[must_use]
    pub fn site(addr: SocketAddr) -> SiteNumber {
        match addr.ip() {
            IpAddr::V4(ip) => ip.octets()[2],
            IpAddr::V6(_) => OUTSIDE,
        }
    }

    /// Returns the one-way delay between two sites; zero within a site and to or from the outside.
    #[must_use]
    pub fn one_way(&self, a: SiteNumber, b: SiteNumber) -> Duration {
        if a == b || a == OUTSIDE || b == OUTSIDE {
            Duration::ZERO
        } else {
            self.between
        }
    }

    /// Partitions two sites from each other.
    pub fn cut(&self, a: SiteNumber, b: SiteNumber) {
        self.cuts.send_modify(|c| {
            c.insert(pair(a, b));
        });
    }

    /// Heals the partition between two sites.
    pub fn heal(&self, a: SiteNumber, b: SiteNumber) {
        self.cuts.send_modify(|c| {
            c.remove(&pair(a, b));
        });
    }

    /// Whether two sites are partitioned from each other.
    #[must_use]
    pub fn is_cut(&self, a: SiteNumber, b: SiteNumber) -> bool {
        self.cuts.borrow().contains(&pair(a, b))
    }

    /// Waits until two sites are not partitioned.
    pub async fn wait_until_healed(&self, a: SiteNumber, b: SiteNumber) {
        let mut rx = self.cuts.subscribe();
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = rx.wait_for(|c| !c.contains(&pair(a, b))).await;
    }

    /// Simulates the transfer of one message from `a` to `b`: waits for the delay and for the end of
    /// any partition.
    pub async fn carry(&self, a: SiteNumber, b: SiteNumber) {
        let delay = self.one_way(a, b);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if self.is_cut(a, b) {
            self.wait_until_healed(a, b).await;
        }
    }
}

fn pair(a: SiteNumber, b: SiteNumber) -> (SiteNumber, SiteNumber) {
    (a.min(b), a.max(b))
}
