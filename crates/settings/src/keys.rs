//! The table of all keys with their kinds, ranges and defaults, from which docs/SETTINGS.md is
//! generated.

use std::fmt;
use std::time::Duration;

use gs_types::prelude::*;

/// One key of the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Key {
    /// The section that it belongs to.
    pub section: &'static str,
    /// Its name within the section.
    pub name: &'static str,
    /// The kind and range of its value.
    pub kind: ValueKind,
    /// Whether it may be omitted, and its default.
    pub presence: Presence,
    /// What it sets, for the documentation.
    pub description: &'static str,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.section, self.name)
    }
}

/// The effect of omitting a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The settings are rejected.
    Required,
    /// This value, in TOML syntax, applies.
    Default(&'static str),
    /// The feature is off or the system chooses, as the key's description says.
    Unset,
}

/// The kind of a key's value, with its range, of which both ends are included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueKind {
    /// The name of a VM, data centre, region or team.
    Name,
    /// An IP address and a port.
    Address,
    /// An IP address.
    Ip,
    /// A SHA-256 in hexadecimal.
    Hash,
    /// The path of a file; a relative one is resolved against the settings file's directory.
    Path,
    /// A duration with its unit.
    Duration(Duration, Duration),
    /// A size in bytes.
    Size(Bytes, Bytes),
    /// A whole number.
    Count(u64, u64),
    /// A rate of events per second.
    Rate(f64, f64),
    /// A fraction.
    Fraction(f64, f64),
    /// One of these words.
    Choice(&'static [&'static str]),
}

impl ValueKind {
    /// Returns how a value is written, for fault reports.
    #[must_use]
    pub fn syntax(self) -> &'static str {
        match self {
            ValueKind::Name => "a name in quotes, such as \"hobart-1\"",
            ValueKind::Address => "an IP number and a port in quotes, such as \"10.0.0.1:8080\"",
            ValueKind::Ip => "an IP number in quotes, such as \"10.0.0.1\"",
            ValueKind::Hash => "64 digits of 0-9 and a-f in quotes",
            ValueKind::Path => "a path in quotes, such as \"mesh.secret\"",
            ValueKind::Duration(..) => "a duration in quotes, such as \"250ms\" or \"2s\"",
            ValueKind::Size(..) => "a size in quotes, such as \"64KB\" or \"1MB\"",
            ValueKind::Count(..) => "a whole number",
            ValueKind::Rate(..) => "a number of events per second, such as 20",
            ValueKind::Fraction(..) => "a fraction, such as 0.03",
            ValueKind::Choice(_) => "one of the words in quotes",
        }
    }

    /// Returns a short name of the kind, for the documentation.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            ValueKind::Name => "name",
            ValueKind::Address => "IP number and port",
            ValueKind::Ip => "IP number",
            ValueKind::Hash => "SHA-256",
            ValueKind::Path => "path",
            ValueKind::Duration(..) => "duration",
            ValueKind::Size(..) => "size",
            ValueKind::Count(..) => "count",
            ValueKind::Rate(..) => "per second",
            ValueKind::Fraction(..) => "fraction",
            ValueKind::Choice(_) => "word",
        }
    }

    /// Returns the accepted values, for the documentation and fault reports.
    #[must_use]
    pub fn range(self) -> String {
        match self {
            ValueKind::Name => format!(
                "1 to {} of a-z, 0-9, `-`, `_`, `.`",
                gs_types::ids::NAME_MAX_BYTES
            ),
            ValueKind::Address => "port not 0".to_owned(),
            ValueKind::Ip => "IPv4 or IPv6".to_owned(),
            ValueKind::Hash => "64 digits of 0-9, a-f".to_owned(),
            ValueKind::Path => "a readable or writable file".to_owned(),
            ValueKind::Duration(min, max) => {
                let form = humantime::format_duration;
                format!("{} to {}", form(min), form(max))
            }
            ValueKind::Size(min, max) => format!("{min} to {max}"),
            ValueKind::Count(min, max) => format!("{min} to {max}"),
            ValueKind::Rate(min, max) | ValueKind::Fraction(min, max) => format!("{min} to {max}"),
            ValueKind::Choice(words) => words.join(", "),
        }
    }
}

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

const fn key(
    section: &'static str,
    name: &'static str,
    kind: ValueKind,
    presence: Presence,
    description: &'static str,
) -> Key {
    Key {
        section,
        name,
        kind,
        presence,
        description,
    }
}

const HOUR_SECS: u64 = 3600;
const KB: u64 = 1 << 10;
const MB: u64 = 1 << 20;

