//! How long a VM pauses between two looks at what has changed in the register.
//!
//! The load it answers: hundreds of servers that register, leave or are replaced in a series, each a change
//! that every VM of a fleet would fetch with a call of its own.

use std::time::Duration;

/// The shortest pause after a look that brought something.
const SHORTEST_PAUSE: Duration = Duration::from_millis(200);

/// The part of the time that a leaving server goes on serving which a pause may take: together with the time
/// for which a vanished server is kept it stays within that.
const LONGEST_PART: f64 = 0.4;

/// The part of the longest pause with which pauses begin. Changes come in series, as servers are replaced in
/// turn or an index is cut anew; begun with a short pause, each series costs every VM a call more for each
/// doubling.
const BEGIN_PART: f64 = 0.5;

/// The longest pause while a fleet starts for the first time: all servers register at once, and there are no
/// callers yet. Pauses then begin with the shortest, as VMs that learn of all servers in the same moment
/// connect to them in the same moment.
const LONGEST_AT_START: Duration = Duration::from_millis(2500);

/// How long a start takes.
const START_TIME: Duration = Duration::from_secs(8);

/// A look that waited so long before it brought something ends a series of changes.
const QUIET_AFTER: Duration = Duration::from_secs(2);

/// The pauses between looks that bring something: they double while a series of changes goes on.
#[derive(Clone, Copy, Debug)]
pub struct CoalesceDelay {
    longest: Duration,
    longest_at_start: Duration,
    delay: Duration,
}

impl CoalesceDelay {
    /// The pauses of a process, by how long a leaving server goes on serving.
    #[must_use]
    pub fn new(drain: Duration, first_start: bool) -> Self {
        let longest = drain.mul_f64(LONGEST_PART).max(SHORTEST_PAUSE);
        Self {
            longest,
            longest_at_start: if first_start {
                LONGEST_AT_START
            } else {
                longest
            },
            delay: Duration::ZERO,
        }
    }

    /// The pause before the next look.
    #[must_use]
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// Everything was listed, or a look brought nothing or a part of what there is: the next one follows at
    /// once.
    ///
    /// Kept over an outage, a pause of before it would delay the first look after it, and a server that left
    /// meanwhile would get work for that much longer.
    pub fn reset(&mut self) {
        self.delay = Duration::ZERO;
    }

    /// A look that waited so long brought something.
    pub fn on_changes(&mut self, waited: Duration, since_start: Duration) {
        let (begin, longest) = if since_start < START_TIME {
            (SHORTEST_PAUSE, self.longest_at_start)
        } else {
            (self.longest.mul_f64(BEGIN_PART), self.longest)
        };
        self.delay = if waited >= QUIET_AFTER {
            begin
        } else {
            (self.delay * 2).clamp(begin, longest)
        };
    }
}
