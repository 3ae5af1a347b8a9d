//! Parsers for values of each kind, which check the range of the key.

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

/// Why a value is invalid; the reader adds its key and its span.
pub(crate) struct ValueError {
    kind: FaultKind,
    text: String,
    hint: Option<String>,
}

impl ValueError {
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

    pub(crate) fn into_fault(self, key: &Key, span: Range<usize>) -> Fault {
        let hint = self.hint.unwrap_or_else(|| match self.kind {
            FaultKind::OutOfRange => format!("give {}", key.kind.range()),
            _ => format!("write {}", key.kind.syntax()),
        });
        let f = Fault::new(self.kind, format!("`{key}` {}", self.text), hint);
        let f = f.at(span, "this value");
        match key.kind {
            ValueKind::Hash => f.redact(),
            _ => f,
        }
    }
}

fn wrong_type(v: &DeValue<'_>) -> ValueError {
    let found = match v {
        DeValue::Boolean(_) => "a boolean",
        DeValue::Datetime(_) => "a date or time",
        DeValue::Array(_) => "an array",
        DeValue::Table(_) => "a table",
        DeValue::String(_) => "a string",
        DeValue::Integer(_) | DeValue::Float(_) => "a number",
    };
    ValueError::new(FaultKind::WrongType, format!("is {found}"))
}

fn bad_value(why: impl std::fmt::Display) -> ValueError {
    ValueError::new(FaultKind::BadValue, format!("does not read: {why}"))
}

fn out_of_range(value: impl std::fmt::Display) -> ValueError {
    ValueError::new(
        FaultKind::OutOfRange,
        format!("is {value}, out of its range"),
    )
}

/// Returns a string value unchanged.
pub(crate) fn parse_text(v: &DeValue<'_>, _: &Key) -> Result<String, ValueError> {
    v.as_str().map(str::to_owned).ok_or_else(|| wrong_type(v))
}

/// Parses a name, or another string that its type checks.
pub(crate) fn parse_from_str<T: FromStr<Err = Error>>(
    v: &DeValue<'_>,
    key: &Key,
) -> Result<T, ValueError> {
    let s = parse_text(v, key)?;
    s.parse().map_err(|e: Error| {
        let error = bad_value(&e);
        match e.hint() {
            Some(hint) => error.with_hint(hint),
            None => error,
        }
    })
}

/// Parses an IP address and a port; port 0 is out of range.
pub(crate) fn parse_address(v: &DeValue<'_>, key: &Key) -> Result<SocketAddr, ValueError> {
    let s = parse_text(v, key)?;
    let addr: SocketAddr = s
        .parse()
        .map_err(|_| bad_value(format!("`{s:.64}` is not an IP number and a port")))?;
    if addr.port() == 0 {
        return Err(out_of_range("port 0").with_hint("name a port from 1 to 65535"));
    }
    Ok(addr)
}

/// Parses an IP address.
pub(crate) fn parse_ip(v: &DeValue<'_>, key: &Key) -> Result<IpAddr, ValueError> {
    let s = parse_text(v, key)?;
    s.parse()
        .map_err(|_| bad_value(format!("`{s:.64}` is not an IP number")))
}

/// Parses a duration within the key's range.
pub(crate) fn parse_duration(v: &DeValue<'_>, key: &Key) -> Result<Duration, ValueError> {
    let s = parse_text(v, key)?;
    let d = humantime::parse_duration(&s).map_err(|e| bad_value(format!("{e} in `{s:.64}`")))?;
    match key.kind {
        ValueKind::Duration(min, max) if d < min || d > max => {
            Err(out_of_range(humantime::format_duration(d)))
        }
        _ => Ok(d),
    }
}

/// Parses a size within the key's range; a plain number is a number of bytes.
pub(crate) fn parse_size(v: &DeValue<'_>, key: &Key) -> Result<Bytes, ValueError> {
    let b = match v {
        DeValue::String(s) => s.parse().map_err(|e: Error| bad_value(e))?,
        DeValue::Integer(_) => Bytes(parse_integer(v)?),
        _ => return Err(wrong_type(v)),
    };
    match key.kind {
        ValueKind::Size(min, max) if b < min || b > max => Err(out_of_range(b)),
        _ => Ok(b),
    }
}

/// Parses a whole number within the key's range.
pub(crate) fn parse_count(v: &DeValue<'_>, key: &Key) -> Result<u64, ValueError> {
    let n = parse_integer(v)?;
    match key.kind {
        ValueKind::Count(min, max) if n < min || n > max => Err(out_of_range(n)),
        _ => Ok(n),
    }
}

/// Parses a whole number within the key's range that fits into 32 bits.
pub(crate) fn parse_count32(v: &DeValue<'_>, key: &Key) -> Result<u32, ValueError> {
    let n = parse_count(v, key)?;
    u32::try_from(n).map_err(|_| out_of_range(n))
}

fn parse_integer(v: &DeValue<'_>) -> Result<u64, ValueError> {
    let i = v.as_integer().ok_or_else(|| wrong_type(v))?;
    let n = i64::from_str_radix(i.as_str(), i.radix())
        .map_err(|_| ValueError::new(FaultKind::OutOfRange, "is larger than any range"))?;
    u64::try_from(n).map_err(|_| out_of_range(n))
}

/// Parses a rate of events per second within the key's range.
pub(crate) fn parse_rate(v: &DeValue<'_>, key: &Key) -> Result<PerSecond, ValueError> {
    let n = parse_number(v)?;
    match key.kind {
        ValueKind::Rate(min, max) if !(min..=max).contains(&n) => Err(out_of_range(n)),
        _ => Ok(PerSecond(n)),
    }
}

/// Parses a fraction within the key's range.
pub(crate) fn parse_fraction(v: &DeValue<'_>, key: &Key) -> Result<Fraction, ValueError> {
    let n = parse_number(v)?;
    match key.kind {
        ValueKind::Fraction(min, max) if !(min..=max).contains(&n) => Err(out_of_range(n)),
        _ => Fraction::new(n).map_err(|_| out_of_range(n)),
    }
}

fn parse_number(v: &DeValue<'_>) -> Result<f64, ValueError> {
    match v {
        DeValue::Float(f) => f.as_str().parse().map_err(|_| wrong_type(v)),
        DeValue::Integer(_) => u32::try_from(parse_integer(v)?)
            .map(f64::from)
            .map_err(|_| ValueError::new(FaultKind::OutOfRange, "is larger than any range")),
        _ => Err(wrong_type(v)),
    }
}

/// Parses one of the key's words.
pub(crate) fn parse_choice<T: FromStr>(v: &DeValue<'_>, key: &Key) -> Result<T, ValueError> {
    let s = parse_text(v, key)?;
    s.parse().map_err(|_| {
        bad_value(format!("there is no `{s:.64}`"))
            .with_hint(format!("write one of {}", key.kind.range()))
    })
}
