//! Tables of results as text, which is also Markdown.

use super::tally::Row;

/// The columns, in order.
const HEAD: &str = "| what | asked | answered | whole | p50 ms | p99 ms | p99.9 ms | coverage | extra % | \
                    not run | unknown | wrong |";

/// Draws the rows as a table.
#[must_use]
pub fn table(rows: &[Row]) -> String {
    let mut out = String::from(HEAD);
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
