//! Settings files that are refused, each with the span, reason and hint of its fault.

use std::path::Path;

use gs_settings::Faults;
use rstest::rstest;

use crate::common::MINIMAL;
use crate::common::dir;
use crate::common::report;

/// Formats each fault as one line: its kind, the text at its span, its reason and its hint.
fn lines(faults: &Faults, text: &str, dir: &Path) -> Vec<String> {
    let dir = format!("{}/", dir.display());
    faults
        .faults()
        .iter()
        .map(|f| {
            let found = f.span().map_or("(file)", |s| &text[s]);
            let line = format!("{} | {found} | {f} | {}", f.kind(), f.hint());
            line.replace(&dir, "DIR/")
        })
        .collect()
}

fn refused(text: &str) -> Vec<String> {
    let dir = dir();
    let faults = gs_settings::parse("vm.toml", text, dir.path()).expect_err("refused");
    lines(&faults, text, dir.path())
}

#[rstest]
#[case::no_unit(
    "[shutdown]\nlag = \"2\"",
    r#"bad-value | "2" | `shutdown.lag` does not read: time unit needed, for example 2sec or 2ms in `2` | write a duration in quotes, such as "250ms" or "2s""#
)]
#[case::unknown_unit(
    "[shutdown]\nlag = \"2 parsecs\"",
    r#"bad-value | "2 parsecs" | `shutdown.lag` does not read: unknown time unit "parsecs", supported units: ns, us/µs, ms, sec, min, hours, days, weeks, months, years (and few variations) in `2 parsecs` | write a duration in quotes, such as "250ms" or "2s""#
)]
#[case::bad_size(
    "[callers]\nbody = \"64KiB\"",
    r#"bad-value | "64KiB" | `callers.body` does not read: `64KiB` is not a size | write a size in quotes, such as "64KB" or "1MB""#
)]
#[case::too_long(
    "[servers]\npoll = \"2h\"",
    r#"out-of-range | "2h" | `servers.poll` is 2h, out of its range | give 50ms to 1m"#
)]
#[case::too_large(
    "[callers]\nbody = \"1GB\"",
    r#"out-of-range | "1GB" | `callers.body` is 1GB, out of its range | give 1KB to 16MB"#
)]
#[case::negative(
    "[runtime]\nworkers = -1",
    r#"out-of-range | -1 | `runtime.workers` is -1, out of its range | give 1 to 256"#
)]
#[case::huge(
    "[tuning]\nseed = 99999999999999999999",
    r#"out-of-range | 99999999999999999999 | `tuning.seed` is larger than any range | give 0 to 9223372036854775807"#
)]
#[case::not_a_number(
    "[tuning]\nextra-budget = nan",
    r#"out-of-range | nan | `tuning.extra-budget` is NaN, out of its range | give 0 to 1"#
)]
#[case::wrong_type(
    "[callers]\nin-flight = \"many\"",
    r#"wrong-type | "many" | `callers.in-flight` is a string | write a whole number"#
)]
#[case::unknown_choice(
    "[tuning]\npolicy = \"best\"",
    r#"bad-value | "best" | `tuning.policy` does not read: there is no `best` | write one of chosen, baseline"#
)]
#[case::misspelt_key(
    "[shutdown]\ndeadlin = \"30s\"",
    r#"unknown-key | deadlin | there is no key `deadlin` in `[shutdown]` | did you mean `deadline`?"#
)]
#[case::key_of_another_section(
    "[shutdown]\nheartbeat = \"1s\"",
    r#"unknown-key | heartbeat | there is no key `heartbeat` in `[shutdown]` | it belongs under `[mesh]`"#
)]
#[case::unknown_key(
    "[log]\nfolder = \"x\"",
    r#"unknown-key | folder | there is no key `folder` in `[log]` | the keys of `[log]` are level"#
)]
#[case::misspelt_section(
    "[calers]\nbody = \"1KB\"",
    r#"unknown-key | calers | there is no section `calers` | did you mean `callers`?"#
)]
#[case::array_for_section(
    "[[log]]",
    r#"wrong-type | [[log]] | `log` is a section, not a value | write `[log]` on a line of its own and its keys below"#
)]
#[case::duplicate_key(
    "[log]\nlevel = \"info\"\nlevel = \"warn\"",
    "duplicate | level | the key is given twice | keep one of the two"
)]
#[case::duplicate_section(
    "[vm]",
    "duplicate | vm | the key is given twice | keep one of the two"
)]
#[case::not_toml(
    "[log]\nlevel = warn",
    "syntax | warn | this is not TOML: string values must be quoted, expected literal string | write `key = value` under a `[section]`; put words, durations and sizes in quotes"
)]
#[case::deadline_within_lag(
    "[shutdown]\ndeadline = \"1s\"",
    r#"clash | "1s" | `shutdown.deadline` is not longer than `shutdown.lag` | make the deadline longer than the lag and the longest lookup together"#
)]
#[case::lag_beyond_deadline(
    "[shutdown]\nlag = \"45s\"",
    r#"clash | "45s" | `shutdown.deadline` is not longer than `shutdown.lag` | make the deadline longer than the lag and the longest lookup together"#
)]
#[case::window_within_skew(
    "[claims]\nwindow = \"1m\"\nskew = \"1m\"",
    r#"clash | "1m" | `claims.window` is not longer than `claims.skew` | make the window longer than the time in which callers resend"#
)]
#[case::a_key_instead_of_its_hash(
    "[bootstrap]\nteam = \"ops\"\nkey-sha256 = \"s3cret\"",
    r#"bad-value | "s3cret" | `bootstrap.key-sha256` does not read: not a SHA-256 in hexadecimal | give 64 digits of 0-9 and a-f: `printf %s KEY | sha256sum`"#
)]
#[case::bootstrap_without_key_hash(
    "[bootstrap]\nteam = \"ops\"",
    r#"clash | "ops" | `bootstrap.team` is given without `bootstrap.key-sha256` | give both, or neither"#
)]
#[case::mixed_families(
    "[source]\nip = \"::1\"",
    r#"clash | "::1" | `source.ip` and `platform.addr` are of different IP versions | give both as IPv4 or both as IPv6"#
)]
fn an_invalid_addition_to_the_minimal_file_is_refused(#[case] added: &str, #[case] expected: &str) {
    let text = format!("{MINIMAL}\n{added}\n");
    assert_eq!(refused(&text), [expected]);
}

