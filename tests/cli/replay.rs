//! `replay` of valid, malformed and diverging traces.

use crate::common::create_files;
use crate::common::run_in;

const SCRIPT: &str = r#"
story = "A caller requests a front that is not declared."
vm = "hobart-1"
data-centre = "hobart-a"
seed = 7
front = "archive"
lookup = []
[[step]]
at = "1ms"
arrive = { seq = 1, lookup = "quote", query = "salmon" }
"#;

#[test]
fn an_outcome_as_stated() {
    let stated = "[[lookup]]\nseq = 1\noutcome = \"not-run\"\nreason = \"no-such-lookup\"\n";
    let dir = create_files(&[("t.toml", SCRIPT), ("e.toml", stated)]);
    let r = run_in(dir.path(), &["replay", "t.toml", "--expect", "e.toml"]);
    let expected = "as stated: 2 steps, 0 answered, 1 not run, 0 unknown, 0 attempts";
    assert_eq!((r.code, r.stdout.as_str()), (0, expected), "{}", r.stderr);
}

#[test]
fn the_first_divergence_is_shown_with_its_step() {
    let stated = "[[lookup]]\nseq = 1\noutcome = \"answered\"\n";
    let dir = create_files(&[("t.toml", SCRIPT), ("e.toml", stated)]);
    let r = run_in(dir.path(), &["replay", "t.toml", "--expect", "e.toml"]);
    assert_eq!(r.code, 1, "{}", r.stderr);
    let shown = "diverges at step 2 at 1ms: lookup 1: outcome is NotRun(";
    assert!(r.stdout.starts_with(shown), "{}", r.stdout);
    assert!(
        r.stdout
            .contains("\nstep 2 at 1ms: lookup 1 arrives: quote"),
        "{}",
        r.stdout
    );
}

#[test]
fn a_divergence_for_a_program() {
    let stated = "[[lookup]]\nseq = 2\noutcome = \"answered\"\n";
    let dir = create_files(&[("t.toml", SCRIPT), ("e.toml", stated)]);
    let r = run_in(
        dir.path(),
        &["replay", "t.toml", "--expect", "e.toml", "--json"],
    );
    let report: serde_json::Value = serde_json::from_str(&r.stdout).expect("JSON");
    assert_eq!(r.code, 1);
    assert_eq!(report["diverges"]["step"], 2);
    assert_eq!(
        report["diverges"]["text"],
        "lookup 2 has no outcome; stated: answered"
    );
}

#[test]
fn a_file_that_is_no_trace() {
    let dir = create_files(&[("x.trace", "hello\n")]);
    let r = run_in(dir.path(), &["replay", "x.trace"]);
    let expected = "  × byte 0: this is not a trace (step: read trace)
  help: name a file written by `serve --record`, or a script that ends in `.toml`";
    assert_eq!((r.code, r.stderr.as_str()), (2, expected));
}

#[test]
fn a_trace_that_is_not_there() {
    let dir = create_files(&[]);
    let r = run_in(dir.path(), &["replay", "x.trace"]);
    let expected = "  × x.trace: No such file or directory (os error 2) (step: open trace)
  help: check the path and its permissions";
    assert_eq!((r.code, r.stderr.as_str()), (2, expected));
}

#[test]
fn a_trace_cut_short_is_refused_and_its_whole_records_can_be_replayed() {
    let script = gs_trace::Script::parse(SCRIPT).expect("a script");
    let mut buf = Vec::new();
    script.write(&mut buf).expect("written");
    buf.truncate(buf.len() - 3);
    let dir = create_files(&[]);
    std::fs::write(dir.path().join("x.trace"), &buf).expect("a file");

    let r = run_in(dir.path(), &["replay", "x.trace"]);
    assert_eq!(r.code, 2);
    assert!(
        r.stderr.contains("the trace is cut short here"),
        "{}",
        r.stderr
    );

    let r = run_in(dir.path(), &["replay", "x.trace", "--partial"]);
    let expected = "as stated: 2 steps, 0 answered, 1 not run, 0 unknown, 0 attempts";
    assert_eq!((r.code, r.stdout.as_str()), (0, expected), "{}", r.stderr);
    assert!(
        r.stderr
            .starts_with("replayed up to here: record 3 at byte "),
        "{}",
        r.stderr
    );
}

#[test]
fn outcomes_that_do_not_read() {
    let dir = create_files(&[
        ("t.toml", SCRIPT),
        ("e.toml", "[[lookup]]\nseq = 1\nend = 2\n"),
    ]);
    let r = run_in(dir.path(), &["replay", "t.toml", "--expect", "e.toml"]);
    assert_eq!(r.code, 2);
    assert!(
        r.stderr.contains("TOML parse error at line 3, column 1"),
        "{}",
        r.stderr
    );
    assert!(
        r.stderr.contains("help: docs/TRACES.md lists the keys"),
        "{}",
        r.stderr
    );
}

#[test]
fn a_script_cannot_be_compared_with_a_run() {
    let dir = create_files(&[("t.toml", SCRIPT)]);
    let r = run_in(dir.path(), &["replay", "t.toml", "--exact"]);
    let expected = "  × the trace contains no recorded actions (step: replay)
  help: leave out `--exact`; only a trace of `serve --record` can be compared";
    assert_eq!((r.code, r.stderr.as_str()), (2, expected));
}
