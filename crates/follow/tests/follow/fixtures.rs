//! VMs and names for the tests.

use gs_relay::Capacity;
use gs_relay::PeerVm;
use gs_types::prelude::*;

/// The data centre of the VMs under test.
pub const HERE: &str = "hobart-a";

/// Returns a VM with the given number of cores.
pub fn vm(name: &str, data_centre: &str, cores: f64) -> PeerVm {
    PeerVm {
        name: id(name),
        data_centre: self::data_centre(data_centre),
        region: "hobart".parse().expect("a region"),
        addr: "127.0.0.1:7380".parse().expect("an address"),
        capacity: Capacity {
            cores,
            megabits: 100.0,
        },
    }
}

/// Returns `count` equal VMs in [`HERE`], named `vm-00` and on.
pub fn equal_vms(count: usize) -> Vec<PeerVm> {
    let names = (0..count).map(|n| format!("vm-{n:02}"));
    names.map(|name| vm(&name, HERE, 0.25)).collect()
}

pub fn id(name: &str) -> VmId {
    name.parse().expect("a name")
}

pub fn data_centre(name: &str) -> DataCentre {
    name.parse().expect("a data centre")
}

pub fn names(vms: &[PeerVm]) -> Vec<&str> {
    vms.iter().map(|vm| vm.name.as_str()).collect()
}
