//! The settings of one process: a TOML file, read and checked whole at start.
//!
//! [`load`] gives [`Settings`] or a [`Faults`] report that points at every place at fault, says why
//! it is one and how to mend it. Keys, units, ranges and defaults stand in one table, [`KEYS`], that
//! the reader, the docs and the fault reports share.
//!
//! ```no_run
//! let settings = gs_settings::load("vm.toml".as_ref())?;
//! println!("{} listens on {}", settings.vm.name, settings.listen.callers);
//! # Ok::<(), gs_settings::Faults>(())
//! ```

mod fraction;
mod secret;
mod settings;

pub use fraction::Fraction;
pub use secret::Secret;
pub use settings::Callers;
pub use settings::Claims;
pub use settings::Listen;
pub use settings::Log;
pub use settings::LogLevel;
pub use settings::Mesh;
pub use settings::Platform;
pub use settings::Policy;
pub use settings::Record;
pub use settings::Runtime;
pub use settings::Servers;
pub use settings::Settings;
pub use settings::Shutdown;
pub use settings::Source;
pub use settings::Tuning;
pub use settings::Vm;
