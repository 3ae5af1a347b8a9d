//! Who asks the register, and who hears of it from whom.
//!
//! A few VMs of each data centre ask the platform's register, the askers; the others follow one of them.
//! Nothing is agreed on: every VM works the same candidates out from the list of VMs, and where two lists
//! differ, a VM that does not ask says so and the follower turns to the next.
//!
//! [`candidates()`] ranks the VMs, [`Sources`] is the state machine that chooses whom to follow, [`Rounds`] says when
//! to look, and [`Mirror`] is what a VM knows of a kind of objects and tells others of.
//!
//! ```
//! use gs_follow::Mirror;
//!
//! let mut mirror = Mirror::default();
//! mirror.list(5, vec![("a".into(), 1)]);
//! mirror.change(7, vec![("a".into(), None), ("b".into(), Some(2))]);
//! let since = mirror.since(5).expect("not forgotten");
//! assert_eq!(since, [("a".to_owned(), None), ("b".to_owned(), Some(2))]);
//! ```

mod candidates;
mod mirror;
mod rounds;
mod sources;

pub use candidates::ASKERS;
pub use candidates::candidates;
pub use mirror::Mirror;
pub use rounds::Rounds;
pub use sources::Source;
pub use sources::Sources;