#[rstest]
#[case::bad_name(
    "\"hobart-1\"",
    "\"Hobart 1\"",
    r#"bad-value | "Hobart 1" | `vm.name` does not read: `Hobart 1` is not a VM name | use 1 to 64 of a-z, 0-9, `-`, `_` and `.`"#
)]
#[case::host_name(
    "127.0.0.1:7000",
    "platform:7000",
    r#"bad-value | "platform:7000" | `platform.addr` does not read: `platform:7000` is not an IP number and a port | write an IP number and a port in quotes, such as "10.0.0.1:8080""#
)]
#[case::port_zero(
    "127.0.0.1:8001",
    "127.0.0.1:0",
    r#"out-of-range | "127.0.0.1:0" | `listen.callers` is port 0, out of its range | name a port from 1 to 65535"#
)]
#[case::same_port(
    "127.0.0.1:8002",
    "0.0.0.0:8001",
    r#"clash | "0.0.0.0:8001" | `listen.callers` and `listen.admin` are the same port | give each its own port"#
)]
#[case::missing_key(
    "name = \"hobart-1\"\n",
    "",
    r#"missing | [vm] | `vm.name` is missing and has no default | add `name = …` under `[vm]`: a name in quotes, such as "hobart-1""#
)]
#[case::missing_section(
    "[platform]\naddr = \"127.0.0.1:7000\"\n",
    "",
    "missing | (file) | the section `[platform]` is missing | add it with `addr`, which have no default"
)]
#[case::no_secret_file(
    "\"secret\"",
    "\"none\"",
    r#"no-file | "none" | `mesh.secret-file` names DIR/none, which does not exist | write the secret there; a relative path starts at the settings file"#
)]
#[case::unreadable_secret_file(
    "\"secret\"",
    "\".\"",
    r#"unreadable | "." | `mesh.secret-file` names DIR/., which cannot be read: Is a directory (os error 21) | make it a file that this user may read"#
)]
fn an_invalid_change_of_the_minimal_file_is_refused(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    assert_eq!(refused(&MINIMAL.replacen(from, to, 1)), [expected]);
}

