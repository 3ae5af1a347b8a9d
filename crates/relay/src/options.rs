//! The relay's settings.

use std::collections::HashMap;
use std::time::Duration;

use gs_types::prelude::*;

/// The round trip between a VM and callers up to 3 ms away, plus the delays of timers and links.
pub const ANSWER_NETWORK_MARGIN: Duration = Duration::from_millis(10);

/// Time on a whole core for reading a request, and for assembling and sending its page; a VM with a
/// fraction of a core takes proportionally longer.
pub const ANSWER_CPU_TIME: Duration = Duration::from_micros(1200);

/// The relay's settings; the defaults are those of docs/DESIGN-platform.md.
#[derive(Clone, Debug, PartialEq, bon::Builder)]
pub struct RelayOptions {
    /// Name of this VM.
    pub vm: VmId,
    /// The region of this VM.
    pub region: Region,
    /// The region of each data centre.
    #[builder(default)]
    pub regions: HashMap<DataCentre, Region>,
    /// The data centre of this VM.
    pub data_centre: DataCentre,
    /// Number of VMs assumed to exist until the announced ones are known; each gets an equal share
    /// of the attempts that a server can execute in time.
    #[builder(default = 12)]
    pub vms_assumed: u32,
    /// The least time between two renewals of a VM's announcement; longer if there are many VMs.
    #[builder(default = Duration::from_secs(60))]
    pub renewal_interval: Duration,
    /// Extra attempts allowed for each request for a service.
    #[builder(default = 0.18)]
    pub extra_ratio: f64,
    /// The window in which extra attempts are counted.
    #[builder(default = Duration::from_secs(10))]
    pub extra_window: Duration,
    /// Extra attempts that all VMs together may make in a window in addition to the ratio.
    #[builder(default = 50.0)]
    pub extra_slack: f64,
    /// Requests in flight at which each arrival is refused; bounds memory.
    #[builder(default = 1024)]
    pub lookups_max: usize,
    /// How long before the end of its objective an answer is sent.
    #[builder(default = ANSWER_NETWORK_MARGIN + ANSWER_CPU_TIME)]
    pub answer_margin: Duration,
    /// The fraction of attempts that are answered before they would be hedged.
    #[builder(default = 0.9)]
    pub hedge_quantile: f64,
    /// How long a server that was removed from the register continues to serve.
    #[builder(default = Duration::from_secs(3))]
    pub drain: Duration,
}

/// Fraction of [`RelayOptions::drain`] for which a server with a missing entry is kept.
const REMOVAL_DELAY_FRACTION: f64 = 0.4;

/// The longest time for which it is kept while the register is reachable.
const REMOVAL_DELAY_MAX: Duration = Duration::from_millis(2200);

/// How long it is kept after an outage: entries that lapsed are registered again within two
/// seconds, and become visible here a little later.
const LAPSED_ENTRY_RETURN: Duration = Duration::from_millis(2200);

/// Returns whether a server whose entry the register removed has left, and its entry did not lapse.
///
/// `stable_for` is how long the register has been answering without an outage.
#[must_use]
pub fn is_removal_final(stable_for: Duration) -> bool {
    stable_for >= LAPSED_ENTRY_RETURN
}

impl RelayOptions {
    /// Returns how long a server with a missing entry is kept.
    ///
    /// After an outage of the platform the entries of live servers are missing for up to two
    /// seconds; if they were removed immediately, every shard would be without a server. A server
    /// that has really left continues to serve for longer than this.
    #[must_use]
    pub fn removal_delay(&self, may_have_lapsed: bool) -> Duration {
        if may_have_lapsed {
            return LAPSED_ENTRY_RETURN;
        }
        self.drain
            .mul_f64(REMOVAL_DELAY_FRACTION)
            .min(REMOVAL_DELAY_MAX)
    }
}
