//! How much this VM takes on: admission, and budgets for extra attempts.

mod dump;

pub use dump::AdmissionDump;
