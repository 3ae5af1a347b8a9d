//! Loopback addresses by data centre, the one-way delays between them, and cuts.
//!
//! Data centre `k` owns `127.net.k.0/24`, so a stand-in knows from a peer's source address where a
//! connection comes from. Each rig takes a `net` of its own, so that rigs never share a port.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;

/// The number of a data centre, from 1; 0 stands for the platform and the callers.
pub type Site = u8;

/// The site of the platform and of the callers, outside every data centre.
pub const OUTSIDE: Site = 0;

/// The networks that rigs spread over, from `127.2.0.0/16` on.
const NETS: u32 = 250;

/// The loopback network of one rig.
#[derive(Debug)]
pub struct Net {
    net: u8,
    between: Duration,
    cuts: watch::Sender<BTreeSet<(Site, Site)>>,
}

impl Net {
    /// Takes the network `127.net.0.0/16` with this one-way delay between data centres.
    #[must_use]
    pub fn new(net: u8, between: Duration) -> Self {
        Self {
            net,
            between,
            cuts: watch::channel(BTreeSet::new()).0,
        }
    }

    /// Takes a network that no other rig of this process uses, and others hardly ever.
    #[must_use]
    pub fn fresh(between: Duration) -> Self {
        static TAKEN: AtomicU32 = AtomicU32::new(0);
        let n = TAKEN.fetch_add(1, Ordering::Relaxed);
        let spread = std::process::id().wrapping_mul(37).wrapping_add(n) % NETS;
        Self::new(u8::try_from(spread).unwrap_or(0) + 2, between)
    }

    /// The address of a host in a data centre.
    #[must_use]
    pub fn ip(&self, site: Site, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, site, host)
    }

    /// The data centre that an address belongs to.
    #[must_use]
    pub fn site(addr: SocketAddr) -> Site {
        match addr.ip() {
            IpAddr::V4(ip) => ip.octets()[2],
            IpAddr::V6(_) => OUTSIDE,
        }
    }

    /// The one-way delay between two sites; none within one or towards the outside.
    #[must_use]
    pub fn one_way(&self, a: Site, b: Site) -> Duration {
        if a == b || a == OUTSIDE || b == OUTSIDE {
            Duration::ZERO
        } else {
            self.between
        }
    }

    /// Cuts two sites off from each other.
    pub fn cut(&self, a: Site, b: Site) {
        self.cuts.send_modify(|c| {
            c.insert(pair(a, b));
        });
    }

    /// Ends the cut between two sites.
    pub fn heal(&self, a: Site, b: Site) {
        self.cuts.send_modify(|c| {
            c.remove(&pair(a, b));
        });
    }

    /// Whether two sites are cut off from each other.
    #[must_use]
    pub fn is_cut(&self, a: Site, b: Site) -> bool {
        self.cuts.borrow().contains(&pair(a, b))
    }

    /// Waits until two sites can reach each other.
    pub async fn until_open(&self, a: Site, b: Site) {
        let mut rx = self.cuts.subscribe();
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = rx.wait_for(|c| !c.contains(&pair(a, b))).await;
    }

    /// Carries one message from `a` to `b`: waits out the delay, and any cut.
    pub async fn carry(&self, a: Site, b: Site) {
        let delay = self.one_way(a, b);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if self.is_cut(a, b) {
            self.until_open(a, b).await;
        }
    }
}

fn pair(a: Site, b: Site) -> (Site, Site) {
    (a.min(b), a.max(b))
}
