//! A short soak with a fixed seed, and the seeds that once failed.

use std::path::PathBuf;
use std::time::Duration;

use gs_rig::site::SoakOptions;
use gs_rig::site::soak;
use rstest::rstest;

/// Runs one seed for some seconds.
#[rstest]
#[case::seed_1(1)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_soak_run_finds_no_violations(#[case] seed: u64) {
    let dir = tempfile::tempdir().expect("a folder");
    let options = SoakOptions::builder()
        .bin(PathBuf::from(env!("CARGO_BIN_EXE_gentiansill")))
        .dir(dir.path().to_owned())
        .seed(seed)
        .length(Duration::from_secs(6))
        .build();
    let report = soak(options).await.expect("the site starts");
    assert!(report.violations.is_empty(), "{report:#?}");
    assert!(
        report.ends.get("whole").copied().unwrap_or(0) > 100,
        "{report:#?}"
    );
}
