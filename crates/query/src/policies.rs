//! Builds the policies that the options name.

use gs_limit::AdaptiveAdmission;
use gs_limit::AdmissionPolicy;
use gs_limit::FixedAdmission;
use gs_limit::HedgePolicy;
use gs_limit::LearnedDelay;
use gs_limit::NoHedge;
use gs_route::ObservedLatency;
use gs_route::ReplicaPolicy;
use gs_route::RoundRobin;

use crate::options::EngineOptions;
use crate::options::PolicyName;

/// How replicas are picked.
pub(crate) fn replica(options: &EngineOptions) -> Box<dyn ReplicaPolicy> {
    match options.policy {
        PolicyName::Baseline => Box::new(RoundRobin::default()),
        PolicyName::Chosen => Box::new(ObservedLatency),
    }
}

/// What is taken on.
pub(crate) fn admission(options: &EngineOptions) -> Box<dyn AdmissionPolicy> {
    let max = options.lookups_max as usize;
    match options.policy {
        PolicyName::Baseline => Box::new(FixedAdmission::new(max)),
        PolicyName::Chosen => Box::new(AdaptiveAdmission::new(max)),
    }
}

/// When a slow part is asked for again.
pub(crate) fn hedge(options: &EngineOptions) -> Box<dyn HedgePolicy> {
    match options.policy {
        PolicyName::Baseline => Box::new(NoHedge),
        PolicyName::Chosen => Box::new(LearnedDelay::new(options.hedge_quantile)),
    }
}
