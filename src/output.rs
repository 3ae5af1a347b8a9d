//! Writing to stdout, where a reader may go away at any time.

use std::io::Write;

use serde_json::Value;

/// Writes a line; a pipe that was closed, as by `head`, is no fault of ours.
pub(crate) fn line(text: &str) {
    let _ = writeln!(std::io::stdout().lock(), "{text}");
}

/// Writes a value on lines of its own, for people and programs alike.
pub(crate) fn json(value: &Value) {
    line(&format!("{value:#}"));
}

/// Writes a value as one `key.key = value` line for each leaf.
pub(crate) fn flat(value: &Value) {
    let mut lines = Vec::new();
    flatten("", value, &mut lines);
    for l in lines {
        line(&l);
    }
}

fn flatten(at: &str, value: &Value, out: &mut Vec<String>) {
    let deeper = |name: &str| match at {
        "" => name.to_owned(),
        at => format!("{at}.{name}"),
    };
    match value {
        Value::Object(map) => map.iter().for_each(|(k, v)| flatten(&deeper(k), v, out)),
        Value::Array(list) if !list.is_empty() => {
            for (i, v) in list.iter().enumerate() {
                flatten(&deeper(&i.to_string()), v, out);
            }
        }
        Value::String(s) => out.push(format!("{at} = {s}")),
        other => out.push(format!("{at} = {other}")),
    }
}
