//! Checks that docs/SETTINGS.md agrees with the table of keys and that the example is accepted.

use std::fmt::Write as _;
use std::path::PathBuf;

use gs_settings::KEYS;
use gs_settings::Presence;

/// The environment variable that makes the test write the page instead of comparing it.
const WRITE_VAR: &str = "GS_WRITE_DOCS";

const HEAD: &str = "\
# Settings

One TOML file for each process, read once at start: `gentiansill serve --settings vm.toml`.
`gentiansill check --settings vm.toml` reads it in the same way and starts nothing.

Each key that is unknown, doubled, misspelt, out of its range or without its unit is refused, and so
is a key without a default that is missing. The report names every fault at once, each with its
place, the reason and how to fix it; the exit code is 2. Nothing else falls back to a default.

- A **duration** is a text with a unit: `\"250ms\"`, `\"2s\"`, `\"1m 30s\"`, `\"24h\"`.
- A **size** is a text such as `\"64KB\"` or `\"1MB\"` (powers of 1,024) or a plain number of bytes.
- A **path** that is relative starts at the directory of the settings file.
- An **address** is an IP number and a port; host names are not looked up.
- Both ends of a range belong to it.

Besides, `shutdown.deadline` must be longer than `shutdown.lag` and `claims.window` longer than
`claims.skew`; no two of the `listen` addresses may share a port on the same IP number; `source.ip`
and `platform.addr` must be of the same IP version.

The secret that VMs share is read from `mesh.secret-file` at start. It stands in no log line, dump or
report.

examples/vm.toml is a whole file to begin from. The tables below are drawn from the code
(`crates/settings/src/keys.rs`); a test proves that they agree.
";

fn render_page() -> String {
    let mut s = HEAD.to_owned();
    let mut section = "";
    for key in KEYS {
        if key.section != section {
            section = key.section;
            let _ = writeln!(s, "\n## `[{section}]`\n");
            s.push_str("| key | takes | range | default | meaning |\n");
            s.push_str("| --- | --- | --- | --- | --- |\n");
        }
        let default = match key.presence {
            Presence::Required => "none: must be given".to_owned(),
            Presence::Default(v) => format!("`{v}`"),
            Presence::Unset => "not set".to_owned(),
        };
        let (name, label, range) = (key.name, key.kind.label(), key.kind.range());
        let _ = writeln!(
            s,
            "| `{name}` | {label} | {range} | {default} | {} |",
            key.description
        );
    }
    s
}

#[test]
fn the_page_matches_the_settings() {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    if std::env::var_os(WRITE_VAR).is_some() {
        std::fs::write(&path, render_page()).expect("the page written");
    }
    let found = std::fs::read_to_string(&path).expect("docs/SETTINGS.md");
    assert_eq!(found, render_page(), "run this test with {WRITE_VAR}=1");
}

#[test]
fn the_example_is_accepted() {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/vm.toml");
    let settings = gs_settings::load(&path).expect("accepted");
    assert_eq!(settings.vm.data_centre.as_str(), "hobart-a");
}
