//! A checked chart as a table.

use std::str::FromStr;

use gs_types::error::Error;
use gs_types::error::ErrorKind;
use strum::IntoEnumIterator;

use crate::file::ChartFile;
use crate::file::StateFile;

/// A state or an event of a chart: an enum whose variants are named in kebab-case by `strum`.
pub trait Label: Copy + PartialEq + IntoEnumIterator + FromStr + Into<&'static str> {}

impl<T: Copy + PartialEq + IntoEnumIterator + FromStr + Into<&'static str>> Label for T {}

/// A chart with states `S` and events `E`.
#[derive(Clone, Debug)]
pub struct Chart<S, E> {
    name: String,
    initial: S,
    rows: Vec<Row<S, E>>,
}

#[derive(Clone, Debug)]
struct Row<S, E> {
    state: S,
    last: bool,
    on: Vec<(E, S)>,
}

impl<S: Label, E: Label> Chart<S, E> {
    /// Reads and checks a chart.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if the text is no chart, names a state or event that the enums lack,
    /// leaves a variant out, leaves an event unanswered, or has a state that cannot be reached.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let file = ChartFile::parse(text)?;
        let rows = file
            .state
            .iter()
            .map(|s| read_row(&file.name, s))
            .collect::<Result<Vec<_>, _>>()?;
        let chart = Self {
            initial: label(&file.name, &file.initial)?,
            name: file.name,
            rows,
        };
        chart.check_states()?;
        chart.check_reachable()?;
        Ok(chart)
    }

    /// The chart's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The state to start in.
    #[must_use]
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Where `event` leads from `state`; `None` if it changes nothing there.
    #[must_use]
    pub fn next(&self, state: S, event: E) -> Option<S> {
        let row = self.rows.iter().find(|r| r.state == state)?;
        row.on.iter().find(|(e, _)| *e == event).map(|(_, s)| *s)
    }

    /// Whether `state` is final.
    #[must_use]
    pub fn is_final(&self, state: S) -> bool {
        self.rows.iter().any(|r| r.state == state && r.last)
    }

    fn check_states(&self) -> Result<(), Error> {
        for s in S::iter() {
            let n = self.rows.iter().filter(|r| r.state == s).count();
            if n != 1 {
                return Err(bad(format!(
                    "{}: state `{}` stands {n} times",
                    self.name,
                    name_of(s)
                )));
            }
        }
        Ok(())
    }

    fn check_reachable(&self) -> Result<(), Error> {
        let mut seen = vec![self.initial];
        let mut at = 0;
        while at < seen.len() {
            let from = seen[at];
            at += 1;
            for r in self.rows.iter().filter(|r| r.state == from) {
                for (_, to) in &r.on {
                    if !seen.contains(to) {
                        seen.push(*to);
                    }
                }
            }
        }
        match S::iter().find(|s| !seen.contains(s)) {
            None => Ok(()),
            Some(s) => Err(bad(format!(
                "{}: state `{}` cannot be reached",
                self.name,
                name_of(s)
            ))),
        }
    }
}

fn read_row<S: Label, E: Label>(chart: &str, file: &StateFile) -> Result<Row<S, E>, Error> {
    let mut on = Vec::new();
    for (e, s) in &file.on {
        on.push((label::<E>(chart, e)?, label::<S>(chart, s)?));
    }
    let ignored = file
        .ignore
        .iter()
        .map(|e| label::<E>(chart, e))
        .collect::<Result<Vec<_>, _>>()?;
    for e in E::iter() {
        let answers = on.iter().filter(|(x, _)| *x == e).count()
            + ignored.iter().filter(|x| **x == e).count();
        let wanted = usize::from(!file.last);
        if answers != wanted {
            return Err(bad(format!(
                "{chart}: state `{}` answers event `{}` {answers} times, not {wanted}",
                file.name,
                name_of(e)
            )));
        }
    }
    Ok(Row {
        state: label(chart, &file.name)?,
        last: file.last,
        on,
    })
}

fn name_of<T: Label>(t: T) -> &'static str {
    t.into()
}

fn label<T: Label>(chart: &str, s: &str) -> Result<T, Error> {
    s.parse()
        .map_err(|_| bad(format!("{chart}: no state or event is called `{s}`")))
}

fn bad(text: String) -> Error {
    Error::new(ErrorKind::BadInput, text).at("read chart")
}
