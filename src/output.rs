//! Writes results to stdout, whose reader may close the pipe at any time.

use std::io::Write;

use serde_json::Value;

/// Writes a line; ignores errors, because a reader such as `head` may close the pipe early.
pub(crate) fn print_line(text: &str) {
    let _ = writeln!(std::io::stdout().lock(), "{text}");
}

/// Writes a value as indented JSON.
pub(crate) fn print_json(value: &Value) {
    print_line(&format!("{value:#}"));
}

/// Writes a value as one `key.key = value` line for each leaf.
pub(crate) fn print_flat(value: &Value) {
    let mut lines = Vec::new();
    flatten("", value, &mut lines);
    for l in lines {
        print_line(&l);
    }
}

/// Appends the lines of a value at a path of keys.
fn flatten(path: &str, value: &Value, out: &mut Vec<String>) {
    let child_path = |name: &str| match path {
        "" => name.to_owned(),
        path => format!("{path}.{name}"),
    };
    match value {
        Value::Object(map) => map
            .iter()
            .for_each(|(k, v)| flatten(&child_path(k), v, out)),
        Value::Array(list) if !list.is_empty() => {
            for (i, v) in list.iter().enumerate() {
                flatten(&child_path(&i.to_string()), v, out);
            }
        }
        Value::String(s) => out.push(format!("{path} = {s}")),
        other => out.push(format!("{path} = {other}")),
    }
}
