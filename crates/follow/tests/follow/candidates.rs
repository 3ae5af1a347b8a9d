//! Tests of which VMs may query the register directly.

use gs_follow::candidates;

use crate::fixtures::HERE;
use crate::fixtures::data_centre;
use crate::fixtures::equal_vms;
use crate::fixtures::names;
use crate::fixtures::vm;

#[test]
fn candidates_are_the_strongest_vms_of_the_data_centre() {
    let mut vms = equal_vms(6);
    vms.push(vm("strong", HERE, 0.5));
    vms.push(vm("elsewhere", "burnie-a", 1.0));
    let found = candidates(&vms, &data_centre(HERE));
    assert_eq!(names(&found), ["strong", "vm-00", "vm-01", "vm-02"]);
}

#[test]
fn candidates_do_not_depend_on_the_list_order() {
    let mut vms = equal_vms(9);
    let found = candidates(&vms, &data_centre(HERE));
    vms.reverse();
    assert_eq!(candidates(&vms, &data_centre(HERE)), found);
}

#[test]
fn no_candidates_are_chosen_among_few_vms() {
    assert!(candidates(&equal_vms(4), &data_centre(HERE)).is_empty());
    assert!(!candidates(&equal_vms(5), &data_centre(HERE)).is_empty());
}
