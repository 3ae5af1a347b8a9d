//! Relayed lookups: opaque requests on routes, sent to one server or to one server of each shard.
//!
//! [`Relay`] is a plain state machine: [`Event`]s in, [`Action`]s out, `now` passed in, no I/O. What
//! it decides stands in one file each: where an attempt goes (`placement`), when it is made a second
//! time (`hedge`), how many extra attempts there are (`budget`), when a page is good enough
//! (`verdict`) and what is refused at arrival (`admission`).

mod action;
mod admission;
mod arrive;
mod attempt;
mod attempt_end;
mod budget;
mod bundle;
mod counters;
mod dispatch;
mod end;
mod entry;
mod event;
mod handover;
mod hedge;
mod listing;
mod merge;
mod options;
mod outcome;
mod placement;
mod queue;
mod reach;
mod relay;
mod reply;
mod request;
mod roster;
mod route;
mod run;
mod server;
mod servers;
mod service;
mod sharing;
mod split;
mod stall;
mod suspects;
mod table;
mod timers;
mod trail;
mod verdict;
mod ways;

pub use action::Action;
pub use action::Dispatch;
pub use action::HandOver;
pub use attempt::Cause;
pub use attempt::RunId;
pub use budget::ExtraWindow;
pub use counters::Counters;
pub use entry::Availability;
pub use entry::ServerEntry;
pub use event::Arrival;
pub use event::Event;
pub use event::Handed;
pub use merge::RECORD_BYTES;
pub use merge::best_records;
pub use options::RelayOptions;
pub use outcome::Ending;
pub use outcome::FailReason;
pub use outcome::Outcome;
pub use outcome::Page;
pub use outcome::RefuseReason;
pub use relay::Relay;
pub use reply::AttemptEnd;
pub use reply::Load;
pub use reply::ServerAnswer;
pub use request::CallerRequest;
pub use request::OpaqueRequest;
pub use roster::Capacity;
pub use roster::PeerVm;
pub use route::Repeat;
pub use route::Route;
pub use route::Scatter;
pub use route::Target;
pub use route::Weighted;
pub use server::ServerDump;
pub use table::CallerLimits;
pub use table::RouteTable;
pub use table::ServiceDecl;
pub use trail::Step;
pub use verdict::Progress;
pub use verdict::Verdict;
pub use verdict::verdict;
