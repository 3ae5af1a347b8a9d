//! A stand-in for the platform's object service of `docs/PROTOCOLS.md`.
//!
//! It stores versioned objects in memory, serves conditional updates and watches by long poll,
//! serves a VM list with a delay, counts calls by kind, and injects faults as set by [`Control`], in
//! process or by `POST /control`.
//!
//! ```
//! use gs_rig::platform::Control;
//! use gs_rig::platform::Platform;
//! use gs_rig::platform::PlatformOptions;
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> gs_types::prelude::Result<()> {
//! let platform = Platform::start(PlatformOptions::builder().build()).await?;
//! platform.put("config/current", "{}");
//! platform.control(Control { down: Some(true), ..Control::default() });
//! assert_eq!(platform.counts().writes, 0);
//! # Ok(())
//! # }
//! ```

mod control;
mod counts;
mod http;
mod objects;
mod server;
mod vms;

pub use control::AnswerLoss;
pub use control::Control;
pub use control::Limits;
pub use counts::Counts;
pub use server::Platform;
pub use server::PlatformOptions;
pub use vms::MeshAddresses;
pub use vms::Vm;
