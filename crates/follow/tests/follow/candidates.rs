//! Tests of which VMs may query the register directly.

use gs_follow::candidates;

use crate::fixtures::HERE;
use crate::fixtures::data_centre;
use crate::fixtures::equal_vms;
use crate::fixtures::names;
use crate::fixtures::vm;

#[test]
fn the_strongest_of_the_data_centre_come_first() {
    let mut vms = equal_vms(6);
    vms.push(vm("strong", HERE, 0.5));
    vms.push(vm("elsewhere", "burnie-a", 1.0));
    let found = candidates(&vms, &data_centre(HERE));
    assert_eq!(names(&found), ["strong", "vm-00", "vm-01", "vm-02"]);
}

#[test]
fn the_order_of_the_list_does_not_count() {
    let mut vms = equal_vms(9);
    let found = candidates(&vms, &data_centre(HERE));
    vms.reverse();
    assert_eq!(candidates(&vms, &data_centre(HERE)), found);
}

#[test]
fn all_ask_where_they_are_few() {
    assert!(candidates(&equal_vms(4), &data_centre(HERE)).is_empty());
    assert!(!candidates(&equal_vms(5), &data_centre(HERE)).is_empty());
}
