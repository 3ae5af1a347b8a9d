//! Help, usage and version.

use rstest::rstest;

use crate::common::run;

#[test]
fn the_commands_are_listed_with_the_exit_codes() {
    let r = run(&["--help"]);
    let expected = "\
A query tier over many shards that answers for outcomes

Usage: gentiansill <COMMAND>

Commands:
  serve    Runs one entry VM's process until SIGTERM or SIGINT, then leaves gracefully
  relay    Relays requests on the platform's routes until SIGTERM or SIGINT, then leaves gracefully
  check    Checks a settings file or a patch and starts nothing
  status   Shows a summary of a process, one `key = value` a line
  dump     Shows the whole state of a process, or of the fleet through it
  patch    Sends a patch against a numbered version, and shows its outcome
  explain  Shows what happened to one request, in the order of time, from the logs of all VMs
  replay   Replays a trace through the engine and compares the outcomes with the stated ones
  version  Shows the version, and that of the trace format
  help     Print this message or the help of the given subcommand(s)

Options:
  -h, --help     Print help
  -V, --version  Print version

Exit codes:
  0  done
  1  refused: the patch, the key, or a replay that diverges
  2  the command line, the settings or a file does not read
  3  the process or the platform could not be reached
  4  the outcome is not known; sending the same patch again is safe";
    assert_eq!((r.code, r.stdout.as_str()), (0, expected));
}

#[rstest]
fn each_command_shows_an_example_and_the_exit_codes(
    #[values(
        "serve", "relay", "check", "status", "dump", "patch", "explain", "replay", "version"
    )]
    name: &str,
) {
    let r = run(&[name, "--help"]);
    assert_eq!(r.code, 0);
    let example = format!("Examples:\n  gentiansill {name}");
    assert!(r.stdout.contains(&example), "{}", r.stdout);
    assert!(r.stdout.contains("Exit codes:\n  0  done"), "{}", r.stdout);
}

#[rstest]
#[case::nothing(&[])]
#[case::no_such_command(&["start"])]
#[case::no_settings(&["serve"])]
#[case::nothing_to_check(&["check"])]
#[case::host_name(&["status", "--admin", "localhost:8002"])]
#[case::no_unit(&["status", "--admin", "127.0.0.1:8002", "--timeout", "5"])]
#[case::unknown_flag(&["replay", "a.trace", "--expects", "b.toml"])]
fn a_wrong_command_line(#[case] args: &[&str]) {
    let r = run(args);
    assert_eq!(r.code, 2, "{}", r.stderr);
    assert!(
        r.stderr.contains("Usage:") || r.stderr.contains("--help"),
        "{}",
        r.stderr
    );
}

#[test]
fn the_version_for_a_program() {
    let r = run(&["version", "--json"]);
    let expected = "{\n  \"trace-format\": 1,\n  \"version\": \"0.1.0\"\n}";
    assert_eq!((r.code, r.stdout.as_str()), (0, expected));
}
