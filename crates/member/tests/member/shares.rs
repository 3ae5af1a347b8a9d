//! Tests of the division of connections among seats, and of the transfer of seats between VMs.

use std::time::Duration;

use crate::world::PlatformMode;
use crate::world::World;
use crate::world::server;
use gs_member::Seat;
use gs_member::SeatId;
use gs_member::connections_for_seat;
use gs_types::prelude::*;
use rstest::rstest;

fn seats(full: u32, spare: u32) -> Vec<Seat> {
    let seat = |i: u32| Seat {
        id: SeatId(i),
        data_centre: (i < full).then(|| format!("dc-{}", i % 3).parse().expect("a name")),
    };
    (0..full + spare).map(seat).collect()
}

#[rstest]
#[case(25, vec![2, 2, 2, 3, 3, 3, 3, 3, 3, 1])]
#[case(40, vec![4, 4, 4, 4, 4, 4, 4, 5, 5, 2])]
#[case(100, vec![10, 10, 10, 10, 11, 11, 11, 11, 11, 5])]
#[case(3, vec![0, 0, 0, 0, 0, 0, 1, 1, 1, 0])]
fn a_limit_is_distributed_completely(#[case] limit: u32, #[case] expected: Vec<u32>) {
    let seats = seats(9, 1);
    let s = server("s", limit);
    let share = |seat: &Seat| connections_for_seat(&s, &seats, seat.id).0;
    let mut got: Vec<u32> = seats[..9].iter().map(share).collect();
    got.sort_unstable();
    got.push(share(&seats[9]));
    assert_eq!(got, expected);
    assert_eq!(got.iter().sum::<u32>(), limit);
}

#[test]
fn a_remainder_goes_to_the_servers_own_data_centre() {
    let seats = seats(9, 1);
    let s = server("s", 13);
    let two: Vec<_> = seats
        .iter()
        .filter(|x| connections_for_seat(&s, &seats, x.id) == Connections(2))
        .filter_map(|x| x.data_centre.as_ref().map(|d| d.to_string()))
        .collect();
    assert_eq!(two, ["dc-1", "dc-1", "dc-1"]);
}

#[test]
fn a_larger_limit_lowers_no_seats_share() {
    let seats = seats(9, 2);
    for limit in 0..200 {
        for x in &seats {
            let less = connections_for_seat(&server("s", limit), &seats, x.id);
            let more = connections_for_seat(&server("s", limit + 1), &seats, x.id);
            assert!(less <= more, "seat {:?} at limit {limit}", x.id);
        }
    }
}

fn nine_vms() -> World {
    let mut w = World::new(&[25, 40, 100]);
    (0..9).for_each(|i| w.start(i));
    w.run(Duration::from_secs(10));
    w
}

fn connections_in_use(w: &World) -> Vec<u32> {
    w.servers.iter().map(|s| w.sum(s)).collect()
}

#[test]
fn nine_vms_started_together_soon_hold_nearly_all_connections() {
    assert_eq!(connections_in_use(&nine_vms()), [24, 38, 95]);
}

/// The connections of a paused VM stay open at the servers. The other VMs cannot distinguish it
/// from a dead one, so assigning its share to them would exceed the servers' limits.
#[test]
fn a_paused_vm_keeps_its_share() {
    let mut w = nine_vms();
    let before = w.processes[&4].connections.clone();
    w.processes.get_mut(&4).expect("running").paused = true;
    w.run(Duration::from_secs(60));
    assert_eq!(w.processes[&4].connections, before);
    assert_eq!(connections_in_use(&w), [24, 38, 95]);
}

/// A tenth VM joins while another one is partitioned from all others and cannot lower its shares.
/// Without a spare seat the new VM would hold no connections until the partition ends.
#[test]
fn a_new_vm_gets_connections_while_another_is_partitioned() {
    let mut w = nine_vms();
    w.processes.get_mut(&4).expect("running").partitioned = true;
    w.start(9);
    w.run(Duration::from_secs(5));
    let held: Vec<_> = w.processes[&9].connections.values().copied().collect();
    assert_eq!(held, [5, 1, 2]);
}

