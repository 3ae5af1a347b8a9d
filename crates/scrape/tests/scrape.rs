//! What a scrape shows.

use gs_scrape::MetricsExporter;
use gs_scrape::SeriesNames;

fn scrape() -> MetricsExporter {
    let names = SeriesNames {
        totals: "gs_events",
        states: "gs_state",
    };
    let vm = "vm-1".parse().expect("a name");
    let data_centre = "hobart-a".parse().expect("a name");
    MetricsExporter::new(&vm, &data_centre, names).expect("it is set up")
}

fn line<'a>(text: &'a str, begins: &str, holds: &str) -> &'a str {
    let found = text
        .lines()
        .find(|l| l.starts_with(begins) && l.contains(holds));
    found.unwrap_or_else(|| panic!("no `{begins}` with `{holds}` in:\n{text}"))
}

#[test]
fn totals_grow_and_states_are_as_they_are_now() {
    let s = scrape();
    let _ = s.text(&[("hedges", 3)], &[("in-flight", 7.0)]);
    let text = s.text(&[("hedges", 5)], &[("in-flight", 2.0)]);
    assert!(line(&text, "gs_events", "hedges").ends_with(" 5"), "{text}");
    assert!(
        line(&text, "gs_state", "in-flight").ends_with(" 2"),
        "{text}"
    );
}

/// A total falls in a scrape and rates go wild: a decision was put in place anew and counts from zero.
#[test]
fn a_total_that_begins_anew_does_not_fall() {
    let s = scrape();
    for n in [10, 2, 3] {
        let text = s.text(&[("hedges", n)], &[]);
        let expected = if n == 3 { " 11" } else { " 10" };
        assert!(
            line(&text, "gs_events", "hedges").ends_with(expected),
            "{text}"
        );
    }
}

#[test]
fn a_scrape_names_its_vm() {
    let text = scrape().text(&[], &[]);
    assert!(line(&text, "target_info", "vm-1").contains("hobart-a"));
}
