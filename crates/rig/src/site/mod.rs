//! A small site of the users' platform: its store, backend servers, callers, and VMs that relay.
//!
//! Backend servers answer with records that follow from the service and the request, so that every page
//! can be compared with a brute-force merge of the parts that it says it holds.

mod address;
mod backend;
mod caller;
mod config;
mod http;
mod objects;
mod proxy;
mod records;
mod recovery;
mod soak;
mod soak_load;
mod store;
mod vm;
mod whole;

pub use backend::Backend;
pub use backend::BackendFaults;
pub use backend::Runs;
pub use caller::Answer;
pub use caller::CallOutcome;
pub use caller::SiteCaller;
pub use config::SiteConfig;
pub use config::SiteRoute;
pub use proxy::FaultProxy;
pub use proxy::LinkFault;
pub use records::part;
pub use soak::SoakOptions;
pub use soak::SoakReport;
pub use soak::soak;
pub use store::Store;
pub use store::StoreFault;
pub use vm::RelayVm;
pub use vm::RelayVmPlan;
pub use whole::Site;
pub use whole::SiteOptions;
pub use whole::free_ports;
