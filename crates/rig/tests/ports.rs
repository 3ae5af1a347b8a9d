//! Free ports for VMs.

use std::net::Ipv4Addr;

use gs_rig::site::free_ports;

/// Regression test: two of a VM's three listeners got the same port, so that the VM did not start; a process test
/// failed in about one of twenty runs.
#[test]
fn the_ports_of_a_vm_differ() {
    for _ in 0..10_000 {
        let [a, b, c] = free_ports(Ipv4Addr::new(127, 99, 7, 9)).expect("ports");
        assert!(a != b && b != c && a != c, "{a} {b} {c}");
    }
}
