//! Renders a chart as a Mermaid diagram, for the documentation.

use std::fmt::Write as _;

use gs_types::error::Error;

use crate::file::ChartFile;

/// Renders the text of a chart file as a Mermaid state diagram.
///
/// # Errors
///
/// [`ErrorKind::BadInput`](gs_types::error::ErrorKind::BadInput) if the text is not a chart.
pub fn to_mermaid(text: &str) -> Result<String, Error> {
    let chart = ChartFile::parse(text)?;
    let mut s = String::from("stateDiagram-v2\n");
    for state in chart.state.iter().filter(|s| s.name.contains('-')) {
        let _ = writeln!(
            s,
            "    state \"{}\" as {}",
            state.name,
            mermaid_id(&state.name)
        );
    }
    let _ = writeln!(s, "    [*] --> {}", mermaid_id(&chart.initial));
    for state in &chart.state {
        let from = mermaid_id(&state.name);
        for (event, to) in &state.on {
            let _ = writeln!(s, "    {from} --> {}: {event}", mermaid_id(to));
        }
        if state.last {
            let _ = writeln!(s, "    {from} --> [*]");
        }
    }
    Ok(s)
}

/// Returns a Mermaid id for a state name; Mermaid would parse a hyphen as the start of an arrow.
fn mermaid_id(name: &str) -> String {
    name.replace('-', "_")
}
