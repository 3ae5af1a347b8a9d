//! `status`, `dump` and `patch` against a stand-in for a process's administration API.

use rstest::rstest;

use crate::common::create_files;
use crate::common::http_answer;
use crate::common::run_in;
use crate::common::serve_answers;

const KEY_FILE: (&str, &str) = ("team.key", "desk:s3cret-of-the-desk\n");
const PATCH_FILE: (&str, &str) = (
    "p.json",
    r#"{"id":"p1","against":7,"changes":[{"remove-front":"closed"}]}"#,
);

#[test]
fn the_status_of_a_process() {
    let (addr, served) = serve_answers(&[&http_answer(
        "200 OK",
        r#"{"vm":"hobart-1","mesh":{"members":9}}"#,
    )]);
    let dir = create_files(&[KEY_FILE]);
    let args = [
        "status",
        "--admin",
        &addr.to_string(),
        "--key-file",
        "team.key",
    ];
    let r = run_in(dir.path(), &args);
    let expected = "mesh.members = 9\nvm = hobart-1";
    assert_eq!((r.code, r.stdout.as_str()), (0, expected), "{}", r.stderr);
    let requests = served.join().expect("served");
    assert!(
        requests[0].starts_with("GET /status HTTP/1.1\r\n"),
        "{requests:?}"
    );
    let key = "authorization: Bearer desk:s3cret-of-the-desk\r\n";
    assert!(requests[0].contains(key), "{requests:?}");
}

#[rstest]
#[case::own(&[], "GET /dump HTTP/1.1\r\n")]
#[case::fleet(&["--fleet"], "GET /dump/fleet HTTP/1.1\r\n")]
fn a_dump(#[case] flags: &[&str], #[case] expected: &str) {
    let (addr, served) = serve_answers(&[&http_answer("200 OK", "{}")]);
    let addr = addr.to_string();
    let r = run_in(
        create_files(&[]).path(),
        &[&["dump", "--admin", &addr], flags].concat(),
    );
    assert_eq!(r.code, 0, "{}", r.stderr);
    assert!(served.join().expect("served")[0].starts_with(expected));
}

#[test]
fn a_process_that_is_not_there() {
    let dir = create_files(&[KEY_FILE]);
    // Port 1 is reserved; no process listens there.
    let r = run_in(dir.path(), &["status", "--admin", "127.0.0.1:1"]);
    let expected =
        "  × Connection refused (os error 111) (step: ask the process, peer: 127.0.0.1:1)
  help: check that it runs and that `--admin` is its `listen.admin`";
    assert_eq!((r.code, r.stderr.as_str()), (3, expected));
}

#[test]
fn a_wrong_key() {
    let body = r#"{"kind":"forbidden","error":"the key is not the team's (step: authenticate)","step":"authenticate","hint":"send `authorization: Bearer TEAM:KEY`"}"#;
    let (addr, _) = serve_answers(&[&http_answer("401 Unauthorized", body)]);
    let dir = create_files(&[]);
    let r = run_in(dir.path(), &["status", "--admin", &addr.to_string()]);
    let expected = format!(
        "  × the key is not the team's (step: authenticate, peer: {addr})
  help: give the team's key by `--key-file`"
    );
    assert_eq!((r.code, r.stderr), (1, expected));
}

#[test]
fn a_key_file_that_holds_no_key_is_not_shown() {
    let dir = create_files(&[("team.key", "s3cret-without-team\n")]);
    let r = run_in(
        dir.path(),
        &["status", "--admin", "127.0.0.1:1", "--key-file", "team.key"],
    );
    let expected = "  × team.key does not hold a team's key (step: read key)
  help: write one line into it: the team's name, `:` and its key";
    assert_eq!((r.code, r.stderr.as_str()), (2, expected));
}

