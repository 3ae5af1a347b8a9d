//! The names of the two metrics that export totals and states.

/// The names of the two metrics under which the totals and states of a process are exported.
#[derive(Clone, Copy, Debug)]
pub struct SeriesNames {
    /// The counter of totals, labelled by `kind`.
    pub totals: &'static str,
    /// The gauge of current states, labelled by `of`.
    pub states: &'static str,
}
