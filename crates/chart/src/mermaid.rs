//! Draws a chart for the docs.

use std::fmt::Write as _;

use gs_types::error::Error;

use crate::file::ChartFile;

/// Draws a chart's text in Mermaid's notation.
///
/// # Errors
///
/// [`ErrorKind::BadInput`](gs_types::error::ErrorKind::BadInput) if the text is no chart.
pub fn to_mermaid(text: &str) -> Result<String, Error> {
    let chart = ChartFile::parse(text)?;
    let mut s = String::from("stateDiagram-v2\n");
    for state in chart.state.iter().filter(|s| s.name.contains('-')) {
        let _ = writeln!(s, "    state \"{}\" as {}", state.name, id(&state.name));
    }
    let _ = writeln!(s, "    [*] --> {}", id(&chart.initial));
    for state in &chart.state {
        let from = id(&state.name);
        for (event, to) in &state.on {
            let _ = writeln!(s, "    {from} --> {}: {event}", id(to));
        }
        if state.last {
            let _ = writeln!(s, "    {from} --> [*]");
        }
    }
    Ok(s)
}

/// A state's name as Mermaid can read it: a hyphen would begin an arrow there.
fn id(name: &str) -> String {
    name.replace('-', "_")
}
