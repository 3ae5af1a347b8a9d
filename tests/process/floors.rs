//! A caller's floor: the newest snapshot that it has seen.

use gs_rig::load::LookupRequest;
use gs_rig::platform::Control;
use gs_types::prelude::*;
use rstest::rstest;

use crate::support::Running;
use crate::support::ask;
use crate::support::ask_vm;
use crate::support::reason;
use crate::support::tiny;
use crate::support::until;

/// Lookups of each session, several for each VM.
const STEPS: usize = 12;

/// What a session of lookups through one VM after another came to.
#[derive(Debug, Default, PartialEq)]
struct Session {
    pages: usize,
    /// Pages from an older snapshot than one seen before.
    back: usize,
    /// Refusals of a VM that knows no snapshot as new as the floor.
    refused: usize,
}

async fn session(d: &Running, with_floor: bool) -> Session {
    let mut s = Session::default();
    let mut newest: Option<SnapshotId> = None;
    for step in 0..STEPS {
        let lookup = LookupRequest {
            floor: newest.filter(|_| with_floor),
            ..ask(d, "placement", 50)
        };
        let reply = ask_vm(d, step % d.vms.len(), &lookup).await;
        if let Some(page) = reply.page() {
            s.pages += 1;
            s.back += usize::from(newest.is_some_and(|n| page.snapshot < n));
            newest = newest.max(Some(page.snapshot));
        } else {
            assert_eq!(reason(&reply).as_deref(), Some("no-snapshot"), "{reply:?}");
            s.refused += 1;
        }
    }
    s
}

/// An editor pulls quotes while the index is repartitioned, each lookup through another VM.
/// One VM is cut off from the platform and still pins the old snapshot; without a floor the editor
/// sees the new lines, then not, then again. With the floor that VM says that it has no such snapshot.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_session_with_a_floor_never_goes_back() {
    let d = tiny().await;
    let behind: DataCentre = d.vms[2].plan().data_centre.parse().expect("a name");
    d.platform.control(Control {
        cut_data_centres: Some(vec![behind]),
        ..Control::default()
    });
    let new = SnapshotId(2);
    d.publish("bulletin-desk", new, 3).expect("published");
    for vm in 0..2 {
        until("answers from the new snapshot", async || {
            let reply = ask_vm(&d, vm, &ask(&d, "placement", 51)).await;
            reply.page().is_some_and(|p| p.snapshot == new)
        })
        .await;
    }
    let plain = session(&d, false).await;
    let floored = session(&d, true).await;
    let third = STEPS / 3;
    assert_eq!((plain.pages, plain.refused), (STEPS, 0));
    assert_eq!(plain.back, third, "the VM that is behind");
    let wanted = Session {
        pages: STEPS - third,
        back: 0,
        refused: third,
    };
    assert_eq!(floored, wanted);
}
