//! What two keys together must satisfy.

use std::net::SocketAddr;

use crate::faults::Fault;
use crate::faults::FaultKind;
use crate::reader::Reader;
use crate::settings::Settings;

/// Gathers a fault for each pair of keys that contradict each other.
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
    let name = either(r, "shutdown", "deadline", "lag");
    let f = Fault::new(
        FaultKind::Clash,
        "`shutdown.deadline` is not longer than `shutdown.lag`",
        "make the deadline longer than the lag and the longest lookup together",
    );
    clash(r, f, "shutdown", name);
}

fn check_claims(s: &Settings, r: &mut Reader<'_>) {
    if s.claims.window > s.claims.skew {
        return;
    }
    let name = either(r, "claims", "skew", "window");
    let f = Fault::new(
        FaultKind::Clash,
        "`claims.window` is not longer than `claims.skew`",
        "make the window longer than the time in which callers resend",
    );
    clash(r, f, "claims", name);
}

fn check_bootstrap(r: &mut Reader<'_>) {
    let there = |name| r.place("bootstrap", name).is_some();
    let (lone, other) = match (there("team"), there("key-sha256")) {
        (true, false) => ("team", "key-sha256"),
        (false, true) => ("key-sha256", "team"),
        _ => return,
    };
    let f = Fault::new(
        FaultKind::Clash,
        format!("`bootstrap.{lone}` stands without `bootstrap.{other}`"),
        "give both, or neither",
    );
    clash(r, f, "bootstrap", lone);
}

/// The key of the two that stands in the file; a default is never pointed at.
fn either<'a>(r: &Reader<'_>, section: &str, a: &'a str, b: &'a str) -> &'a str {
    match r.place(section, a) {
        Some(_) => a,
        None => b,
    }
}

fn clash(r: &mut Reader<'_>, f: Fault, section: &str, name: &str) {
    let place = r.place(section, name).unwrap_or(0..0);
    r.fault(f.at(place, "this value"));
}

fn check_ports(r: &mut Reader<'_>, a: (&str, SocketAddr), b: (&str, SocketAddr)) {
    let same_ip = a.1.ip() == b.1.ip() || a.1.ip().is_unspecified() || b.1.ip().is_unspecified();
    if a.1.port() == b.1.port() && same_ip {
        let f = Fault::new(
            FaultKind::Clash,
            format!("`listen.{}` and `listen.{}` are the same port", a.0, b.0),
            "give each its own port",
        );
        clash(r, f, "listen", b.0);
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
        clash(r, f, "source", "ip");
    }
}
