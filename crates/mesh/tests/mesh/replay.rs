//! Tests of the replay protection.

use gs_mesh::Frame;
use gs_mesh::RejectReason;
use gs_mesh::ReplayGuard;
use gs_types::prelude::*;
use rstest::rstest;

use crate::frame::frame;

fn with_incarnation(seq: u64, incarnation: u64) -> Frame {
    Frame {
        incarnation: Incarnation(incarnation),
        ..frame(seq)
    }
}

#[rstest]
#[case::repeated(vec![1, 1], vec![Ok(()), Err(RejectReason::Replayed)])]
#[case::out_of_order(vec![2, 1, 2], vec![Ok(()), Ok(()), Err(RejectReason::Replayed)])]
#[case::outside_the_window(vec![100, 36], vec![Ok(()), Err(RejectReason::Replayed)])]
#[case::at_the_edge_of_the_window(vec![100, 37], vec![Ok(()), Ok(())])]
#[case::after_a_gap(vec![1, 1000, 999], vec![Ok(()), Ok(()), Ok(())])]
fn a_frame_is_admitted_once(
    #[case] seqs: Vec<u64>,
    #[case] expected: Vec<Result<(), RejectReason>>,
) {
    let mut guard = ReplayGuard::default();
    let got: Vec<_> = seqs.iter().map(|s| guard.admit(&frame(*s))).collect();
    assert_eq!(got, expected);
}

/// A recorded frame of an earlier incarnation is sent again after the process restarted. If it were accepted, it would
/// restore a state of the sender that is out of date.
#[test]
fn a_frame_of_an_earlier_incarnation_is_refused() {
    let mut guard = ReplayGuard::default();
    assert_eq!(guard.admit(&with_incarnation(5, 1)), Ok(()));
    assert_eq!(guard.admit(&with_incarnation(1, 2)), Ok(()));
    assert_eq!(
        guard.admit(&with_incarnation(6, 1)),
        Err(RejectReason::Replayed)
    );
}
