//! Open-loop load: arrivals, callers, answer checks, tables and plots.

mod caller;
mod check;
mod mix;
mod open_loop;
mod plot;
mod table;
mod tally;

pub use caller::Caller;
pub use caller::CallerAnswer;
pub use caller::Reply;
pub use check::Checker;
pub use check::Fault;
pub use mix::LookupMix;
pub use mix::LookupRequest;
pub use open_loop::LoadSpec;
pub use open_loop::Resends;
pub use open_loop::Targets;
pub use open_loop::run;
pub use plot::Plot;
pub use plot::Series;
pub use table::table;
pub use tally::Row;
pub use tally::Tally;
