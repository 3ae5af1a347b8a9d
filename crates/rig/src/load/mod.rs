//! Open-loop load: arrivals, callers, checks of every answer, tables and plots.

mod ask;
mod caller;
mod check;
mod plot;
mod run;
mod table;
mod tally;

pub use ask::LookupMix;
pub use ask::LookupRequest;
pub use caller::Caller;
pub use caller::CallerAnswer;
pub use caller::Reply;
pub use check::Checker;
pub use check::Fault;
pub use plot::Plot;
pub use plot::Series;
pub use run::LoadSpec;
pub use run::Resends;
pub use run::Targets;
pub use run::run;
pub use table::table;
pub use tally::Row;
pub use tally::Tally;
