//! Checks of keys whose values depend on each other.

use std::net::SocketAddr;

use crate::faults::Fault;
use crate::faults::FaultKind;
use crate::reader::Reader;
use crate::settings::Settings;

/// Records a fault for each pair of keys that contradict each other.
pub(crate) fn check(s: &Settings, r: &mut Reader<'_>) {
    check_shutdown(s, r);
    check_claims(s, r);
    let l = &s.listen;
    check_ports(r, ("callers", l.callers), ("admin", l.admin));
    check_ports(r, ("callers", l.callers), ("mesh", l.mesh));
    check_ports(r, ("admin", l.admin), ("mesh", l.mesh));
    check_ip_versions(s, r);
    check_bootstrap(r);
}

fn check_shutdown(s: &Settings, r: &mut Reader<'_>) {
    if s.shutdown.deadline > s.shutdown.lag {
        return;
    }
    let name = given_key(r, "shutdown", "deadline", "lag");
    let f = Fault::new(
        FaultKind::Clash,
        "`shutdown.deadline` is not longer than `shutdown.lag`",
        "make the deadline longer than the lag and the longest lookup together",
    );
    add_clash(r, f, "shutdown", name);
}

fn check_claims(s: &Settings, r: &mut Reader<'_>) {
    if s.claims.window > s.claims.skew {
        return;
    }
    let name = given_key(r, "claims", "skew", "window");
    let f = Fault::new(
        FaultKind::Clash,
        "`claims.window` is not longer than `claims.skew`",
        "make the window longer than the time in which callers resend",
    );
    add_clash(r, f, "claims", name);
}

fn check_bootstrap(r: &mut Reader<'_>) {
    let is_given = |name| r.span("bootstrap", name).is_some();
    let (given, other) = match (is_given("team"), is_given("key-sha256")) {
        (true, false) => ("team", "key-sha256"),
        (false, true) => ("key-sha256", "team"),
        _ => return,
    };
    let f = Fault::new(
        FaultKind::Clash,
        format!("`bootstrap.{given}` is given without `bootstrap.{other}`"),
        "give both, or neither",
    );
    add_clash(r, f, "bootstrap", given);
}

/// Returns `a` if the file gives it, otherwise `b`, so that a fault never points at a default.
fn given_key<'a>(r: &Reader<'_>, section: &str, a: &'a str, b: &'a str) -> &'a str {
    match r.span(section, a) {
        Some(_) => a,
        None => b,
    }
}

fn add_clash(r: &mut Reader<'_>, f: Fault, section: &str, name: &str) {
    let span = r.span(section, name).unwrap_or(0..0);
    r.add_fault(f.at(span, "this value"));
}

fn check_ports(r: &mut Reader<'_>, a: (&str, SocketAddr), b: (&str, SocketAddr)) {
    let same_ip = a.1.ip() == b.1.ip() || a.1.ip().is_unspecified() || b.1.ip().is_unspecified();
    if a.1.port() == b.1.port() && same_ip {
        let f = Fault::new(
            FaultKind::Clash,
            format!("`listen.{}` and `listen.{}` are the same port", a.0, b.0),
            "give each its own port",
        );
        add_clash(r, f, "listen", b.0);
    }
}

fn check_ip_versions(s: &Settings, r: &mut Reader<'_>) {
    let Some(ip) = s.source.ip else { return };
    if ip.is_ipv4() != s.platform.addr.is_ipv4() {
        let f = Fault::new(
            FaultKind::Clash,
            "`source.ip` and `platform.addr` are of different IP versions",
            "give both as IPv4 or both as IPv6",
        );
        add_clash(r, f, "source", "ip");
    }
}
