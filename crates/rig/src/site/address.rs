//! Loopback addresses of stand-ins.

use std::net::Ipv4Addr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Addresses given out by this process.
static GIVEN: AtomicU32 = AtomicU32::new(0);

/// A loopback address that no other VM or server has, of this process or of another one.
///
/// On a shared address a connection of somebody else may take a port while nobody listens on it: of a VM after
/// its ports were found free, or of a server that is down.
pub(super) fn own_address() -> Ipv4Addr {
    /// Addresses below this belong to other stand-ins.
    const FIRST: u32 = 64;
    /// How many addresses a process has before it begins anew.
    const COUNT: u32 = 128;
    let n = FIRST + GIVEN.fetch_add(1, Ordering::Relaxed) % COUNT;
    let [_, _, high, low] = std::process::id().to_be_bytes();
    // The last number may be neither 0 nor 255.
    Ipv4Addr::new(127, n as u8, high, low.clamp(1, 254))
}
