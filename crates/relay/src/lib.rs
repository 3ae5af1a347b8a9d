//! Relays opaque requests on routes to one server of a service, or to one server of each shard, for
//! `gentiansill relay`.
//!
//! [`Relay`] is a state machine without I/O: it processes [`Event`]s and returns [`Action`]s, and
//! the current time is passed in. Each policy has its own module:
//!
//! - `admission` decides which requests are refused on arrival,
//! - `delegation` which parts are delegated to other VMs, in the batches that `bundle` sends,
//! - `placement` chooses the server of an attempt, and `queue` orders the parts that wait for one,
//! - `hedge` learns the delay before a hedged attempt, and `budget` limits extra attempts,
//! - `held_retries` holds back the retries of a fan-out that may crash servers,
//! - `completion` decides when a request is answered or fails,
//! - `server_ends` finds out, by `gs_liveness`, which servers end and which `unanswered` attempts they had,
//! - `crash_evidence` notes which requests crash servers and shares it with the VMs that `collectors`
//!   chooses; `crash_ledger` decides what proves it, `quarantine` how long such a request is refused,
//!   and `verdicts` tells the other VMs.
//!
//! What this crate calls a request is a lookup in the names of the id types that it shares with
//! other crates: a `LookupSeq` numbers a request, and a `LookupName` names a route.

mod abandon;
mod action;
mod active_request;
mod admission;
mod arrival;
mod attempt;
mod attempt_end;
mod attempt_log;
mod attempt_origin;
mod budget;
mod bundle;
mod coalesce_delay;
mod collectors;
mod completion;
mod connection_shares;
mod counters;
mod crash_evidence;
mod crash_ledger;
mod crash_report;
mod delegation;
mod delegation_times;
mod dispatch;
mod entry;
mod event;
mod executed_log;
mod fan_out_vms;
mod finish;
mod hedge;
mod held_retries;
mod invariants;
mod leases;
mod merge;
mod options;
mod orphan;
mod outcome;
mod peer_vms;
mod placement;
mod possible_servers;
mod process_pause;
mod quarantine;
mod queue;
mod register_reachability;
mod registration;
mod relay;
mod reply;
mod request;
mod round_trips;
mod route;
mod seed_state;
mod server;
mod server_ends;
mod servers;
mod service_state;
mod shutdown;
mod slack_share;
mod split;
mod stall;
mod subset;
mod table;
mod timers;
mod unanswered;
mod verdicts;

pub use abandon::AbandonCounts;
pub use abandon::AbandonReason;
pub use action::Action;
pub use action::Delegation;
pub use action::Dispatch;
pub use attempt::AttemptKey;
pub use attempt::Cause;
pub use attempt_log::AttemptRecord;
pub use budget::BudgetUse;
pub use budget::ExtraAttemptBudget;
pub use coalesce_delay::CoalesceDelay;
pub use completion::CompletionDecision;
pub use completion::RequestProgress;
pub use completion::decide_completion;
pub use counters::Counters;
pub use crash_report::CrashReport;
pub use crash_report::ExecutedServices;
pub use crash_report::Observation;
pub use crash_report::ReportedCrash;
pub use crash_report::Verdict;
pub use entry::Availability;
pub use entry::ServerEntry;
pub use event::Arrival;
pub use event::DelegatedParts;
pub use event::Event;
pub use event::VerdictOrigin;
pub use invariants::Inconsistency;
pub use invariants::SeenServers;
pub use leases::LeaseCheck;
pub use leases::Leases;
pub use leases::ListedAnnouncement;
pub use leases::list_poll_interval;
pub use leases::renewal_interval;
pub use merge::RECORD_BYTES;
pub use merge::best_records;
pub use options::ANSWER_CPU_TIME;
pub use options::ANSWER_NETWORK_MARGIN;
pub use options::RelayOptions;
pub use options::is_removal_final;
pub use outcome::FailReason;
pub use outcome::MissingPart;
pub use outcome::Outcome;
pub use outcome::Page;
pub use outcome::RefuseReason;
pub use outcome::RequestReport;
pub use peer_vms::Capacity;
pub use peer_vms::PeerVm;
pub use possible_servers::PossibleServers;
pub use process_pause::pause_grace;
pub use relay::Relay;
pub use reply::AttemptEnd;
pub use reply::Load;
pub use reply::ServerAnswer;
pub use request::CallerRequest;
pub use request::OpaqueRequest;
pub use route::RepeatPolicy;
pub use route::Route;
pub use route::Scatter;
pub use route::Target;
pub use route::WeightedService;
pub use seed_state::SeedState;
pub use server::ServerDump;
pub use shutdown::SHUTDOWN_RETRY_AFTER;
pub use slack_share::SlackDump;
pub use table::CallerLimits;
pub use table::RouteTable;
pub use table::ServiceDecl;
