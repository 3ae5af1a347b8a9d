//! The word on a patch.

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// The word on a patch, for its operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "kebab-case")]
pub enum PatchOutcome {
    /// It is committed, and no VM serves by the version before it.
    Accepted {
        /// The version that it made.
        version: ConfVersion,
        /// VMs that say that this version or a later one is in force there.
        in_force: Vec<VmId>,
        /// VMs that acknowledged it and then fell silent. They refuse the lookups it changes until
        /// they learn of it.
        awaiting: Vec<VmId>,
        /// What is allowed but looks wrong.
        warnings: Vec<String>,
    },
    /// It would be taken by this VM: the answer to a dry run.
    Checked {
        /// The version that it would make.
        version: ConfVersion,
        /// What is allowed but looks wrong.
        warnings: Vec<String>,
    },
    /// It is in force nowhere and never will be; final for its id.
    Refused {
        /// Why.
        error: Error,
        /// Who stood against it.
        against: Vec<Objection>,
    },
    /// Not decided yet, or not known here. A resend with the same id is safe and gives the verdict.
    Undecided {
        /// Why.
        error: Error,
    },
}

/// A VM that stood against a patch, or the patch that was first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objection {
    /// The VM.
    pub vm: VmId,
    /// What it said, or that it said nothing.
    pub reason: String,
}
