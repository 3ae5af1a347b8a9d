//! `gs-rig soak`: runs the randomized soak test for a range of seeds.

use std::process::ExitCode;
use std::time::Duration;

use gs_rig::site::SoakOptions;
use gs_rig::site::soak;
use gs_types::prelude::*;

use crate::args::SoakArgs;

/// Runs the seeds one after the other; exits with 1 if a guarantee was violated.
pub(crate) async fn run(args: &SoakArgs) -> Result<ExitCode> {
    let mut broken = 0;
    for seed in args.seed..args.seed + args.seeds {
        let dir = args.dir.join(format!("soak-{seed}"));
        std::fs::create_dir_all(&dir)
            .map_err(|e| Error::new(ErrorKind::Io, e.to_string()).at("make a folder"))?;
        let options = SoakOptions::builder()
            .bin(args.bin.clone())
            .dir(dir.clone())
            .seed(seed)
            .length(Duration::from_secs(args.seconds))
            .vms(args.vms)
            .shards(args.shards)
            .crashing_requests(args.all_faults)
            .store_restores(args.all_faults)
            .store_reads(args.all_faults)
            .late_copies(args.all_faults)
            .build();
        let report = soak(options).await?;
        let mut ends: Vec<_> = report.ends.iter().collect();
        ends.sort();
        println!(
            "seed {seed}: {} faults, {ends:?}, {} violations",
            report.faults.len(),
            report.violations.len()
        );
        if report.violations.is_empty() {
            // Logs are kept only for failed seeds; a directory that cannot be removed does no harm.
            let _ = std::fs::remove_dir_all(&dir);
            continue;
        }
        broken += 1;
        for line in report.faults.iter().chain(&report.violations) {
            println!("  {line}");
        }
        println!("  logs: {}", dir.display());
    }
    Ok(ExitCode::from(u8::from(broken > 0)))
}
