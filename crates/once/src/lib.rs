//! Claims on idempotency keys, which ensure that an at-most-once lookup runs at most once.
//!
//! [`IdempotencyClaims`] is a state machine without I/O. A claim is requested from it before an
//! at-most-once lookup is dispatched to any backend server, and it returns one
//! [`gs_query::ClaimDecision`] for each request. A claim is an entry in a platform object, made by
//! a conditional write. The first entry for a key claims it permanently. Nothing else can grant a
//! claim: no lease, no clock and no message of another VM.

mod action;
mod claim;
mod claim_calls;
mod claim_log;
mod claim_requests;
mod event;
mod forwarding;
mod idempotency_claims;
mod message;
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
pub use idempotency_claims::ClaimCounts;
pub use idempotency_claims::IdempotencyClaims;
pub use message::ClaimResult;
pub use message::Message;
pub use segment::Claim;
pub use segment::Segment;
pub use segment::SegmentPath;
pub use segment::Window;
pub use settings::ClaimSettings;
pub use watermark::WATERMARK_PATH;
