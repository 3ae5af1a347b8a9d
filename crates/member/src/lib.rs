//! Which VMs there are, who holds which duty, and how many connections each may hold.
//!
//! [`Membership`] is a plain state machine: [`Event`]s in, [`Action`]s out, `now` passed in. It
//! watches three things: the platform's lagging list of VMs, heartbeats from other VMs, and the
//! seat table, one platform object changed by conditional writes only.
//!
//! The first two make the [`View`], which decides nothing that must be safe: whom to send to, and
//! which VM takes a duty such as writing a bucket of claims. The seat table alone decides how many
//! connections each VM may hold to a backend server (see [`SeatTable`] for why the sum can never
//! pass the server's limit).

mod action;
mod event;
mod gossip;
mod heartbeat;
mod holding;
mod keeper;
mod member;
mod peer;
mod rumour;
mod seats;
mod settings;
mod share;
mod tell;
mod view;
mod vm;

pub use gs_types::vm::VmEntry;

pub use action::Action;
pub use event::Event;
pub use heartbeat::Heartbeat;
pub use heartbeat::Rumour;
pub use heartbeat::TableEpochs;
pub use member::Membership;
pub use seats::Epoch;
pub use seats::Seat;
pub use seats::SeatHolder;
pub use seats::SeatId;
pub use seats::SeatLayout;
pub use seats::SeatTable;
pub use settings::MemberSettings;
pub use share::ServerLimit;
pub use share::seat_share;
pub use view::View;
pub use view::ViewVm;
pub use vm::VmChart;
pub use vm::VmEvent;
pub use vm::VmState;
