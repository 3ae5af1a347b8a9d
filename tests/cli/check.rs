//! `check`, and `serve` with settings that it refuses.

use rstest::rstest;

use crate::common::create_files;
use crate::common::run;
use crate::common::run_in;

const VALID_SETTINGS: &str = r#"[vm]
name = "hobart-1"
data-centre = "hobart-a"
region = "tasmania"
[listen]
callers = "127.0.0.1:8001"
admin = "127.0.0.1:8002"
mesh = "127.0.0.1:8003"
[platform]
addr = "127.0.0.1:7000"
[mesh]
secret-file = "secret"
"#;

const SECRET: (&str, &str) = ("secret", "0123456789abcdef\n");

/// Returns the report on valid settings with one change.
fn report_on_change(from: &str, to: &str) -> String {
    let text = VALID_SETTINGS.replacen(from, to, 1);
    let dir = create_files(&[("vm.toml", &text), SECRET]);
    let r = run_in(dir.path(), &["check", "--settings", "vm.toml"]);
    assert_eq!((r.code, r.stdout.as_str()), (2, ""));
    r.stderr
}

#[test]
fn the_examples_are_good() {
    let r = run(&[
        "check",
        "--settings",
        "examples/vm.toml",
        "--patch",
        "examples/first-front.json",
    ]);
    assert_eq!(
        (r.code, r.stdout.as_str()),
        (0, "the settings are good\nthe patch is good"),
        "{}",
        r.stderr
    );
}

#[test]
fn an_unknown_key() {
    let expected = r#"  × vm.toml: 1 fault in the settings

Error: settings::unknown-key

  × there is no key `adress` in `[platform]`
    ╭─[vm.toml:10:1]
  9 │ [platform]
 10 │ adress = "127.0.0.1:7000"
    · ───┬──
    ·    ╰── unknown key
 11 │ addr = "127.0.0.1:7000"
    ╰────
  help: did you mean `addr`?"#;
    let found = report_on_change("[platform]\n", "[platform]\nadress = \"127.0.0.1:7000\"\n");
    assert_eq!(found, expected);
}

#[test]
fn a_bad_unit_and_a_value_out_of_range_at_once() {
    let expected = r#"  × vm.toml: 2 faults in the settings

Error: settings::bad-value

  × `platform.timeout` does not read: time unit needed, for example 500sec or 500ms in `500`
    ╭─[vm.toml:10:11]
  9 │ [platform]
 10 │ timeout = "500"
    ·           ──┬──
    ·             ╰── this value
 11 │ watch-wait = "2h"
    ╰────
  help: write a duration in quotes, such as "250ms" or "2s"

Error: settings::out-of-range

  × `platform.watch-wait` is 2h, out of its range
    ╭─[vm.toml:11:14]
 10 │ timeout = "500"
 11 │ watch-wait = "2h"
    ·              ──┬─
    ·                ╰── this value
 12 │ addr = "127.0.0.1:7000"
    ╰────
  help: give 100ms to 5m"#;
    let found = report_on_change(
        "[platform]\n",
        "[platform]\ntimeout = \"500\"\nwatch-wait = \"2h\"\n",
    );
    assert_eq!(found, expected);
}

#[test]
fn a_missing_secret_file() {
    let expected = r#"  × vm.toml: 1 fault in the settings

Error: settings::no-file

  × `mesh.secret-file` names mesh.key, which does not exist
    ╭─[vm.toml:12:15]
 11 │ [mesh]
 12 │ secret-file = "mesh.key"
    ·               ─────┬────
    ·                    ╰── this value
    ╰────
  help: write the secret there; a relative path starts at the settings file"#;
    assert_eq!(report_on_change("\"secret\"", "\"mesh.key\""), expected);
}

#[test]
fn a_file_that_is_not_there() {
    let dir = create_files(&[]);
    let r = run_in(dir.path(), &["check", "--settings", "vm.toml"]);
    let expected = r"  × vm.toml: 1 fault in the settings

Error: settings::no-file

  × vm.toml does not exist
  help: check the path after `--settings`; examples/ holds one to begin from";
    assert_eq!((r.code, r.stderr.as_str()), (2, expected));
}

