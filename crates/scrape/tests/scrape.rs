//! Tests of the text of a scrape.

use gs_scrape::MetricsExporter;
use gs_scrape::SeriesNames;

fn exporter() -> MetricsExporter {
    let names = SeriesNames {
        totals: "gs_events",
        states: "gs_state",
    };
    let vm = "vm-1".parse().expect("a name");
    let data_centre = "hobart-a".parse().expect("a name");
    MetricsExporter::new(&vm, &data_centre, names).expect("the exporter is created")
}

fn line<'a>(text: &'a str, prefix: &str, contained: &str) -> &'a str {
    let found = text
        .lines()
        .find(|l| l.starts_with(prefix) && l.contains(contained));
    found.unwrap_or_else(|| panic!("no line `{prefix}` with `{contained}` in:\n{text}"))
}

#[test]
fn totals_accumulate_and_states_show_the_current_value() {
    let exporter = exporter();
    let _ = exporter.text(&[("hedges", 3)], &[("in-flight", 7.0)]);
    let text = exporter.text(&[("hedges", 5)], &[("in-flight", 2.0)]);
    assert!(line(&text, "gs_events", "hedges").ends_with(" 5"), "{text}");
    assert!(
        line(&text, "gs_state", "in-flight").ends_with(" 2"),
        "{text}"
    );
}

/// A state machine that is replaced counts from zero again. The exported total must not fall then, which would make
/// computed rates jump.
#[test]
fn a_total_that_restarts_from_zero_does_not_fall() {
    let exporter = exporter();
    for n in [10, 2, 3] {
        let text = exporter.text(&[("hedges", n)], &[]);
        let expected = if n == 3 { " 11" } else { " 10" };
        assert!(
            line(&text, "gs_events", "hedges").ends_with(expected),
            "{text}"
        );
    }
}

#[test]
fn a_scrape_names_its_vm() {
    let text = exporter().text(&[], &[]);
    assert!(line(&text, "target_info", "vm-1").contains("hobart-a"));
}
