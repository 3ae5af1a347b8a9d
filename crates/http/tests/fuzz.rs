//! Fuzz tests with arbitrary bytes from callers and from backend servers.
//!
//! The code must not panic, hang or accept a wrong page, and must keep serving. `GS_FUZZ_CASES` sets the number of cases
//! for a longer run; the seed is fixed.

#[path = "fuzz/answer.rs"]
mod answer;
#[path = "fuzz/backend.rs"]
mod backend;
#[path = "fuzz/bytes.rs"]
mod bytes;
#[path = "fuzz/callers.rs"]
mod callers;

use std::sync::Once;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use tokio::runtime::Runtime;

/// The number of cases if `GS_FUZZ_CASES` is not set; each sends a batch.
const CASES: u32 = 24;

/// The number of panics in any thread, including those in tasks that are not awaited.
static PANICS: AtomicU32 = AtomicU32::new(0);

fn config() -> Config {
    let cases = std::env::var("GS_FUZZ_CASES").ok();
    Config {
        cases: cases.and_then(|s| s.parse().ok()).unwrap_or(CASES),
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        max_shrink_iters: 16,
        ..Config::default()
    }
}

/// Creates a runtime, and counts the panics of its tasks.
fn runtime() -> Runtime {
    static HOOK: Once = Once::new();
    HOOK.call_once(|| {
        let print = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            PANICS.fetch_add(1, Ordering::SeqCst);
            print(info);
        }));
    });
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime")
}

fn panics() -> u32 {
    PANICS.load(Ordering::SeqCst)
}
