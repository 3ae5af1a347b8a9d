//! Replays of every trace in the repository against its stated outcomes.

use std::path::Path;
use std::path::PathBuf;

use gs_trace::Expectations;
use gs_trace::Script;

use crate::common::run;

/// Suffix of the file that states a trace's outcomes.
const OUTCOMES_SUFFIX: &str = ".expect.toml";

/// Returns the paths of the scripts under `traces/`, each with the path of its stated outcomes.
fn find_traces() -> Vec<(PathBuf, PathBuf)> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("traces");
    let mut found = Vec::new();
    for entry in std::fs::read_dir(dir).expect("traces/") {
        let path = entry.expect("a file").path();
        let name = path.to_str().expect("a name");
        if let Some(stem) = name
            .strip_suffix(".toml")
            .filter(|_| !name.ends_with(OUTCOMES_SUFFIX))
        {
            let outcomes = PathBuf::from(format!("{stem}{OUTCOMES_SUFFIX}"));
            found.push((path, outcomes));
        }
    }
    found.sort();
    found
}

#[test]
fn each_trace_comes_to_its_stated_outcomes() {
    let traces = find_traces();
    assert!(traces.len() >= 8, "at least one trace for each promise");
    for (trace, outcomes) in traces {
        let (trace, outcomes) = (
            trace.to_str().expect("a name"),
            outcomes.to_str().expect("a name"),
        );
        let r = run(&["replay", trace, "--expect", outcomes]);
        assert_eq!(r.code, 0, "{trace}: {}{}", r.stdout, r.stderr);
        assert!(r.stdout.starts_with("as stated: "), "{}", r.stdout);
    }
}

#[test]
fn each_trace_opens_with_its_story_and_states_an_outcome() {
    for (trace, outcomes) in find_traces() {
        let text = std::fs::read_to_string(&trace).expect("a trace");
        let story = Script::parse(&text).expect("a script").story;
        let lines = story.trim().lines().count();
        assert!(
            (2..=5).contains(&lines),
            "{}: {lines} lines",
            trace.display()
        );
        let text = std::fs::read_to_string(&outcomes).expect("outcomes");
        let stated = Expectations::parse(&text).expect("outcomes");
        assert!(!stated.lookup.is_empty(), "{}", outcomes.display());
    }
}
