//! The outcome of a patch.

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// The outcome of a patch, as returned to its operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "kebab-case")]
pub enum PatchOutcome {
    /// It is committed, and no VM serves by the previous version.
    Accepted {
        /// The version that it created.
        version: ConfVersion,
        /// VMs that reported this version or a later one as in force.
        in_force: Vec<VmId>,
        /// VMs that acknowledged it and then became unresponsive. They refuse the lookups that it
        /// changes until they learn of its commit.
        awaiting: Vec<VmId>,
        /// Valid declarations that look wrong.
        warnings: Vec<String>,
    },
    /// This VM would accept it; the outcome of a dry run.
    Checked {
        /// The version that it would create.
        version: ConfVersion,
        /// Valid declarations that look wrong.
        warnings: Vec<String>,
    },
    /// It is in force nowhere and never will be; final for its id.
    Refused {
        /// The reason.
        error: Error,
        /// The VMs that rejected it or did not acknowledge it.
        against: Vec<VmRejection>,
    },
    /// It is not decided yet, or the decision is not known here. A resend with the same id is safe and
    /// returns the outcome.
    Undecided {
        /// The reason.
        error: Error,
    },
}

/// A VM that rejected a patch or did not acknowledge it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRejection {
    /// The VM.
    pub vm: VmId,
    /// Its reason, or that it did not acknowledge the patch in time.
    pub reason: String,
}
