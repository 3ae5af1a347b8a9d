//! Chooses the service of a request on a split route.

use gs_types::prelude::*;
use rand::Rng;
use rand::RngExt;

use crate::route::WeightedService;

/// Chooses a service in proportion to the weights; `None` if none has any weight.
pub(crate) fn choose_service<'a>(
    parts: &'a [WeightedService],
    rng: &mut impl Rng,
) -> Option<&'a ServiceName> {
    if let [only] = parts {
        return Some(&only.service);
    }
    let total: f64 = parts.iter().map(|w| w.weight).sum();
    let mut at = rng.random::<f64>() * total;
    for w in parts.iter().filter(|w| w.weight > 0.0) {
        at -= w.weight;
        if at < 0.0 {
            return Some(&w.service);
        }
    }
    parts.iter().rfind(|w| w.weight > 0.0).map(|w| &w.service)
}
