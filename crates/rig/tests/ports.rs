//! Ports of stand-ins.

use std::net::Ipv4Addr;

use gs_rig::site::free_ports;

/// A process test fails once in some twenty runs, as one of its VMs does not start: two of its three listeners
/// were given the same port.
#[test]
fn the_ports_of_a_vm_differ() {
    for _ in 0..10_000 {
        let [a, b, c] = free_ports(Ipv4Addr::new(127, 99, 7, 9)).expect("ports");
        assert!(a != b && b != c && a != c, "{a} {b} {c}");
    }
}
