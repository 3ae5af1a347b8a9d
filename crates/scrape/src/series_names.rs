//! The names of a process's two series.

/// The names under which a process's totals and states are scraped.
#[derive(Clone, Copy, Debug)]
pub struct SeriesNames {
    /// Of what it counts, by kind.
    pub totals: &'static str,
    /// Of what it holds now.
    pub states: &'static str,
}
