//! Tests of the memory that bodies may hold together: what fits, what is refused and what is returned.

use std::sync::Arc;

use gs_http::BodyBudget;
use gs_http::BodyCharge;
use gs_types::size::Bytes;
use rstest::rstest;

/// The free part of each body.
const FREE: usize = 8 << 10;

fn budget(max: u64) -> Arc<BodyBudget> {
    Arc::new(BodyBudget::new(Bytes(max)))
}

#[test]
fn a_charge_is_returned_when_the_body_is_dropped() {
    let budget = budget(1000);
    let mut charge = BodyCharge::new(&budget);
    assert!(charge.grow_to(FREE + 400));
    assert!(charge.grow_to(FREE + 1000));
    assert_eq!(budget.charged(), Bytes(1000));
    drop(charge);
    assert_eq!(budget.charged(), Bytes(0));
}

#[test]
fn a_body_that_does_not_fit_charges_nothing_more() {
    let budget = budget(1000);
    let mut first = BodyCharge::new(&budget);
    let mut second = BodyCharge::new(&budget);
    assert!(first.grow_to(FREE + 600));
    assert!(second.grow_to(FREE + 300));
    assert!(!second.grow_to(FREE + 401));
    assert_eq!(budget.charged(), Bytes(900));
    drop(first);
    assert!(second.grow_to(FREE + 401));
    assert_eq!(budget.charged(), Bytes(401));
}

/// Prevents small requests from being refused because of large ones.
#[test]
fn small_bodies_fit_into_a_full_budget() {
    let budget = budget(0);
    let mut charge = BodyCharge::new(&budget);
    assert!(charge.grow_to(FREE));
    assert!(charge.is_free());
    assert!(!charge.grow_to(FREE + 1));
    assert!(charge.is_free());
}

/// Prevents a length that is only announced from keeping out bodies that arrive.
#[rstest]
#[case::small(FREE, true)]
#[case::all_that_is_left(FREE + 400, true)]
#[case::more(FREE + 401, false)]
#[case::endless(usize::MAX, false)]
fn an_announced_length_reserves_nothing(#[case] bytes: usize, #[case] has_room: bool) {
    let budget = budget(1000);
    let mut other = BodyCharge::new(&budget);
    assert!(other.grow_to(FREE + 600));
    assert_eq!(budget.has_room_for(bytes), has_room);
    assert_eq!(budget.charged(), Bytes(600));
}

#[test]
fn an_overflow_does_not_fit() {
    let budget = budget(u64::MAX);
    let mut first = BodyCharge::new(&budget);
    let mut second = BodyCharge::new(&budget);
    assert!(first.grow_to(usize::MAX));
    assert!(!second.grow_to(usize::MAX));
}

#[test]
fn a_held_body_is_charged_until_its_last_copy_is_dropped() {
    let budget = budget(1000);
    let body = bytes::Bytes::from(vec![7; FREE + 600]);
    let held = budget.hold(body.clone()).expect("it fits");
    assert_eq!(held, body);
    let copy = held.slice(1..2);
    drop(held);
    assert_eq!(budget.charged(), Bytes(600));
    assert_eq!(budget.hold(body.clone()), None);
    drop(copy);
    assert_eq!(budget.charged(), Bytes(0));
    assert!(budget.hold(body).is_some());
}
