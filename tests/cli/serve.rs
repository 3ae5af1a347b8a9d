//! `serve` where it cannot start.

use std::net::TcpListener;

use crate::common::files;
use crate::common::run_in;

/// Settings on ports that were free just now; nothing answers at the platform's.
fn settings() -> String {
    let free: Vec<_> = (0..4)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a port"))
        .collect();
    let addr = |n: usize| free[n].local_addr().expect("its address").to_string();
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
    let text = settings();
    let callers = text
        .lines()
        .find_map(|l| l.strip_prefix("callers = "))
        .expect("an address");
    let addr = callers.trim_matches('"');
    let _held = TcpListener::bind(addr).expect("the port");
    let dir = files(&[("vm.toml", &text), ("secret", "0123456789abcdef\n")]);
    let r = run_in(dir.path(), &["serve", "--settings", "vm.toml"]);
    assert_eq!(r.code, 2, "{}", r.stderr);
    let told =
        format!("Address already in use (os error 98) (step: listen for callers, peer: {addr})");
    let words = |s: &str| s.replace(['│', ' ', '\n'], "");
    assert!(words(&r.stderr).contains(&words(&told)), "{}", r.stderr);
}
