//! A small stand-in of the users' platform: its store, backend servers and callers, with relaying VMs.
//!
//! Backend servers answer with records computed from the service and the request, so that every page
//! can be compared with a brute-force merge of the parts that it lists.

mod address;
mod backend;
mod caller;
mod config;
mod crash_runs;
mod http;
mod late_copies;
mod objects;
mod old_reads;
mod proxy;
mod records;
mod recovery;
mod restarting_server;
mod setup;
mod soak;
mod soak_checks;
mod soak_crashes;
mod soak_faults;
mod soak_late_copies;
mod soak_load;
mod soak_store_reads;
mod store;
mod store_restores;
mod traffic;
mod vm;

pub use backend::Backend;
pub use backend::BackendFaults;
pub use backend::Runs;
pub use backend::ServerRecords;
pub use caller::Answer;
pub use caller::CallOutcome;
pub use caller::SiteCaller;
pub use config::SiteConfig;
pub use config::SiteRoute;
pub use crash_runs::CrashRun;
pub use crash_runs::CrashRuns;
pub use objects::LostWrite;
pub use proxy::FaultProxy;
pub use proxy::LinkFault;
pub use records::part;
pub use restarting_server::RestartingServer;
pub use restarting_server::RestartingServerOptions;
pub use setup::DEFAULT_REPEAT_BUDGET;
pub use setup::Site;
pub use setup::SiteOptions;
pub use setup::free_ports;
pub use soak::SoakOptions;
pub use soak::SoakReport;
pub use soak::soak;
pub use store::Store;
pub use store::StoreCopy;
pub use store::StoreFault;
pub use store::StoreWriter;
pub use store::UNREADABLE;
pub use store::raw;
pub use traffic::BudgetExcess;
pub use traffic::RepeatBudget;
pub use traffic::Traffic;
pub use vm::RelayVm;
pub use vm::RelayVmPlan;
pub use vm::ShutdownTimes;
