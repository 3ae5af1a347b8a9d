//! Loopback addresses of stand-ins.

use std::net::Ipv4Addr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// The number of addresses allocated by this process.
static ALLOCATED: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address that no other VM or server uses, in this process or in another one.
///
/// On a shared address, another program's connection could take a port while nothing listens on it: the port of
/// a VM after it was found free, or the port of a server that is down.
pub(super) fn allocate_address() -> Ipv4Addr {
    /// The lowest second octet used; lower ones belong to other stand-ins.
    const FIRST_NUMBER: u32 = 64;
    /// The number of addresses of a process before they are reused.
    const ADDRESS_COUNT: u32 = 128;
    let n = FIRST_NUMBER + ALLOCATED.fetch_add(1, Ordering::Relaxed) % ADDRESS_COUNT;
    let [_, _, high, low] = std::process::id().to_be_bytes();
    // The last octet must not be 0 or 255.
    Ipv4Addr::new(127, n as u8, high, low.clamp(1, 254))
}
