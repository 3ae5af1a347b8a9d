//! Tests of the encoding of the seat table and of heartbeats.

use std::time::Duration;

use gs_member::Heartbeat;
use gs_member::SeatTable;
use gs_types::prelude::*;
use proptest::prelude::*;

use crate::world::World;

fn dcs() -> Vec<DataCentre> {
    ["a", "b"].map(|d| d.parse().expect("a name")).to_vec()
}

#[test]
fn a_table_round_trips_through_its_object() {
    let table = SeatTable::initial(dcs().iter());
    let content = table.encode().expect("encodes");
    assert_eq!(SeatTable::decode(&content), Ok(table));
}

#[test]
fn another_format_version_is_refused() {
    let mut content = SeatTable::initial(dcs().iter()).encode().expect("encodes");
    content[0] = 9;
    let e = SeatTable::decode(&content).expect_err("refused");
    assert_eq!(e.kind(), ErrorKind::Version);
    assert_eq!(
        e.to_string(),
        "the seat table has format version 9, expected 1 (step: read seat table)"
    );
}

proptest! {
    #![proptest_config(crate::fuzz::config(256))]

    #[test]
    fn any_bytes_decode_to_a_table_or_an_error(mut bytes: Vec<u8>) {
        let _ = SeatTable::decode(&bytes);
        bytes.insert(0, 1);
        if let Ok(table) = SeatTable::decode(&bytes) {
            prop_assert!(table.encode().is_ok());
        }
    }
}

proptest! {
    #![proptest_config(crate::fuzz::config(256))]

    #[test]
    fn any_bytes_decode_to_a_heartbeat_or_an_error(bytes: Vec<u8>) {
        let _ = postcard::from_bytes::<Heartbeat>(&bytes);
    }

    /// A peer may send wrong data, for example if its build is faulty. No heartbeat that decodes
    /// may make a VM panic.
    #[test]
    fn no_heartbeat_causes_a_panic(all: Vec<(Vec<u8>, u8)>) {
        let mut w = World::new(&[25]);
        (0..3).for_each(|i| w.start(i));
        w.run(Duration::from_secs(1));
        for (bytes, from) in all {
            if let Ok(heartbeat) = postcard::from_bytes::<Heartbeat>(&bytes) {
                w.inject_heartbeat(0, from % 4, heartbeat);
            }
        }
        w.run(Duration::from_secs(1));
    }
}
