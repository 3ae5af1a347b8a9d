//! Claims: what makes an at-most-once lookup run at most once.
//!
//! [`Once`] is a plain state machine. It is asked for a claim before a lookup is handed to any
//! backend server, and answers each ask with one [`gs_query::ClaimVerdict`]. A claim is an entry in
//! a platform object, made by conditional write; whose entry for a key stands first, has it for
//! ever. Nothing else decides: no lease, no clock and no word of another VM can grant one.

mod action;
mod claim;
mod claim_calls;
mod claim_log;
mod claim_requests;
mod event;
mod message;
mod once;
mod peers;
mod retention;
mod segment;
mod settings;
mod watermark;

pub use action::Action;
pub use claim::ClaimChart;
pub use claim::ClaimEvent;
pub use claim::ClaimRequest;
pub use claim::ClaimRequestId;
pub use claim::ClaimState;
pub use claim::KeyHash;
pub use event::Event;
pub use message::ClaimResult;
pub use message::Message;
pub use once::Counts;
pub use once::Once;
pub use segment::Claim;
pub use segment::Segment;
pub use segment::SegmentPath;
pub use segment::Window;
pub use settings::OnceSettings;
pub use watermark::WATERMARK_PATH;
