//! The minimal settings file that tests modify, and reports as plain text.

use std::path::Path;

use gs_settings::Faults;
use miette::GraphicalReportHandler;
use miette::GraphicalTheme;
use tempfile::TempDir;

/// The shortest file that is accepted.
pub const MINIMAL: &str = r#"[vm]
name = "hobart-1"
data-centre = "hobart-a"
region = "tasmania"

[listen]
callers = "127.0.0.1:8001"
admin = "127.0.0.1:8002"
mesh = "127.0.0.1:8003"

[platform]
addr = "127.0.0.1:7000"

[mesh]
secret-file = "secret"
"#;

/// Creates a directory that contains a secret file.
pub fn dir() -> TempDir {
    let dir = tempfile::tempdir().expect("a directory");
    std::fs::write(dir.path().join("secret"), "0123456789abcdef\n").expect("a secret");
    dir
}

/// Renders the report as operators see it, without colours and with the directory as `DIR`.
pub fn report(faults: &Faults, dir: &Path) -> String {
    let mut s = String::new();
    GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor())
        .with_width(100)
        .render_report(&mut s, faults)
        .expect("a report");
    let s = s.replace(&dir.display().to_string(), "DIR");
    s.lines().map(str::trim_end).collect::<Vec<_>>().join("\n")
}
