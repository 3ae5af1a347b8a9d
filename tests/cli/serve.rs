//! `serve` from its start to its graceful shutdown.

use std::io::BufRead;
use std::io::BufReader;
use std::net::TcpListener;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use rustix::process::Pid;
use rustix::process::Signal;

use crate::common::create_files;
use crate::common::run_in;

/// Returns a loopback address derived from the process id, so that other test processes do not use its ports.
fn process_loopback_ip() -> String {
    let pid = std::process::id();
    format!("127.200.{}.{}", (pid >> 8) & 255, pid & 255)
}

/// Formats settings that use four ports from `port` on; nothing listens on the last one, the platform's.
fn format_settings(port: u16) -> String {
    let ip = process_loopback_ip();
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

fn spawn_serve(dir: &Path) -> Child {
    Command::new(env!("CARGO_BIN_EXE_gentiansill"))
        .current_dir(dir)
        .args(["serve", "--settings", "vm.toml", "--record", "vm.trace"])
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program runs")
}

/// Returns the value of a key in a log line.
fn log_value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split(' ')
        .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
}

#[test]
fn a_process_logs_events_leaves_at_sigterm_and_ends_its_trace() {
    // After SIGTERM the process must log one event a line, exit with code 0 and complete the trace that it records.
    let dir = create_files(&[
        ("vm.toml", &format_settings(8011)),
        ("secret", "0123456789abcdef\n"),
    ]);
    let mut child = spawn_serve(dir.path());
    let stderr = child.stderr.take().expect("its log");
    let mut lines = Vec::new();
    for line in BufReader::new(stderr).lines() {
        let line = line.expect("a line");
        if log_value(&line, "event") == Some("view")
            && !lines.iter().any(|l: &String| l.contains("event=view"))
        {
            let pid = Pid::from_child(&child);
            rustix::process::kill_process(pid, Signal::TERM).expect("SIGTERM is sent");
        }
        lines.push(line);
    }
    let code = child.wait().expect("ended").code();
    assert_eq!(code, Some(0), "{lines:#?}");

    for line in &lines {
        for key in ["time", "level", "event"] {
            assert!(log_value(line, key).is_some(), "no {key} in {line}");
        }
    }
    let events: Vec<_> = lines.iter().filter_map(|l| log_value(l, "event")).collect();
    assert_eq!(events.first(), Some(&"start"), "{events:?}");
    assert_eq!(events.last(), Some(&"exit"), "{events:?}");

    let r = run_in(dir.path(), &["replay", "vm.trace"]);
    assert_eq!(r.code, 0, "{}", r.stderr);
    assert!(r.stdout.starts_with("as stated: "), "{}", r.stdout);
}

#[test]
fn an_address_in_use_is_told_with_its_step() {
    let text = format_settings(8021);
    let addr = format!("{}:8021", process_loopback_ip());
    let _listener = TcpListener::bind(&addr).expect("the port");
    let dir = create_files(&[("vm.toml", &text), ("secret", "0123456789abcdef\n")]);
    let r = run_in(dir.path(), &["serve", "--settings", "vm.toml"]);
    assert_eq!(r.code, 2, "{}", r.stderr);
    let expected =
        format!("Address already in use (os error 98) (step: listen for callers, peer: {addr})");
    let without_layout = |s: &str| s.replace(['│', ' ', '\n'], "");
    assert!(
        without_layout(&r.stderr).contains(&without_layout(&expected)),
        "{}",
        r.stderr
    );
}
