//! Reads the small files that are named on the command line.

use std::fs::File;
use std::io::Read;
use std::path::Path;

use gs_types::prelude::*;

/// The largest file that a command reads, in bytes: a configuration fits into one platform object.
const FILE_MAX_BYTES: u64 = 4 << 20;

/// Reads a text file of at most [`FILE_MAX_BYTES`]; `step` names the step in errors.
pub(crate) fn read_text(path: &Path, step: &str) -> Result<String> {
    let name = path.display();
    let fail = |kind, text: String| Error::new(kind, text).at(step);
    let io = |e: std::io::Error| {
        fail(ErrorKind::Io, format!("{name}: {e}")).with_hint("check the path and its permissions")
    };
    let mut buf = Vec::new();
    let file = File::open(path).map_err(io)?;
    file.take(FILE_MAX_BYTES + 1)
        .read_to_end(&mut buf)
        .map_err(io)?;
    if buf.len() as u64 > FILE_MAX_BYTES {
        let text = format!("{name} is larger than {FILE_MAX_BYTES} bytes");
        return Err(fail(ErrorKind::TooMuch, text));
    }
    String::from_utf8(buf).map_err(|e| {
        let at = e.utf8_error().valid_up_to();
        fail(
            ErrorKind::BadInput,
            format!("{name}: byte {at} is not UTF-8"),
        )
        .with_hint("save the file as UTF-8")
    })
}
