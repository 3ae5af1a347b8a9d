//! `serve` from its start to its graceful end.

use std::io::BufRead;
use std::io::BufReader;
use std::net::TcpListener;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use rustix::process::Pid;
use rustix::process::Signal;

use crate::common::files;
use crate::common::run_in;

/// A loopback address that only this run of the tests uses, so that no port is taken by others.
fn own_ip() -> String {
    let pid = std::process::id();
    format!("127.200.{}.{}", (pid >> 8) & 255, pid & 255)
}

/// Settings on four ports from `port` on; nothing answers at the platform's, the last.
fn settings(port: u16) -> String {
    let ip = own_ip();
    let addr = |n: u16| format!("{ip}:{}", port + n);
    format!(
        r#"[vm]
name = "hobart-1"
data-centre = "hobart-a"
region = "tasmania"
[listen]
callers = "{}"
admin = "{}"
mesh = "{}"
[platform]
addr = "{}"
[mesh]
secret-file = "secret"
[shutdown]
lag = "0s"
"#,
        addr(0),
        addr(1),
        addr(2),
        addr(3)
    )
}

fn serve(dir: &Path) -> Child {
    Command::new(env!("CARGO_BIN_EXE_gentiansill"))
        .current_dir(dir)
        .args(["serve", "--settings", "vm.toml", "--record", "vm.trace"])
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program runs")
}

/// The value of a key in a log line.
fn value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split(' ')
        .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
}

#[test]
fn a_process_logs_events_leaves_at_sigterm_and_ends_its_trace() {
    // Story: an operator stops a VM. Its process says on the way what it does, one event a line,
    // exits with 0, and the trace it was recording is whole.
    let dir = files(&[
        ("vm.toml", &settings(8011)),
        ("secret", "0123456789abcdef\n"),
    ]);
    let mut child = serve(dir.path());
    let stderr = child.stderr.take().expect("its log");
    let mut lines = Vec::new();
    for line in BufReader::new(stderr).lines() {
        let line = line.expect("a line");
        if value(&line, "event") == Some("view")
            && !lines.iter().any(|l: &String| l.contains("event=view"))
        {
            let pid = Pid::from_child(&child);
            rustix::process::kill_process(pid, Signal::TERM).expect("told to leave");
        }
        lines.push(line);
    }
    let code = child.wait().expect("ended").code();
    assert_eq!(code, Some(0), "{lines:#?}");

    for line in &lines {
        for key in ["time", "level", "event"] {
            assert!(value(line, key).is_some(), "no {key} in {line}");
        }
    }
    let events: Vec<_> = lines.iter().filter_map(|l| value(l, "event")).collect();
    assert_eq!(events.first(), Some(&"start"), "{events:?}");
    assert_eq!(events.last(), Some(&"exit"), "{events:?}");

    let r = run_in(dir.path(), &["replay", "vm.trace"]);
    assert_eq!(r.code, 0, "{}", r.stderr);
    assert!(r.stdout.starts_with("as stated: "), "{}", r.stdout);
}

#[test]
fn an_address_in_use_is_told_with_its_step() {
    let text = settings(8021);
    let addr = format!("{}:8021", own_ip());
    let _held = TcpListener::bind(&addr).expect("the port");
    let dir = files(&[("vm.toml", &text), ("secret", "0123456789abcdef\n")]);
    let r = run_in(dir.path(), &["serve", "--settings", "vm.toml"]);
    assert_eq!(r.code, 2, "{}", r.stderr);
    let told =
        format!("Address already in use (os error 98) (step: listen for callers, peer: {addr})");
    let words = |s: &str| s.replace(['│', ' ', '\n'], "");
    assert!(words(&r.stderr).contains(&words(&told)), "{}", r.stderr);
}