/// All keys, in the order of the documentation.
#[rustfmt::skip]
pub const KEYS: &[Key] = &[
    key("vm", "name", ValueKind::Name, Presence::Required,
        "The VM's name, unique among live VMs."),
    key("vm", "data-centre", ValueKind::Name, Presence::Required,
        "The data centre of the VM."),
    key("vm", "region", ValueKind::Name, Presence::Required,
        "The region of the data centre."),
    key("listen", "callers", ValueKind::Address, Presence::Required,
        "The address for callers."),
    key("listen", "admin", ValueKind::Address, Presence::Required,
        "The address for operators, metrics and health checks."),
    key("listen", "mesh", ValueKind::Address, Presence::Required,
        "The address for the other VMs."),
    key("source", "ip", ValueKind::Ip, Presence::Unset,
        "The local address of outgoing connections; the system chooses one if it is not set."),
    key("platform", "addr", ValueKind::Address, Presence::Required,
        "The address of the platform's object service."),
    key("platform", "timeout", ValueKind::Duration(ms(10), secs(30)), Presence::Default("\"500ms\""),
        "The timeout of one call; the wait of a watch is not counted."),
    key("platform", "watch-wait", ValueKind::Duration(ms(100), secs(300)), Presence::Default("\"3s\""),
        "The time that a watch waits for a change; a watch that the platform lost is begun again after it."),
    key("platform", "reads-per-second", ValueKind::Rate(0.1, 10_000.0), Presence::Default("200"),
        "This process's share of the platform's reads, lists and watches."),
    key("platform", "writes-per-second", ValueKind::Rate(0.1, 10_000.0), Presence::Default("30"),
        "This process's share of the platform's writes and deletes."),
    key("mesh", "secret-file", ValueKind::Path, Presence::Required,
        "The file with the secret that all VMs share: 16 bytes to 4KB, not counting a final line \
         break."),
    key("mesh", "heartbeat", ValueKind::Duration(ms(50), ms(500)), Presence::Default("\"250ms\""),
        "The time between two heartbeats; a VM that does not answer for 1.5 s is suspected."),
    key("callers", "body", ValueKind::Size(Bytes(KB), Bytes(16 * MB)), Presence::Default("\"64KB\""),
        "The largest size of a request body."),
    key("callers", "headers", ValueKind::Size(Bytes(8 * KB), Bytes(MB)), Presence::Default("\"16KB\""),
        "The largest size of a request head."),
    key("callers", "header-timeout", ValueKind::Duration(ms(10), secs(60)), Presence::Default("\"2s\""),
        "The longest time that a request's head may take to arrive."),
    key("callers", "body-timeout", ValueKind::Duration(ms(10), secs(60)), Presence::Default("\"2s\""),
        "The longest time that a request's body may take to arrive."),
    key("callers", "in-flight", ValueKind::Count(1, 1_000_000), Presence::Default("2000"),
        "The largest number of lookups in flight; further ones are refused at once."),
    key("callers", "connections", ValueKind::Count(1, 1_000_000), Presence::Default("4096"),
        "The largest number of open connections from callers."),
    key("tuning", "policy", ValueKind::Choice(&["chosen", "baseline"]), Presence::Default("\"chosen\""),
        "The policy for decisions on lookups: `chosen` is the default policy, `baseline` is for measurements \
         only."),
    key("tuning", "extra-budget", ValueKind::Fraction(0.0, 1.0), Presence::Default("0.03"),
        "The number of hedges and retries together that are allowed per initial attempt."),
    key("tuning", "seed", ValueKind::Count(0, i64::MAX as u64), Presence::Unset,
        "The seed of the decisions' random numbers; chosen at random at startup if it is not set."),
    key("shutdown", "lag", ValueKind::Duration(ms(0), secs(60)), Presence::Default("\"2s\""),
        "The time for which new requests are still accepted after the process reports that it is not \
         ready."),
    key("shutdown", "deadline", ValueKind::Duration(ms(100), secs(600)), Presence::Default("\"30s\""),
        "The time after the start of the shutdown at which the process exits even if requests are still \
         in flight; longer than `lag`."),
    key("servers", "poll", ValueKind::Duration(ms(50), secs(60)), Presence::Default("\"1s\""),
        "The time between two polls of a backend server's health and load endpoint."),
    key("servers", "connect-timeout", ValueKind::Duration(ms(1), secs(10)), Presence::Default("\"100ms\""),
        "The timeout of opening a connection to a backend server."),
    key("claims", "window", ValueKind::Duration(secs(60), secs(30 * 24 * HOUR_SECS)), Presence::Default("\"24h\""),
        "The largest age of an idempotency key; an older key is always refused."),
    key("claims", "skew", ValueKind::Duration(ms(0), secs(600)), Presence::Default("\"30s\""),
        "The largest difference between the clocks of callers and VMs; shorter than `window`."),
    key("bootstrap", "team", ValueKind::Name, Presence::Unset,
        "The first admin team, created if the platform has no configuration yet; requires `key-sha256`."),
    key("bootstrap", "key-sha256", ValueKind::Hash, Presence::Unset,
        "The SHA-256 of the team's key; requires `team`."),
    key("log", "level", ValueKind::Choice(&["off", "error", "warn", "info", "debug", "trace"]),
        Presence::Default("\"info\""),
        "The level of detail of the log on stderr, which has one key=value line per event."),
    key("record", "file", ValueKind::Path, Presence::Unset,
        "The file that the trace is written to, in which `{vm}` stands for the VM's name; nothing is \
         recorded if it is not set."),
    key("runtime", "workers", ValueKind::Count(1, 256), Presence::Default("2"),
        "The number of worker threads that serve requests."),
];

/// Returns a key by its section and name.
pub(crate) fn find_key(section: &str, name: &str) -> Option<&'static Key> {
    KEYS.iter().find(|k| k.section == section && k.name == name)
}

/// Returns the names of the sections, each once, in the order of [`KEYS`].
pub(crate) fn section_names() -> Vec<&'static str> {
    let mut out: Vec<&'static str> = KEYS.iter().map(|k| k.section).collect();
    out.dedup();
    out
}