/// Two VMs are replaced while a third one is partitioned. The platform removes the old VMs, so
/// their seats can be assigned to the new ones at once, whatever epoch the partitioned VM is at.
#[test]
fn new_vms_take_the_seats_of_removed_vms_during_a_partition() {
    let mut w = nine_vms();
    w.processes.get_mut(&4).expect("running").partitioned = true;
    for i in [1, 2] {
        w.kill(i);
        w.remove(i);
    }
    w.run(Duration::from_secs(14));
    w.start(10);
    w.start(11);
    w.run(Duration::from_secs(5));
    let of_25 = |i: u8| w.processes[&i].connections[&w.servers[0].server];
    assert_eq!((of_25(10), of_25(11)), (3, 3));
}

/// A process is killed and restarted at once. It still has its seat, so it gets its share back
/// after one write, and does not depend on any other VM.
#[test]
fn a_restarted_process_regains_its_share() {
    let mut w = nine_vms();
    let before = w.processes[&3].connections.clone();
    w.kill(3);
    w.start(3);
    w.run(Duration::from_secs(2));
    assert_eq!(w.processes[&3].connections, before);
}

/// A leaving process vacates its seat by a write whose answer is lost, and which is still in flight
/// when its next incarnation starts. If it took effect then, a seat in use would be assigned to a
/// new VM.
#[test]
fn a_late_write_of_an_earlier_incarnation_cannot_vacate_the_seat() {
    let mut w = nine_vms();
    w.platform_mode = PlatformMode::DelaysWrites;
    w.leave(3);
    w.run(Duration::from_millis(300));
    w.kill(3);
    w.platform_mode = PlatformMode::Normal;
    w.start(3);
    w.run(Duration::from_secs(2));
    w.apply_delayed_writes();
    w.start(9);
    w.start(10);
    w.run(Duration::from_secs(30));
    assert_eq!(connections_in_use(&w), [24, 38, 96]);
}

/// After a VM is removed permanently, the remaining VMs share its connections once all of them have
/// lowered to the table without its seat.
#[test]
fn the_remaining_vms_share_the_connections_of_a_removed_vm() {
    let mut w = nine_vms();
    w.kill(8);
    w.remove(8);
    w.run(Duration::from_secs(40));
    assert_eq!(connections_in_use(&w), [24, 38, 94]);
    assert_eq!(w.processes.len(), 8);
}

/// A process is restarted while writes are delayed, and has to leave before it could register for
/// the seat of its previous incarnation. If it did not vacate that seat, the seat's connections
/// would stay unused as long as the VM is listed.
#[test]
fn a_leaving_process_vacates_the_seat_of_its_earlier_incarnation() {
    let mut w = nine_vms();
    w.platform_mode = PlatformMode::DelaysWrites;
    w.kill(7);
    w.start(7);
    w.leave(7);
    w.run(Duration::from_secs(1));
    w.platform_mode = PlatformMode::Normal;
    w.run(Duration::from_secs(40));
    assert_eq!(connections_in_use(&w), [24, 38, 94]);
}

/// A new VM whose seat is not usable yet moves to a seat that was vacated, by a write that is
/// delayed. In the meantime its first seat becomes usable. If it opened connections under that seat
/// and were then paused, the write would take effect, and the next new VM would open the same
/// connections.
#[test]
fn a_vm_that_changes_seats_does_not_use_its_old_seat() {
    let mut w = nine_vms();
    w.processes.get_mut(&4).expect("running").partitioned = true;
    w.start(9);
    w.run(Duration::from_secs(5));
    w.start(10);
    w.run(Duration::from_secs(5));
    w.processes.get_mut(&10).expect("running").paused = true;
    w.kill(1);
    w.remove(1);
    w.run(Duration::from_secs(14));
    w.platform_mode = PlatformMode::DelaysWrites;
    w.processes.get_mut(&10).expect("running").paused = false;
    w.run(Duration::from_secs(2));
    w.processes.get_mut(&4).expect("running").partitioned = false;
    w.run(Duration::from_secs(3));
    w.processes.get_mut(&10).expect("running").paused = true;
    w.apply_delayed_writes();
    w.platform_mode = PlatformMode::Normal;
    w.start(11);
    w.run(Duration::from_secs(20));
    assert_eq!(w.processes[&10].connections.values().sum::<u32>(), 0);
}
