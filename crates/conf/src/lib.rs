//! The configuration of fronts and teams, and the patches that change it.
//!
//! [`ConfigManager`] is a plain state machine that runs on every VM: [`Event`]s in, [`Action`]s out,
//! `now` passed in, no I/O. It applies the newest configuration that the platform or a peer provides
//! and never returns to an older version, and it carries a [`Patch`] from proposal to
//! [`PatchOutcome`]. The commit point of a patch is one conditional write on the object
//! [`CURRENT_PATH`]. The design and its alternatives are described in `docs/DESIGN-patches.md`.

mod action;
mod advance;
mod apply;
mod background;
mod check;
mod decide;
mod distribute;
mod dump;
mod event;
mod fleet;
mod in_doubt;
mod inputs;
mod latest_record;
mod manager;
mod message;
mod options;
mod patch;
mod patch_eligibility;
mod patch_outcome;
mod prepare;
mod proposal;
mod record;
mod state;
mod team;
mod writes;

pub use action::Action;
pub use action::WriteId;
pub use apply::apply_patch;
pub use apply::diff_configs;
pub use check::ConfigProblem;
pub use check::ValidationReport;
pub use check::check_config;
pub use check::check_patch;
pub use dump::ConfigManagerDump;
pub use dump::ProposalDump;
pub use event::CallId;
pub use event::Event;
pub use event::ReadResult;
pub use event::WriteResult;
pub use fleet::VmConfigStatus;
pub use manager::ConfigManager;
pub use message::Ack;
pub use message::Message;
pub use message::RecordSummary;
pub use options::Bootstrap;
pub use options::ConfigManagerOptions;
pub use patch::Change;
pub use patch::Patch;
pub use patch::Touched;
pub use patch_outcome::PatchOutcome;
pub use patch_outcome::VmRejection;
pub use record::CURRENT_PATH;
pub use record::DecidedPatch;
pub use record::HISTORY_PREFIX;
pub use record::OBJECT_MAX_BYTES;
pub use record::PendingPatch;
pub use record::Record;
pub use record::history_path;
pub use state::PatchEvent;
pub use state::PatchState;
pub use state::patch_chart;
pub use team::authenticate;
pub use team::check_team_permissions;
pub use team::hash_team_key;
pub use team::redact_keys;
