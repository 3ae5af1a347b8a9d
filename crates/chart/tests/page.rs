//! Checks that docs/CHARTS.md agrees with the chart files that the code interprets.

use std::fmt::Write as _;
use std::path::Path;
use std::path::PathBuf;

/// The environment variable that makes the test write the page instead of comparing it.
const WRITE_VAR: &str = "GS_WRITE_DOCS";

const HEAD: &str = "\
# State charts

The code runs by the charts in `charts/*.toml` (crate `gs-chart`), and this page is drawn from the same
files; a test proves it current, and writes it anew with `GS_WRITE_DOCS=1 cargo test -p gs-chart`. An
event that is not drawn at a state changes nothing there. A chart with a state that cannot be reached,
or an event that some state leaves unanswered, is refused when the process starts.
";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn render_page() -> String {
    let dir = std::fs::read_dir(root().join("charts")).expect("charts/");
    let mut files: Vec<_> = dir.map(|e| e.expect("a file").path()).collect();
    files.sort();
    let mut s = HEAD.to_owned();
    for path in files {
        let text = std::fs::read_to_string(&path).expect("a chart");
        let name = path.file_stem().expect("a name").to_string_lossy();
        let diagram = gs_chart::to_mermaid(&text).expect("rendered");
        let _ = writeln!(
            s,
            "\n## {name}\n\n{}```mermaid\n{diagram}```",
            leading_comment(&text)
        );
    }
    s
}

/// Returns the comment at the start of the file as a paragraph.
fn leading_comment(text: &str) -> String {
    let lines: Vec<_> = text.lines().map_while(|l| l.strip_prefix('#')).collect();
    match lines.is_empty() {
        true => String::new(),
        false => {
            lines
                .iter()
                .map(|l| format!("{}\n", l.trim()))
                .collect::<String>()
                + "\n"
        }
    }
}

#[test]
fn the_page_matches_the_charts() {
    let path = root().join("docs/CHARTS.md");
    if std::env::var_os(WRITE_VAR).is_some() {
        std::fs::write(&path, render_page()).expect("the page written");
    }
    let found = std::fs::read_to_string(&path).expect("docs/CHARTS.md");
    assert_eq!(found, render_page(), "run this test with {WRITE_VAR}=1");
}
