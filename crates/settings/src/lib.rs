//! The settings of one process, read from a TOML file and checked completely at startup.
//!
//! [`load()`] returns [`Settings`], or a [`Faults`] report that gives the position, the reason and
//! a hint for every fault. Keys, units, ranges and defaults are defined in one table, [`KEYS`],
//! which the reader, the documentation and the fault reports share.
//!
//! ```no_run
//! let settings = gs_settings::load("vm.toml".as_ref())?;
//! println!("{} listens on {}", settings.vm.name, settings.listen.callers);
//! # Ok::<(), gs_settings::Faults>(())
//! ```

mod choices;
mod cross_checks;
mod faults;
mod fraction;
mod key_hash;
mod keys;
mod load;
mod reader;
mod secret;
mod sections;
mod settings;
mod values;

pub use choices::LogLevel;
pub use choices::Policy;
pub use faults::Fault;
pub use faults::FaultKind;
pub use faults::Faults;
pub use fraction::Fraction;
pub use key_hash::KeyHash;
pub use keys::KEYS;
pub use keys::Key;
pub use keys::Presence;
pub use keys::ValueKind;
pub use load::FILE_MAX_BYTES;
pub use load::load;
pub use load::parse;
pub use secret::Secret;
pub use settings::Bootstrap;
pub use settings::Callers;
pub use settings::Claims;
pub use settings::Listen;
pub use settings::Log;
pub use settings::Mesh;
pub use settings::Platform;
pub use settings::Record;
pub use settings::Runtime;
pub use settings::Servers;
pub use settings::Settings;
pub use settings::Shutdown;
pub use settings::Source;
pub use settings::Tuning;
pub use settings::Vm;
