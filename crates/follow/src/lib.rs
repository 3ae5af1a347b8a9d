//! Chooses which VMs query the register directly and which peer the others follow.
//!
//! A few VMs of each data centre query the platform's register directly; each of the others follows one of them.
//! This needs no agreement between VMs: every VM computes the same candidates from the list of VMs. Where two lists
//! differ, a VM that does not query the register reports so, and its follower tries the next candidate.
//!
//! [`candidates()`] ranks the VMs, [`SourceSelector`] is the state machine that chooses whom to follow,
//! [`PollSchedule`] schedules the polls of the list of VMs, [`WatchRenewal`] limits how long an unanswered watch is
//! trusted, [`OutageTracker`] tells an outage of the register from a partition, [`CarriedVms`] completes lists of a
//! restored store, and [`Mirror`] holds the known objects of one kind and their changes, for followers.
//!
//! ```
//! use gs_follow::Mirror;
//!
//! let mut mirror = Mirror::default();
//! mirror.apply_list(5, vec![("a".into(), 1)]);
//! mirror.apply_changes(7, vec![("a".into(), None), ("b".into(), Some(2))]);
//! let since = mirror.changes_since(5).expect("not forgotten");
//! assert_eq!(since, [("a".to_owned(), None), ("b".to_owned(), Some(2))]);
//! ```

mod candidates;
mod carried_vms;
mod mirror;
mod outage_tracker;
mod overdue;
mod poll_schedule;
mod source_selector;
mod watch_renewal;

pub use candidates::DIRECT_VMS;
pub use candidates::candidates;
pub use carried_vms::CarriedVms;
pub use carried_vms::reannouncement_delay;
pub use mirror::Mirror;
pub use outage_tracker::OutageTracker;
pub use overdue::OVERDUE_THRESHOLD;
pub use overdue::PEER_ANSWER_TIMEOUT;
pub use overdue::PEER_PROBE_TIMEOUT;
pub use overdue::READ_REPEAT_DELAY;
pub use overdue::is_overdue;
pub use overdue::peer_watch_wait;
pub use poll_schedule::PollSchedule;
pub use source_selector::RegisterSource;
pub use source_selector::SourceSelector;
pub use watch_renewal::WatchRenewal;
