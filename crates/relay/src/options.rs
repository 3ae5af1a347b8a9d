//! The relay's settings.

use std::collections::HashMap;
use std::time::Duration;

use gs_types::prelude::*;

/// The way of a request from its caller and of the answer back, where callers are up to 3 ms away, with the
/// delays of timers and links.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(10);

/// The time of a whole core in which a request is read and its page put together and sent; a VM with a
/// part of a core takes as many times longer.
pub const ANSWER_WORK: Duration = Duration::from_micros(1200);

/// The relay's settings; the defaults are docs/DESIGN-platform.md's.
#[derive(Clone, Debug, PartialEq, bon::Builder)]
pub struct RelayOptions {
    /// This VM.
    pub vm: VmId,
    /// The region of this VM.
    pub region: Region,
    /// The region of each data centre.
    #[builder(default)]
    pub regions: HashMap<DataCentre, Region>,
    /// The data centre of this VM.
    pub data_centre: DataCentre,
    /// VMs that may be there at the same time before they are listed; each takes its part of what all
    /// share.
    #[builder(default = 12)]
    pub peers: u32,
    /// Extra attempts allowed for each request for a service.
    #[builder(default = 0.18)]
    pub extra_ratio: f64,
    /// The window in which extra attempts are counted.
    #[builder(default = Duration::from_secs(10))]
    pub extra_window: Duration,
    /// Extra attempts that all VMs together may make besides in a window.
    #[builder(default = 50.0)]
    pub extra_slack: f64,
    /// Requests in flight above which each arrival is refused; bounds memory.
    #[builder(default = 1024)]
    pub lookups_max: usize,
    /// How long before the end of its objective an answer leaves.
    #[builder(default = ANSWER_MARGIN + ANSWER_WORK)]
    pub answer_margin: Duration,
    /// The share of attempts that answer before a hedge is due.
    #[builder(default = 0.9)]
    pub hedge_quantile: f64,
    /// How long a server that is gone from the register goes on serving.
    #[builder(default = Duration::from_secs(3))]
    pub drain: Duration,
}

/// The part of [`RelayOptions::drain`] for which an entry that is missing is waited for.
const ABSENCE_PART: f64 = 0.4;

/// The longest that it is waited for while the register is in reach.
const ABSENCE_MAX: Duration = Duration::from_millis(2200);

/// How long it is waited for after an outage: entries that lapsed are back within two seconds, and are
/// seen here a little later.
const ABSENCE_AFTER_OUTAGE: Duration = Duration::from_millis(2200);

impl RelayOptions {
    /// How long a server whose entry vanished is kept.
    ///
    /// Guards against a register that forgets: after an outage of the platform the entries of live
    /// servers are missing for up to two seconds, and dropped at once, every shard would be without a
    /// server. A server that has really left goes on serving for longer than this.
    #[must_use]
    pub fn absence(&self, may_have_lapsed: bool) -> Duration {
        if may_have_lapsed {
            return ABSENCE_AFTER_OUTAGE;
        }
        self.drain.mul_f64(ABSENCE_PART).min(ABSENCE_MAX)
    }
}