#[rstest]
#[case::accepted(
    "200 OK",
    r#"{"verdict":"accepted","version":8,"in_force":["a","b"],"awaiting":["c"],"warnings":["w"]}"#,
    0,
    "accepted: version 8\nin force on: a, b\nawaiting: c\nwarning: w"
)]
#[case::refused(
    "409 Conflict",
    r#"{"verdict":"refused","error":{"kind":"conflict","text":"version 8 is in force","step":"apply patch","peer":null,"hint":"read it"},"against":[{"vm":"a","reason":"newer"}]}"#,
    1,
    "refused: version 8 is in force (step: apply patch)\nagainst it: a: newer\nhint: read it"
)]
#[case::undecided(
    "503 Service Unavailable",
    r#"{"verdict":"undecided","error":{"kind":"unavailable","text":"the platform is unreachable","step":null,"peer":null,"hint":null}}"#,
    4,
    "undecided: the platform is unreachable\nsend the same file again to learn its outcome; `--wait` does so"
)]
fn a_verdict(#[case] status: &str, #[case] body: &str, #[case] code: i32, #[case] shown: &str) {
    let (addr, served) = serve_answers(&[&http_answer(status, body)]);
    let dir = create_files(&[KEY_FILE, PATCH_FILE]);
    let args = [
        "patch",
        "--admin",
        &addr.to_string(),
        "--key-file",
        "team.key",
        "p.json",
    ];
    let r = run_in(dir.path(), &args);
    assert_eq!((r.code, r.stdout.as_str()), (code, shown), "{}", r.stderr);
    let requests = served.join().expect("served");
    assert!(
        requests[0].starts_with("POST /admin/v1/patches HTTP/1.1\r\n"),
        "{requests:?}"
    );
    assert!(requests[0].ends_with(PATCH_FILE.1), "{requests:?}");
}

#[test]
fn a_lost_answer_leaves_the_outcome_unknown() {
    // The process crashes after it received the patch and before it answers. The patch may be in force, so the program
    // must not report a failure; exit code 4 lets a script send the same file again.
    let (addr, _) = serve_answers(&[""]);
    let dir = create_files(&[PATCH_FILE]);
    let r = run_in(
        dir.path(),
        &["patch", "--admin", &addr.to_string(), "p.json"],
    );
    assert_eq!(r.code, 4, "{}", r.stderr);
    assert!(
        r.stderr.contains("(step: await answer, peer: "),
        "{}",
        r.stderr
    );
}

#[test]
fn waiting_sends_the_same_patch_until_it_is_in_force() {
    // The first answer is lost, the second has no outcome yet, and the third awaits one VM. After each the same patch is
    // sent again, and only the final outcome is shown.
    let undecided = r#"{"verdict":"undecided","error":{"kind":"unknown","text":"x","step":null,"peer":null,"hint":null}}"#;
    let awaiting_c =
        r#"{"verdict":"accepted","version":8,"in_force":["a"],"awaiting":["c"],"warnings":[]}"#;
    let done =
        r#"{"verdict":"accepted","version":8,"in_force":["a","c"],"awaiting":[],"warnings":[]}"#;
    let answers = [
        http_answer("503 Service Unavailable", undecided),
        http_answer("200 OK", awaiting_c),
        http_answer("200 OK", done),
    ];
    let (addr, served) = serve_answers(&["", &answers[0], &answers[1], &answers[2]]);
    let dir = create_files(&[PATCH_FILE]);
    let r = run_in(
        dir.path(),
        &["patch", "--admin", &addr.to_string(), "p.json", "--wait"],
    );
    let expected = "accepted: version 8\nin force on: a, c";
    assert_eq!((r.code, r.stdout.as_str()), (0, expected), "{}", r.stderr);
    let requests = served.join().expect("served");
    assert_eq!(requests.len(), 4);
    assert!(requests.iter().all(|r| r.ends_with(PATCH_FILE.1)));
}

#[test]
fn a_dry_run_asks_for_one() {
    let body = r#"{"verdict":"checked","version":8,"warnings":[]}"#;
    let (addr, served) = serve_answers(&[&http_answer("200 OK", body)]);
    let dir = create_files(&[PATCH_FILE]);
    let args = ["patch", "--admin", &addr.to_string(), "p.json", "--dry-run"];
    let r = run_in(dir.path(), &args);
    assert_eq!(
        (r.code, r.stdout.as_str()),
        (0, "would be accepted: version 8")
    );
    let requests = served.join().expect("served");
    let line = "POST /admin/v1/patches?dry-run=true HTTP/1.1\r\n";
    assert!(requests[0].starts_with(line), "{requests:?}");
}
