//! `serve` where it cannot start.

use std::net::TcpListener;

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
