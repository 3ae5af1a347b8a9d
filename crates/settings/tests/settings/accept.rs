//! Settings files that are accepted.

use std::time::Duration;

use gs_settings::KEYS;
use gs_settings::LogLevel;
use gs_settings::Presence;
use gs_settings::Settings;
use gs_settings::ValueKind;
use gs_types::prelude::*;

use crate::common::MINIMAL;
use crate::common::dir;

fn accepted(text: &str) -> Settings {
    let dir = dir();
    let mut s = gs_settings::parse("vm.toml", text, dir.path()).expect("accepted");
    // Each call uses another directory.
    s.mesh.secret_file = "secret".into();
    s
}

#[test]
fn the_minimal_file_uses_every_default() {
    let s = accepted(MINIMAL);
    assert_eq!(s.vm.data_centre.as_str(), "hobart-a");
    assert_eq!(s.platform.timeout, Duration::from_millis(500));
    assert_eq!(s.callers.body, Bytes(65536));
    assert_eq!(s.shutdown.deadline, Duration::from_secs(30));
    assert_eq!(s.claims.window, Duration::from_secs(86400));
    assert_eq!(s.tuning.seed, None);
    assert_eq!(s.log.level, LogLevel::Info);
}

#[test]
fn each_documented_default_is_the_one_used() {
    let minimal = accepted(MINIMAL);
    for key in KEYS {
        let Presence::Default(value) = key.presence else {
            continue;
        };
        let line = format!("[{}]\n{} = {value}\n", key.section, key.name);
        let header = format!("[{}]\n", key.section);
        let text = match MINIMAL.contains(&header) {
            true => MINIMAL.replace(&header, &line),
            false => format!("{MINIMAL}\n{line}"),
        };
        assert_eq!(accepted(&text), minimal, "{key}");
    }
}

#[test]
fn both_ends_of_each_range_are_accepted() {
    for key in KEYS {
        let ends = match key.kind {
            ValueKind::Duration(min, max) => [min, max]
                .map(|d| format!("\"{}\"", humantime::format_duration(d)))
                .to_vec(),
            ValueKind::Size(min, max) => [min, max].map(|b| format!("\"{b}\"")).to_vec(),
            ValueKind::Count(min, max) => [min, max].map(|n| n.to_string()).to_vec(),
            ValueKind::Rate(min, max) | ValueKind::Fraction(min, max) => {
                [min, max].map(|n| n.to_string()).to_vec()
            }
            ValueKind::Choice(words) => words.iter().map(|w| format!("\"{w}\"")).collect(),
            ValueKind::Name
            | ValueKind::Address
            | ValueKind::Ip
            | ValueKind::Path
            | ValueKind::Hash => Vec::new(),
        };
        for end in ends {
            let text = format!("{}.{} = {end}\n{MINIMAL}", key.section, key.name);
            // A dotted key defines the section, so the header in the file would define it twice.
            let header = format!("[{}]\n", key.section);
            let text = match MINIMAL.contains(&header) {
                true => MINIMAL.replace(&header, &format!("{header}{} = {end}\n", key.name)),
                false => text,
            };
            // The largest lag requires a longer deadline, the largest skew a longer window.
            let text = match (key.section, key.name) {
                ("shutdown", "lag") => format!("shutdown.deadline = \"10m\"\n{text}"),
                ("shutdown", "deadline") => format!("shutdown.lag = \"0s\"\n{text}"),
                ("claims", "skew") => format!("claims.window = \"30d\"\n{text}"),
                _ => text,
            };
            accepted(&text);
        }
    }
}

#[test]
fn the_secret_is_read_without_its_line_break_and_never_shown() {
    let s = accepted(MINIMAL);
    assert_eq!(s.mesh.secret.expose(), b"0123456789abcdef");
    let json = serde_json::to_string(&s).expect("JSON");
    for shown in [format!("{s:?}"), s.mesh.secret.to_string(), json] {
        assert!(!shown.contains("0123456789abcdef"), "{shown}");
    }
}

#[test]
fn relative_paths_resolve_from_the_settings_file_and_a_trace_is_named_after_its_vm() {
    let dir = dir();
    let file = dir.path().join("vm.toml");
    std::fs::write(
        &file,
        format!("{MINIMAL}\n[record]\nfile = \"{{vm}}.trace\"\n"),
    )
    .expect("a file");
    let s = gs_settings::load(&file).expect("accepted");
    assert_eq!(s.mesh.secret_file, dir.path().join("secret"));
    assert_eq!(s.record.file, Some(dir.path().join("hobart-1.trace")));
}

#[test]
fn the_first_admin_team_is_named_with_the_hash_of_its_key() {
    let hash = "0123456789abcdef".repeat(4);
    let text = format!("{MINIMAL}\n[bootstrap]\nteam = \"ops\"\nkey-sha256 = \"{hash}\"\n");
    let bootstrap = accepted(&text).bootstrap.expect("a team");
    assert_eq!(bootstrap.team.as_str(), "ops");
    assert_eq!(bootstrap.key_sha256.as_str(), hash);
}
