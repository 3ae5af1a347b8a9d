//! A fraction from 0 to 1, such as the budget of extra attempts.

use std::fmt;
use std::str::FromStr;

use gs_types::prelude::*;
use serde::Serialize;

/// A fraction from 0 to 1, such as 0.03 for three extra attempts per hundred.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Fraction(f64);

impl Fraction {
    /// Creates a fraction from a number from 0 to 1.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if `n` is outside this range or NaN.
    pub fn new(n: f64) -> Result<Self> {
        if (0.0..=1.0).contains(&n) {
            return Ok(Self(n));
        }
        Err(Error::new(
            ErrorKind::BadInput,
            format!("{n} is not a fraction from 0 to 1"),
        ))
    }

    /// Returns the fraction as a number.
    #[must_use]
    pub fn value(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Fraction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Fraction {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let n = s.parse().map_err(|_| {
            Error::new(ErrorKind::BadInput, format!("`{s:.80}` is not a fraction"))
                .with_hint("write it as `0.03`")
        })?;
        Self::new(n)
    }
}
