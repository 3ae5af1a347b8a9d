//! Frames that come again.

use gs_mesh::Frame;
use gs_mesh::RejectReason;
use gs_mesh::ReplayGuard;
use gs_types::prelude::*;
use rstest::rstest;

use crate::frame::frame;

fn of_run(seq: u64, run: u64) -> Frame {
    Frame {
        incarnation: Incarnation(run),
        ..frame(seq)
    }
}

#[rstest]
#[case::again(vec![1, 1], vec![Ok(()), Err(RejectReason::Replayed)])]
#[case::crossed(vec![2, 1, 2], vec![Ok(()), Ok(()), Err(RejectReason::Replayed)])]
#[case::far_behind(vec![100, 36], vec![Ok(()), Err(RejectReason::Replayed)])]
#[case::just_in_reach(vec![100, 37], vec![Ok(()), Ok(())])]
#[case::after_a_gap(vec![1, 1000, 999], vec![Ok(()), Ok(()), Ok(())])]
fn a_frame_is_admitted_once(
    #[case] seqs: Vec<u64>,
    #[case] expected: Vec<Result<(), RejectReason>>,
) {
    let mut guard = ReplayGuard::default();
    let got: Vec<_> = seqs.iter().map(|s| guard.admit(&frame(*s))).collect();
    assert_eq!(got, expected);
}

/// A recorded frame of a process's earlier run is sent again after it restarted. Taken, it would
/// bring back a state that the sender has left behind.
#[test]
fn a_frame_of_an_earlier_run_is_refused() {
    let mut guard = ReplayGuard::default();
    assert_eq!(guard.admit(&of_run(5, 1)), Ok(()));
    assert_eq!(guard.admit(&of_run(1, 2)), Ok(()));
    assert_eq!(guard.admit(&of_run(6, 1)), Err(RejectReason::Replayed));
}
