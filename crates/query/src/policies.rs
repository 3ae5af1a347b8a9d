//! Builds the policies that the options select.

use gs_limit::AdaptiveAdmission;
use gs_limit::AdmissionPolicy;
use gs_limit::FixedAdmission;
use gs_limit::HedgePolicy;
use gs_limit::NoHedge;
use gs_limit::QuantileHedge;
use gs_route::ObservedLatency;
use gs_route::ReplicaPolicy;
use gs_route::RoundRobin;

use crate::options::EngineOptions;
use crate::options::PolicyName;

/// Builds the replica selection policy.
pub(crate) fn build_replica_policy(options: &EngineOptions) -> Box<dyn ReplicaPolicy> {
    match options.policy {
        PolicyName::Baseline => Box::new(RoundRobin::default()),
        PolicyName::Chosen => Box::new(ObservedLatency),
    }
}

/// Builds the admission policy.
pub(crate) fn build_admission_policy(options: &EngineOptions) -> Box<dyn AdmissionPolicy> {
    let max = options.lookups_max as usize;
    match options.policy {
        PolicyName::Baseline => Box::new(FixedAdmission::new(max)),
        PolicyName::Chosen => Box::new(AdaptiveAdmission::new(max)),
    }
}

/// Builds the hedging policy.
pub(crate) fn build_hedge_policy(options: &EngineOptions) -> Box<dyn HedgePolicy> {
    match options.policy {
        PolicyName::Baseline => Box::new(NoHedge),
        PolicyName::Chosen => Box::new(QuantileHedge::new(options.hedge_quantile)),
    }
}
