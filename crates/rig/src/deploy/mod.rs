//! The example deployments: their groups, fronts, VMs, settings files and platform objects.

mod config;
mod shape;
mod snapshots;
mod vms;

pub use config::TEAM_KEY;
pub use config::config;
pub use shape::GroupShape;
pub use shape::LookupShape;
pub use shape::Shape;
pub use snapshots::Snapshots;
pub use vms::VmPlan;
pub use vms::free_port;
pub use vms::plan_vms;
