//! Tests of the settings file: defaults, and errors with a place and a reason.

use std::time::Duration;

use gs_edge::EdgeSettings;
use gs_types::prelude::*;
use rstest::rstest;

/// Returns the example of the documentation.
fn example() -> String {
    let page = include_str!("../../../docs/SETTINGS-relay.md");
    let (_, rest) = page.split_once("```toml\n").expect("an example");
    rest.split_once("```").expect("its end").0.to_owned()
}

/// A file with only the keys that have no default.
const MINIMAL: &str = r#"
[vm]
name = "front-hobart-a-1"
data-centre = "hobart-a"
region = "hobart"
capacity = { cores = 0.25, megabits = 1000.0 }
[vm.data-centres]
hobart-a = "hobart"
launceston-a = "launceston"
[listen]
callers = "127.0.0.1:8104"
status = "127.0.0.1:8108"
peers = "127.0.0.1:7380"
[platform]
addr = "127.0.0.1:8102"
"#;

#[test]
fn documented_settings_equal_the_defaults() {
    let documented = EdgeSettings::parse(&example()).expect("it parses");
    let minimal = EdgeSettings::parse(MINIMAL).expect("it parses");
    assert_eq!(documented, minimal);
}

#[rstest]
#[case::not_toml("[vm", "unclosed table")]
#[case::unknown_key("[vm]\nnam = 1", "unknown field `nam`")]
#[case::empty_file("", "missing field `vm`")]
fn invalid_settings_files_are_rejected(#[case] text: &str, #[case] expected: &str) {
    let e = EdgeSettings::parse(text).expect_err("it is rejected");
    assert_eq!(e.kind(), ErrorKind::BadInput);
    assert!(e.to_string().contains(expected), "{e}");
    assert!(
        e.hint().is_some_and(|h| h.contains("SETTINGS-relay")),
        "{e:?}"
    );
}

#[rstest]
#[case("[budget]\nextra-ratio = -1.0", "budget.extra-ratio")]
#[case("[budget]\nslack = -1.0", "budget.slack")]
#[case("[budget]\npeers = 0", "budget.peers")]
#[case("[budget]\nwindow = \"1ms\"", "budget.window")]
#[case("renew-every = \"10ms\"", "platform.renew-every")]
#[case("[answers]\nmargin = \"11s\"", "answers.margin")]
#[case("[shutdown]\nlag = \"9s\"", "shutdown.lag")]
#[case("[shutdown]\nlag = \"5s\"\ngrace = \"5s\"", "shutdown.lag")]
#[case("[shutdown]\ngrace = \"99ms\"", "shutdown.grace")]
fn out_of_range_settings_are_rejected(#[case] more: &str, #[case] key: &str) {
    let e = EdgeSettings::parse(&format!("{MINIMAL}{more}\n")).expect_err("it is rejected");
    assert!(e.to_string().contains(key), "{e}");
    assert!(e.hint().is_some_and(|h| h.contains(key)), "{e:?}");
}

#[test]
fn a_vm_without_memory_for_its_connections_is_rejected() {
    let text = MINIMAL.replace("[vm]\n", "[vm]\nmemory = \"63MB\"\n");
    let e = EdgeSettings::parse(&text).expect_err("it is rejected");
    assert!(e.to_string().contains("vm.memory"), "{e}");
    assert!(e.hint().is_some_and(|h| h.contains("vm.memory")), "{e:?}");
}

#[test]
fn an_eighth_of_the_memory_is_for_bodies_in_each_direction() {
    let text = MINIMAL.replace("[vm]\n", "[vm]\nmemory = \"160MB\"\n");
    let cfg = EdgeSettings::parse(&text).expect("it parses");
    assert_eq!(cfg.request_bodies_max().to_string(), "20MB");
    assert_eq!(cfg.answers_max().to_string(), "20MB");
}

#[test]
fn a_missing_settings_file_is_an_io_error() {
    let e = EdgeSettings::load("no/such.toml".as_ref()).expect_err("it is rejected");
    assert_eq!((e.kind(), e.peer()), (ErrorKind::Io, Some("no/such.toml")));
}

/// Pages of a VM with an eighth of a core must not arrive after their objective: they take eight times as long to
/// build and send as those of a strong VM, so they must be started earlier.
#[rstest]
#[case(1.0, 11_200)]
#[case(0.5, 12_400)]
#[case(0.12, 20_000)]
#[case(0.0, 34_000)]
fn a_weak_vm_has_a_longer_answer_margin(#[case] cores: f64, #[case] margin_us: u128) {
    let mut cfg = EdgeSettings::parse(MINIMAL).expect("it parses");
    cfg.vm.capacity.cores = cores;
    assert_eq!(cfg.relay().answer_margin.as_micros(), margin_us);
}

/// Prevents requests without an answer where the platform kills processes sooner than elsewhere: from SIGTERM on, all
/// times follow the grace.
#[rstest]
fn the_times_of_a_shutdown_are_in_order_within_every_grace(
    #[values(1, 2, 3, 6, 30, 600)] grace_s: u64,
) {
    let text = format!("{MINIMAL}[shutdown]\ngrace = \"{grace_s}s\"\n");
    let settings = EdgeSettings::parse(&text);
    let shutdown = settings.expect("it parses").shutdown;
    let grace = Duration::from_secs(grace_s);
    assert!(shutdown.lag() <= shutdown.answer_after());
    assert!(shutdown.answer_after() < shutdown.exit_after());
    assert!(shutdown.exit_after() < grace);
}
