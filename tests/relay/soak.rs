//! A short soak test with fixed seeds; a seed that fails is added as a case.

use std::path::PathBuf;
use std::time::Duration;

use gs_rig::site::SoakOptions;
use gs_rig::site::soak;
use rstest::rstest;

/// Runs one seed and checks that the promises hold.
#[rstest]
#[case::seed_1(1, 3, Duration::from_secs(6), false, false, false)]
#[case::seed_33109(33109, 18, Duration::from_secs(8), false, false, false)]
#[case::store_restored(36, 18, Duration::from_secs(8), true, false, false)]
#[case::crashing_requests(39, 9, Duration::from_secs(10), true, true, false)]
#[case::late_copies(48, 3, Duration::from_secs(10), true, true, true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_soak_run_finds_no_violations(
    #[case] seed: u64,
    #[case] vms: usize,
    #[case] length: Duration,
    #[case] store_restores: bool,
    #[case] crashing_requests: bool,
    #[case] late_copies: bool,
) {
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
        .build();
    let report = soak(options).await.expect("the site starts");
    assert!(report.violations.is_empty(), "{report:#?}");
    assert!(
        report.ends.get("whole").copied().unwrap_or(0) > 100,
        "{report:#?}"
    );
}
