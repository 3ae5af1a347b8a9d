//! A short soak test with fixed seeds; a seed that fails is added as a case.

use std::path::PathBuf;
use std::time::Duration;

use gs_rig::site::SoakOptions;
use gs_rig::site::soak;
use rstest::rstest;

/// Runs one seed and checks that the promises hold.
#[rstest]
#[case::seed_1(1, 3, Duration::from_secs(6), [false; 4])]
#[case::seed_33109(33109, 18, Duration::from_secs(8), [false; 4])]
#[case::store_restored(36, 18, Duration::from_secs(8), [true, false, false, false])]
#[case::crashing_requests(39, 9, Duration::from_secs(10), [true, true, false, false])]
#[case::late_copies(48, 3, Duration::from_secs(10), [true, true, true, false])]
#[case::old_reads(39122, 3, Duration::from_secs(10), [true; 4])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_soak_run_finds_no_violations(
    #[case] seed: u64,
    #[case] vms: usize,
    #[case] length: Duration,
    #[case] also: [bool; 4],
) {
    let [store_restores, crashing_requests, late_copies, store_reads] = also;
    let dir = tempfile::tempdir().expect("a folder");
    let options = SoakOptions::builder()
        .bin(PathBuf::from(env!("CARGO_BIN_EXE_gentiansill")))
        .dir(dir.path().to_owned())
        .seed(seed)
        .length(length)
        .vms(vms)
        .store_restores(store_restores)
        .crashing_requests(crashing_requests)
        .late_copies(late_copies)
        .store_reads(store_reads)
        .build();
    let report = soak(options).await.expect("the site starts");
    assert!(report.violations.is_empty(), "{report:#?}");
    assert!(
        report.ends.get("whole").copied().unwrap_or(0) > 100,
        "{report:#?}"
    );
}
