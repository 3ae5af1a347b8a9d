//! Claims: what makes an at-most-once lookup run at most once.
//!
//! [`Once`] is a plain state machine. It is asked for a claim before a lookup is handed to any
//! backend server, and answers each ask with one [`gs_query::ClaimDecision`]. A claim is an entry in
//! a platform object, made by conditional write; whose entry for a key stands first, has it for
//! ever. Nothing else decides: no lease, no clock and no word of another VM can grant one.

mod action;
mod asks;
mod claim;
mod claim_calls;
mod claim_log;
mod event;
mod floor;
mod message;
mod once;
mod part;
mod peers;
mod retention;
mod settings;

pub use action::Action;
pub use claim::Ask;
pub use claim::AskId;
pub use claim::ClaimChart;
pub use claim::ClaimEvent;
pub use claim::ClaimState;
pub use claim::KeyHash;
pub use event::Event;
pub use floor::FLOOR_PATH;
pub use message::Message;
pub use message::Settled;
pub use once::Counts;
pub use once::Once;
pub use part::Claim;
pub use part::Part;
pub use part::PartPath;
pub use part::Window;
pub use settings::OnceSettings;
