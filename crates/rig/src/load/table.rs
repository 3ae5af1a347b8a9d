//! Result tables in Markdown.

use super::tally::Row;

/// The header line with the columns in order.
const HEADER: &str = "| what | asked | answered | whole | p50 ms | p99 ms | p99.9 ms | coverage | extra % | \
                    not run | unknown | wrong |";

/// Formats the rows as a Markdown table.
#[must_use]
pub fn table(rows: &[Row]) -> String {
    let mut out = String::from(HEADER);
    out.push_str("\n|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|\n");
    for r in rows {
        out.push_str(&line(r));
    }
    out
}

fn line(r: &Row) -> String {
    format!(
        "| {} | {} | {} | {} | {:.1} | {:.1} | {:.1} | {:.3}% | {:.2} | {} | {} | {} |\n",
        r.name,
        r.asked,
        r.answered,
        r.whole,
        r.p50,
        r.p99,
        r.p999,
        100.0 * r.coverage,
        r.extra,
        r.not_run,
        r.unknown,
        r.wrong,
    )
}
