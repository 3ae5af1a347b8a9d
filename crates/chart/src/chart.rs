//! A checked chart, stored as a table of transitions.

use std::str::FromStr;

use gs_types::error::Error;
use gs_types::error::ErrorKind;
use strum::IntoEnumIterator;

use crate::file::ChartFile;
use crate::file::StateTable;

/// An enum of the states or of the events of a chart, whose variants `strum` names in kebab-case.
pub trait Label: Copy + PartialEq + IntoEnumIterator + FromStr + Into<&'static str> {}

impl<T: Copy + PartialEq + IntoEnumIterator + FromStr + Into<&'static str>> Label for T {}

/// A checked state machine definition with states `S` and events `E`.
#[derive(Clone, Debug)]
pub struct Chart<S, E> {
    name: String,
    initial: S,
    rows: Vec<Row<S, E>>,
}

#[derive(Clone, Debug)]
struct Row<S, E> {
    state: S,
    is_final: bool,
    on: Vec<(E, S)>,
}

impl<S: Label, E: Label> Chart<S, E> {
    /// Parses and checks the text of a chart file.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if the text is not a chart, names a state or event that the enums
    /// lack, does not define each state exactly once, does not list each event exactly once in each
    /// state that is not final, lists one in a final state, or has an unreachable state.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let file = ChartFile::parse(text)?;
        let rows = file
            .state
            .iter()
            .map(|s| read_row(&file.name, s))
            .collect::<Result<Vec<_>, _>>()?;
        let chart = Self {
            initial: parse_label(&file.name, &file.initial)?,
            name: file.name,
            rows,
        };
        chart.check_states()?;
        chart.check_reachable()?;
        Ok(chart)
    }

    /// Returns the name of the chart.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the initial state.
    #[must_use]
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns the state that `event` leads to from `state`; `None` if it causes no transition
    /// there.
    #[must_use]
    pub fn next(&self, state: S, event: E) -> Option<S> {
        let row = self.rows.iter().find(|r| r.state == state)?;
        row.on.iter().find(|(e, _)| *e == event).map(|(_, s)| *s)
    }

    /// Returns whether `state` is final.
    #[must_use]
    pub fn is_final(&self, state: S) -> bool {
        self.rows.iter().any(|r| r.state == state && r.is_final)
    }

    fn check_states(&self) -> Result<(), Error> {
        for s in S::iter() {
            let n = self.rows.iter().filter(|r| r.state == s).count();
            if n != 1 {
                return Err(invalid_chart(format!(
                    "{}: state `{}` is defined {n} times, not once",
                    self.name,
                    name_of(s)
                )));
            }
        }
        Ok(())
    }

    fn check_reachable(&self) -> Result<(), Error> {
        let mut reached = vec![self.initial];
        let mut next = 0;
        while next < reached.len() {
            let from = reached[next];
            next += 1;
            for r in self.rows.iter().filter(|r| r.state == from) {
                for (_, to) in &r.on {
                    if !reached.contains(to) {
                        reached.push(*to);
                    }
                }
            }
        }
        match S::iter().find(|s| !reached.contains(s)) {
            None => Ok(()),
            Some(s) => Err(invalid_chart(format!(
                "{}: state `{}` is unreachable",
                self.name,
                name_of(s)
            ))),
        }
    }
}

fn read_row<S: Label, E: Label>(chart: &str, file: &StateTable) -> Result<Row<S, E>, Error> {
    let mut on = Vec::new();
    for (e, s) in &file.on {
        on.push((parse_label::<E>(chart, e)?, parse_label::<S>(chart, s)?));
    }
    let ignored = file
        .ignore
        .iter()
        .map(|e| parse_label::<E>(chart, e))
        .collect::<Result<Vec<_>, _>>()?;
    for e in E::iter() {
        let listed = on.iter().filter(|(x, _)| *x == e).count()
            + ignored.iter().filter(|x| **x == e).count();
        let expected = usize::from(!file.last);
        if listed != expected {
            return Err(invalid_chart(format!(
                "{chart}: state `{}` lists event `{}` {listed} times, not {expected}",
                file.name,
                name_of(e)
            )));
        }
    }
    Ok(Row {
        state: parse_label(chart, &file.name)?,
        is_final: file.last,
        on,
    })
}

fn name_of<T: Label>(t: T) -> &'static str {
    t.into()
}

fn parse_label<T: Label>(chart: &str, s: &str) -> Result<T, Error> {
    s.parse()
        .map_err(|_| invalid_chart(format!("{chart}: no state or event is named `{s}`")))
}

fn invalid_chart(text: String) -> Error {
    Error::new(ErrorKind::BadInput, text).at("read chart")
}
