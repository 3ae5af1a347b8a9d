//! Group membership of the VMs, assignment of duties to VMs, and each VM's share of the
//! connections to the backend servers.
//!
//! [`Membership`] is a state machine without I/O: it processes [`Event`]s and returns [`Action`]s,
//! and the current time is passed in. Its inputs are the platform's list of VMs, which may lag, the
//! heartbeats of other VMs, and the seat table, a platform object that is changed by conditional
//! writes only.
//!
//! The list and the heartbeats make the [`MembershipView`]. No decision that must be safe depends
//! on it: it selects which VMs to send to, and which VM has a duty such as writing a bucket of
//! claims. The seat table alone decides how many connections each VM may hold to a backend server
//! (see [`SeatTable`] for why the sum can never exceed the server's limit).

mod action;
mod dissemination;
mod event;
mod heartbeat;
mod membership;
mod membership_view;
mod peer;
mod peer_table;
mod rumour_queue;
mod seat_share;
mod seat_state;
mod seat_table;
mod settings;
mod table_keeper;
mod vm_state;

pub use gs_types::vm::VmEntry;

pub use action::Action;
pub use event::Event;
pub use heartbeat::Heartbeat;
pub use heartbeat::Rumour;
pub use heartbeat::TableEpochs;
pub use membership::Membership;
pub use membership_view::MembershipView;
pub use membership_view::VmView;
pub use seat_share::ServerLimit;
pub use seat_share::connections_for_seat;
pub use seat_table::Epoch;
pub use seat_table::Seat;
pub use seat_table::SeatHolder;
pub use seat_table::SeatId;
pub use seat_table::SeatLayout;
pub use seat_table::SeatTable;
pub use settings::MemberSettings;
pub use vm_state::VmChart;
pub use vm_state::VmEvent;
pub use vm_state::VmState;
