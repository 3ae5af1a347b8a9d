//! Loads settings from a file or a text.

use std::fs::File;
use std::io;
use std::io::Read;
use std::path::Path;

use toml::de::DeTable;

use crate::cross_checks;
use crate::faults::Fault;
use crate::faults::FaultKind;
use crate::faults::Faults;
use crate::reader::Reader;
use crate::sections;
use crate::settings::Settings;

/// The largest size of a settings file, in bytes; a larger file cannot be a settings file.
pub const FILE_MAX_BYTES: u64 = 256 << 10;

/// Reads and checks a settings file and the secret file that it names.
///
/// # Errors
///
/// [`Faults`] with every fault found.
pub fn load(path: &Path) -> Result<Settings, Faults> {
    let name = path.display().to_string();
    let buf = read_file(path).map_err(|f| Faults::new(&name, "", vec![f]))?;
    let text = match String::from_utf8(buf) {
        Ok(text) => text,
        Err(e) => return Err(not_utf8_fault(&name, &e)),
    };
    parse(&name, &text, path.parent().unwrap_or(Path::new("")))
}

/// Parses and checks the text of a settings file; relative paths in it are resolved against `dir`.
///
/// # Errors
///
/// [`Faults`] with every fault found; `name` is the file's name in the report.
pub fn parse(name: &str, text: &str, dir: &Path) -> Result<Settings, Faults> {
    let (table, errors) = DeTable::parse_recoverable(text);
    let faults: Vec<_> = errors.iter().map(|e| syntax_fault(e, text)).collect();
    // The remains of a malformed line would also be reported as missing or unknown keys.
    if faults.iter().any(|f| f.kind() == FaultKind::Syntax) {
        return Err(Faults::new(name, text, faults));
    }
    let mut r = Reader::new(table.into_inner(), dir);
    for f in faults {
        r.add_fault(f);
    }
    r.check_names();
    let settings = sections::read_all(&mut r);
    if let Some(s) = &settings {
        cross_checks::check(s, &mut r);
    }
    match (settings, r.into_faults()) {
        (Some(s), faults) if faults.is_empty() => Ok(s),
        (_, faults) => Err(Faults::new(name, text, faults)),
    }
}

fn read_file(path: &Path) -> Result<Vec<u8>, Fault> {
    let file = File::open(path).map_err(|e| unreadable_fault(path, &e))?;
    let mut buf = Vec::new();
    file.take(FILE_MAX_BYTES + 1)
        .read_to_end(&mut buf)
        .map_err(|e| unreadable_fault(path, &e))?;
    if buf.len() as u64 > FILE_MAX_BYTES {
        return Err(Fault::new(
            FaultKind::TooLarge,
            format!("{} is larger than {FILE_MAX_BYTES} bytes", path.display()),
            "name a settings file",
        ));
    }
    Ok(buf)
}

fn unreadable_fault(path: &Path, e: &io::Error) -> Fault {
    let path = path.display();
    match e.kind() {
        io::ErrorKind::NotFound => Fault::new(
            FaultKind::NoFile,
            format!("{path} does not exist"),
            "check the path after `--settings`; examples/ holds one to begin from",
        ),
        _ => Fault::new(
            FaultKind::Unreadable,
            format!("{path} cannot be read: {e}"),
            "make it a file that this user may read",
        ),
    }
}

fn not_utf8_fault(name: &str, e: &std::string::FromUtf8Error) -> Faults {
    let at = e.utf8_error().valid_up_to();
    let fault = Fault::new(
        FaultKind::NotUtf8,
        format!("byte {at} is not UTF-8"),
        "save the file as UTF-8",
    )
    .at(at..at + 1, "not UTF-8 from here");
    Faults::new(name, &String::from_utf8_lossy(e.as_bytes()), vec![fault])
}

fn syntax_fault(e: &toml::de::Error, text: &str) -> Fault {
    let span = e.span().unwrap_or(text.len()..text.len());
    if e.message().contains("duplicate key") {
        return Fault::new(
            FaultKind::Duplicate,
            "the key is given twice",
            "keep one of the two",
        )
        .at(span, "here again");
    }
    Fault::new(
        FaultKind::Syntax,
        format!("this is not TOML: {}", e.message()),
        "write `key = value` under a `[section]`; put words, durations and sizes in quotes",
    )
    .at(span, "here")
}