#[test]
fn serve_refuses_to_start_with_the_same_report() {
    let dir = create_files(&[
        (
            "vm.toml",
            &VALID_SETTINGS.replace("127.0.0.1:8002", "127.0.0.1:8001"),
        ),
        SECRET,
    ]);
    let served = run_in(dir.path(), &["serve", "--settings", "vm.toml"]);
    let checked = run_in(dir.path(), &["check", "--settings", "vm.toml"]);
    assert_eq!(served.code, 2);
    assert_eq!(served.stderr, checked.stderr);
    assert!(
        served
            .stderr
            .contains("`listen.callers` and `listen.admin` are the same port"),
        "{}",
        served.stderr
    );
}

#[test]
fn a_program_gets_the_faults_as_json() {
    let dir = create_files(&[("vm.toml", &VALID_SETTINGS.replace("hobart-a", "Hobart"))]);
    let r = run_in(dir.path(), &["check", "--settings", "vm.toml", "--json"]);
    let report: serde_json::Value = serde_json::from_str(&r.stdout).expect("JSON");
    let kinds: Vec<_> = report["faults"]
        .as_array()
        .expect("faults")
        .iter()
        .map(|f| &f["kind"])
        .collect();
    assert_eq!((r.code, r.stderr.as_str()), (2, ""));
    assert_eq!(kinds, ["bad-value", "no-file"]);
}

const PATCH: &str = r#"{"id": "p1", "against": 7, "changes": [
  {"put-lookup": {"front": "archive", "lookup": {"name": "quote", "group": "desk",
   "scope": "scatter", "promise": "urgent", "deadline": "150ms", "page": 10}}},
  {"remove-lookup": {"front": "archive", "lookup": "old"}},
  {"remove-front": "closed"}]}"#;

#[test]
fn a_good_patch() {
    let dir = create_files(&[("p.json", PATCH)]);
    let r = run_in(dir.path(), &["check", "--patch", "p.json"]);
    assert_eq!(
        (r.code, r.stdout.as_str()),
        (0, "the patch is good"),
        "{}",
        r.stderr
    );
}

#[rstest]
#[case::misspelt(
    "put-lookup",
    "put-lokup",
    "  × p.json: unknown variant `put-lokup`, expected one of `put-front`, `remove-front`, `put-lookup`, `remove-lookup`, `put-team`, `remove-team` at line 2 column 14 (step: read patch)"
)]
#[case::out_of_range(
    "150ms",
    "1ms",
    "  × fronts.archive.lookups.quote.deadline: 1ms is out of range (step: check configuration)"
)]
#[case::cut(
    "}]}",
    "}",
    "  × p.json: EOF while parsing a list at line 5 column 28 (step: read patch)"
)]
fn a_bad_patch(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let dir = create_files(&[("p.json", &PATCH.replace(from, to))]);
    let r = run_in(dir.path(), &["check", "--patch", "p.json"]);
    // The report is wrapped, also at hyphens, so the comparison ignores spaces and line breaks.
    let without_layout = |s: &str| s.replace(['│', ' ', '\n'], "");
    assert_eq!(r.code, 2);
    let found = without_layout(&r.stderr);
    assert!(found.starts_with(&without_layout(expected)), "{found}");
    assert!(found.contains("help:"), "{found}");
}

#[test]
fn a_patch_against_another_version_than_the_configuration() {
    let config = r#"{"version": 8, "patch": null, "teams": [], "fronts": []}"#;
    let dir = create_files(&[("p.json", PATCH), ("c.json", config)]);
    let r = run_in(
        dir.path(),
        &["check", "--patch", "p.json", "--config", "c.json"],
    );
    assert_eq!(r.code, 1, "{}", r.stderr);
    assert!(r.stderr.contains("against version 7"), "{}", r.stderr);
}
