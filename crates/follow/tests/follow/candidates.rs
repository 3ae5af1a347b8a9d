//! Who may ask the register.

use gs_follow::candidates;

use crate::world::HERE;
use crate::world::equals;
use crate::world::names;
use crate::world::place;
use crate::world::vm;

#[test]
fn the_strongest_of_the_data_centre_come_first() {
    let mut vms = equals(6);
    vms.push(vm("strong", HERE, 0.5));
    vms.push(vm("elsewhere", "burnie-a", 1.0));
    let found = candidates(&vms, &place(HERE));
    assert_eq!(names(&found), ["strong", "vm-00", "vm-01", "vm-02"]);
}

#[test]
fn the_order_of_the_list_does_not_count() {
    let mut vms = equals(9);
    let found = candidates(&vms, &place(HERE));
    vms.reverse();
    assert_eq!(candidates(&vms, &place(HERE)), found);
}

#[test]
fn all_ask_where_they_are_few() {
    assert!(candidates(&equals(4), &place(HERE)).is_empty());
    assert!(!candidates(&equals(5), &place(HERE)).is_empty());
}
