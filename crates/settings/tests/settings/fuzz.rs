//! Arbitrary input is accepted or refused with a report, and never causes a panic.

use std::path::Path;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

use crate::common::MINIMAL;
use crate::common::report;

fn config() -> Config {
    let cases = std::env::var("GS_FUZZ_CASES")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(256);
    Config {
        cases,
        rng_seed: RngSeed::Fixed(20261203),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Checks that a refused text has a report that renders, with each span within the text.
fn check_report(text: &str) {
    if let Err(faults) = gs_settings::parse("vm.toml", text, Path::new("none")) {
        for f in faults.faults() {
            let span = f.span().unwrap_or(0..0);
            assert!(span.start <= span.end && span.end <= text.len());
        }
        assert!(!faults.faults().is_empty());
        report(&faults, Path::new("none"));
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_bytes_are_accepted_or_reported(buf in proptest::collection::vec(any::<u8>(), 0..600)) {
        check_report(&String::from_utf8_lossy(&buf));
    }

    #[test]
    fn a_valid_file_with_a_piece_replaced_is_accepted_or_reported(
        from in 0..MINIMAL.len(),
        len in 0..40usize,
        piece in r#"[\[\]\{\}="'.,#\n a-z0-9é-]{0,24}"#,
    ) {
        let to = (from + len).min(MINIMAL.len());
        check_report(&format!("{}{piece}{}", &MINIMAL[..from], &MINIMAL[to..]));
    }

    #[test]
    fn any_value_for_any_key_is_accepted_or_reported(
        pos in 0..gs_settings::KEYS.len(),
        value in r#"("[ -~é]{0,12}"|-?[0-9]{1,22}|[0-9]{1,4}\.[0-9e]{1,6}|[\[\{]{1,200}|inf|true)"#,
    ) {
        let key = gs_settings::KEYS[pos];
        check_report(&format!("[{}]\n{} = {value}\n", key.section, key.name));
    }

    #[test]
    fn deep_nesting_is_reported(open in r"[\[\{]", n in 1..2_000usize) {
        check_report(&format!("a = {}", open.repeat(n)));
        check_report(&format!("{} = 1", "a.".repeat(n) + "a"));
    }
}
