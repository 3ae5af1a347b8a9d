//! Reads one value of each kind and checks its range.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::ops::Range;
use std::str::FromStr;
use std::time::Duration;

use gs_types::prelude::*;
use toml::de::DeValue;

use crate::faults::Fault;
use crate::faults::FaultKind;
use crate::fraction::Fraction;
use crate::keys::Key;
use crate::keys::ValueKind;

/// Why a value is refused; its place and its key are added by the reader.
pub(crate) struct Problem {
    kind: FaultKind,
    text: String,
    hint: Option<String>,
}

impl Problem {
    pub(crate) fn new(kind: FaultKind, text: impl Into<String>) -> Self {
        Self {
            kind,
            text: text.into(),
            hint: None,
        }
    }

    pub(crate) fn with_hint(mut self, hint: impl Into<String>) -> Self {
        self.hint = Some(hint.into());
        self
    }

    pub(crate) fn into_fault(self, key: &Key, place: Range<usize>) -> Fault {
        let hint = self.hint.unwrap_or_else(|| match self.kind {
            FaultKind::OutOfRange => format!("give {}", key.kind.range()),
            _ => format!("write {}", key.kind.form()),
        });
        let f = Fault::new(self.kind, format!("`{key}` {}", self.text), hint);
        let f = f.at(place, "this value");
        match key.kind {
            ValueKind::Hash => f.hide(),
            _ => f,
        }
    }
}

fn wrong_type(v: &DeValue<'_>) -> Problem {
    let found = match v {
        DeValue::Boolean(_) => "a boolean",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a table",
        DeValue::String(_) => "a text",
        DeValue::Integer(_) | DeValue::Float(_) => "a number",
    };
    Problem::new(FaultKind::WrongType, format!("is {found}"))
}

fn bad_value(why: impl std::fmt::Display) -> Problem {
    Problem::new(FaultKind::BadValue, format!("does not read: {why}"))
}

fn out_of_range(value: impl std::fmt::Display) -> Problem {
    Problem::new(
        FaultKind::OutOfRange,
        format!("is {value}, out of its range"),
    )
}

/// A text as it stands.
pub(crate) fn text(v: &DeValue<'_>, _: &Key) -> Result<String, Problem> {
    v.as_str().map(str::to_owned).ok_or_else(|| wrong_type(v))
}

/// A name, or another text that its type parses and checks.
pub(crate) fn parsed<T: FromStr<Err = Error>>(v: &DeValue<'_>, key: &Key) -> Result<T, Problem> {
    let s = text(v, key)?;
    s.parse().map_err(|e: Error| {
        let p = bad_value(&e);
        match e.hint() {
            Some(hint) => p.with_hint(hint),
            None => p,
        }
    })
}

/// An IP number and a port.
pub(crate) fn address(v: &DeValue<'_>, key: &Key) -> Result<SocketAddr, Problem> {
    let s = text(v, key)?;
    let addr: SocketAddr = s
        .parse()
        .map_err(|_| bad_value(format!("`{s:.64}` is not an IP number and a port")))?;
    if addr.port() == 0 {
        return Err(out_of_range("port 0").with_hint("name a port from 1 to 65535"));
    }
    Ok(addr)
}

/// An IP number.
pub(crate) fn ip(v: &DeValue<'_>, key: &Key) -> Result<IpAddr, Problem> {
    let s = text(v, key)?;
    s.parse()
        .map_err(|_| bad_value(format!("`{s:.64}` is not an IP number")))
}

/// A duration within the key's range.
pub(crate) fn duration(v: &DeValue<'_>, key: &Key) -> Result<Duration, Problem> {
    let s = text(v, key)?;
    let d = humantime::parse_duration(&s).map_err(|e| bad_value(format!("{e} in `{s:.64}`")))?;
    match key.kind {
        ValueKind::Duration(min, max) if d < min || d > max => {
            Err(out_of_range(humantime::format_duration(d)))
        }
        _ => Ok(d),
    }
}

/// A size within the key's range; a plain number counts bytes.
pub(crate) fn size(v: &DeValue<'_>, key: &Key) -> Result<Bytes, Problem> {
    let b = match v {
        DeValue::String(s) => s.parse().map_err(|e: Error| bad_value(e))?,
        DeValue::Integer(_) => Bytes(integer(v)?),
        _ => return Err(wrong_type(v)),
    };
    match key.kind {
        ValueKind::Size(min, max) if b < min || b > max => Err(out_of_range(b)),
        _ => Ok(b),
    }
}

/// A whole number within the key's range.
pub(crate) fn count(v: &DeValue<'_>, key: &Key) -> Result<u64, Problem> {
    let n = integer(v)?;
    match key.kind {
        ValueKind::Count(min, max) if n < min || n > max => Err(out_of_range(n)),
        _ => Ok(n),
    }
}

/// A whole number within the key's range, which ends below 2^32.
pub(crate) fn count32(v: &DeValue<'_>, key: &Key) -> Result<u32, Problem> {
    let n = count(v, key)?;
    u32::try_from(n).map_err(|_| out_of_range(n))
}

fn integer(v: &DeValue<'_>) -> Result<u64, Problem> {
    let i = v.as_integer().ok_or_else(|| wrong_type(v))?;
    let n = i64::from_str_radix(i.as_str(), i.radix())
        .map_err(|_| Problem::new(FaultKind::OutOfRange, "is larger than any range"))?;
    u64::try_from(n).map_err(|_| out_of_range(n))
}

/// Events a second, within the key's range.
pub(crate) fn rate(v: &DeValue<'_>, key: &Key) -> Result<PerSecond, Problem> {
    let n = number(v)?;
    match key.kind {
        ValueKind::Rate(min, max) if !(min..=max).contains(&n) => Err(out_of_range(n)),
        _ => Ok(PerSecond(n)),
    }
}

/// A fraction within the key's range.
pub(crate) fn fraction(v: &DeValue<'_>, key: &Key) -> Result<Fraction, Problem> {
    let n = number(v)?;
    match key.kind {
        ValueKind::Fraction(min, max) if !(min..=max).contains(&n) => Err(out_of_range(n)),
        _ => Fraction::new(n).map_err(|_| out_of_range(n)),
    }
}

fn number(v: &DeValue<'_>) -> Result<f64, Problem> {
    match v {
        DeValue::Float(f) => f.as_str().parse().map_err(|_| wrong_type(v)),
        DeValue::Integer(_) => u32::try_from(integer(v)?)
            .map(f64::from)
            .map_err(|_| Problem::new(FaultKind::OutOfRange, "is larger than any range")),
        _ => Err(wrong_type(v)),
    }
}

/// One of the key's words.
pub(crate) fn choice<T: FromStr>(v: &DeValue<'_>, key: &Key) -> Result<T, Problem> {
    let s = text(v, key)?;
    s.parse().map_err(|_| {
        bad_value(format!("there is no `{s:.64}`"))
            .with_hint(format!("write one of {}", key.kind.range()))
    })
}
