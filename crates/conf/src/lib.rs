//! Declared fronts and the patches that change them.
//!
//! [`ConfigManager`] is a plain state machine that runs on every VM: [`Event`]s in, [`Action`]s out, `now`
//! passed in, no I/O. It follows the newest configuration that the platform or a peer can show,
//! only ever forward, and it carries a [`Patch`] from proposal to [`PatchOutcome`]. The commit point of
//! a patch is one conditional write on the object [`CURRENT_PATH`]. `docs/DESIGN-patches.md` says what was
//! weighed.

mod action;
mod apply;
mod book;
mod check;
mod chores;
mod decide;
mod doubt;
mod drive;
mod dump;
mod event;
mod follow;
mod held;
mod inputs;
mod judge;
mod message;
mod options;
mod patch;
mod prepare;
mod proposal;
mod record;
mod spread;
mod state;
mod team;
mod verdict;
mod writes;

pub use action::Action;
pub use action::WriteId;
pub use apply::apply;
pub use apply::diff;
pub use book::ConfigManager;
pub use check::Problem;
pub use check::Report;
pub use check::check_config;
pub use check::check_patch;
pub use dump::ConfigManagerDump;
pub use dump::ProposalDump;
pub use event::CallId;
pub use event::Event;
pub use event::ReadResult;
pub use event::WriteResult;
pub use follow::VmStatus;
pub use message::Ack;
pub use message::Message;
pub use message::RecordSummary;
pub use options::Bootstrap;
pub use options::ConfigManagerOptions;
pub use patch::AffectedTarget;
pub use patch::Change;
pub use patch::Patch;
pub use record::CURRENT_PATH;
pub use record::DecidedPatch;
pub use record::HISTORY_PREFIX;
pub use record::OBJECT_MAX_BYTES;
pub use record::Pending;
pub use record::Record;
pub use record::history_path;
pub use state::PatchEvent;
pub use state::PatchState;
pub use state::patch_chart;
pub use team::authenticate;
pub use team::check_scope;
pub use team::hash_key;
pub use team::redacted;
pub use verdict::Objection;
pub use verdict::PatchOutcome;
