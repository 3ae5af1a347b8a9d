//! The oldest snapshot that a caller accepts: the newest one that it has seen.

use gs_rig::load::LookupRequest;
use gs_rig::platform::Control;
use gs_types::prelude::*;
use rstest::rstest;

use crate::support::TestDeployment;
use crate::support::draw_lookup;
use crate::support::refusal_reason;
use crate::support::send_lookup;
use crate::support::start_tiny;
use crate::support::wait_until;

/// Number of lookups in a session, several for each VM.
const SESSION_LOOKUPS: usize = 12;

/// Outcome counts of a session of lookups that uses the VMs in turn.
#[derive(Debug, Default, PartialEq)]
struct Session {
    pages: usize,
    /// Pages from an older snapshot than one seen before.
    older_pages: usize,
    /// Refusals by a VM that has no snapshot as new as the minimum.
    refused: usize,
}

async fn run_session(d: &TestDeployment, with_snapshot_min: bool) -> Session {
    let mut session = Session::default();
    let mut newest: Option<SnapshotId> = None;
    for step in 0..SESSION_LOOKUPS {
        let lookup = LookupRequest {
            floor: newest.filter(|_| with_snapshot_min),
            ..draw_lookup(d, "placement", 50)
        };
        let reply = send_lookup(d, step % d.vms.len(), &lookup).await;
        if let Some(page) = reply.page() {
            session.pages += 1;
            session.older_pages += usize::from(newest.is_some_and(|n| page.snapshot < n));
            newest = newest.max(Some(page.snapshot));
        } else {
            assert_eq!(
                refusal_reason(&reply).as_deref(),
                Some("no-snapshot"),
                "{reply:?}"
            );
            session.refused += 1;
        }
    }
    session
}

/// Prevents a session from getting an older snapshot than before when one VM, partitioned from the platform, still pins
/// the old one. With a minimum snapshot that VM must refuse the lookup instead.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_session_with_a_floor_never_goes_back() {
    let d = start_tiny().await;
    let outdated: DataCentre = d.vms[2].plan().data_centre.parse().expect("a name");
    d.platform.control(Control {
        cut_data_centres: Some(vec![outdated]),
        ..Control::default()
    });
    let new = SnapshotId(2);
    d.publish("bulletin-desk", new, 3).expect("published");
    for vm in 0..2 {
        wait_until("answers from the new snapshot", async || {
            let reply = send_lookup(&d, vm, &draw_lookup(&d, "placement", 51)).await;
            reply.page().is_some_and(|p| p.snapshot == new)
        })
        .await;
    }
    let plain = run_session(&d, false).await;
    let with_snapshot_min = run_session(&d, true).await;
    let third = SESSION_LOOKUPS / 3;
    assert_eq!((plain.pages, plain.refused), (SESSION_LOOKUPS, 0));
    assert_eq!(plain.older_pages, third, "the outdated VM");
    let expected = Session {
        pages: SESSION_LOOKUPS - third,
        older_pages: 0,
        refused: third,
    };
    assert_eq!(with_snapshot_min, expected);
}