#[test]
fn a_short_secret_is_refused_and_not_shown() {
    let dir = dir();
    std::fs::write(dir.path().join("secret"), "fifteen bytes..\n").expect("a file");
    let faults = gs_settings::parse("vm.toml", MINIMAL, dir.path()).expect_err("refused");
    assert_eq!(
        lines(&faults, MINIMAL, dir.path()),
        [
            "out-of-range | \"secret\" | `mesh.secret-file` names DIR/secret, whose secret has 15 \
             bytes | put 16 bytes to 4KB of random text into it, the same on every VM"
        ]
    );
    assert!(!report(&faults, dir.path()).contains("fifteen"));
}

#[test]
fn a_key_given_instead_of_its_hash_is_not_shown() {
    let text = format!("{MINIMAL}\n[bootstrap]\nteam = \"ops\"\nkey-sha256 = \"s3cret\"\n");
    let faults = gs_settings::parse("vm.toml", &text, dir().path()).expect_err("refused");
    let report = report(&faults, Path::new("/none"));
    assert!(report.contains("key-sha256 = ********"), "{report}");
    assert!(
        !format!("{report}{faults:?}").contains("s3cret"),
        "{report}"
    );
}

#[test]
fn several_faults_are_reported_at_once_in_file_order() {
    let text = MINIMAL.replace("\"hobart-a\"", "7") + "\n[log]\nlevel = \"loud\"\nlvl = 1\n";
    let kinds: Vec<_> = refused(&text)
        .iter()
        .map(|l| l.split(" | ").take(2).collect::<Vec<_>>().join(" "))
        .collect();
    assert_eq!(
        kinds,
        ["wrong-type 7", "bad-value \"loud\"", "unknown-key lvl"]
    );
}

#[test]
fn a_report_shows_the_place_of_a_fault() {
    let dir = dir();
    let text = MINIMAL.replace("\"secret\"", "\"secret\"\nheartbeat = \"1h\"");
    let faults = gs_settings::parse("vm.toml", &text, dir.path()).expect_err("refused");
    let expected = r#"  × vm.toml: 1 fault in the settings

Error: settings::out-of-range

  × `mesh.heartbeat` is 1h, out of its range
    ╭─[vm.toml:16:13]
 15 │ secret-file = "secret"
 16 │ heartbeat = "1h"
    ·             ──┬─
    ·               ╰── this value
    ╰────
  help: give 50ms to 500ms"#;
    assert_eq!(report(&faults, dir.path()), expected);
}

#[test]
fn a_missing_file_is_refused() {
    let dir = dir();
    let file = dir.path().join("vm.toml");
    let faults = gs_settings::load(&file).expect_err("refused");
    assert_eq!(
        lines(&faults, "", dir.path()),
        [
            "no-file | (file) | DIR/vm.toml does not exist | check the path after `--settings`; \
             examples/ holds one to begin from"
        ]
    );
}

#[test]
fn a_directory_instead_of_a_file_is_refused() {
    let dir = dir();
    let faults = gs_settings::load(dir.path()).expect_err("refused");
    let kinds: Vec<_> = faults
        .faults()
        .iter()
        .map(|f| f.kind().to_string())
        .collect();
    assert_eq!(kinds, ["unreadable"]);
}

#[test]
fn a_file_that_is_not_utf8_is_refused() {
    let dir = dir();
    let file = dir.path().join("vm.toml");
    std::fs::write(&file, b"[vm]\nname = \"\xff\xfe\"\n").expect("a file");
    let faults = gs_settings::load(&file).expect_err("refused");
    let found: Vec<_> = faults
        .faults()
        .iter()
        .map(|f| (f.to_string(), f.span()))
        .collect();
    assert_eq!(found, [("byte 13 is not UTF-8".to_owned(), Some(13..14))]);
}

#[test]
fn an_oversized_file_is_refused() {
    let dir = dir();
    let file = dir.path().join("vm.toml");
    std::fs::write(&file, "#".repeat(300_000)).expect("a file");
    let faults = gs_settings::load(&file).expect_err("refused");
    let kinds: Vec<_> = faults
        .faults()
        .iter()
        .map(|f| f.kind().to_string())
        .collect();
    assert_eq!(kinds, ["too-large"]);
}

#[test]
fn an_invalid_file_of_the_largest_size_has_a_short_report() {
    let text = "a=\n".repeat(80_000);
    let faults = gs_settings::parse("vm.toml", &text, Path::new("")).expect_err("refused");
    assert_eq!(faults.faults().len(), 50);
    assert!(
        faults.to_string().ends_with("these are the first 50"),
        "{faults}"
    );
}
