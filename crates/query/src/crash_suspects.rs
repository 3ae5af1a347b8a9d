//! Tracks which lookups crash backend servers.
//!
//! A poisoned lookup crashes each server that executes it, so a lookup is proven harmless once a
//! server executes it without crashing. Until then, the end of a server that had it makes it a
//! suspect: a single server may try it, and a second crash quarantines it. A connection that breaks
//! is presumed to be the end of its server, until the server shows that it runs.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::dump::SuspectDump;

/// The number of servers that a fingerprint crashes before it is refused.
const CRASHES_MAX: u32 = 2;

/// The number of servers, some in this and some in another data centre, that break under a proven
/// lookup before it is quarantined in spite of its proof.
const PROVEN_LOOKUP_CRASHES_MAX: u32 = 4;

/// The quarantine of a lookup that broke servers in several data centres but had no canary. It
/// lasts until the servers should be back, so that its canary does not crash a shard's last replica.
const NO_CANARY_QUARANTINE: Duration = Duration::from_secs(5);

/// The factor by which each further quarantine of a lookup is longer.
const QUARANTINE_FACTOR: u32 = 4;

/// The longest quarantine, unless the first one is longer.
const QUARANTINE_MAX: Duration = Duration::from_secs(3600);

/// The shortest time for which a lookup stays a suspect after a full quarantine.
const PROBATION_MIN: Duration = Duration::from_secs(600);

/// The maximum number of suspects stored; the one that expires first is evicted.
const SUSPECTS_MAX: usize = 1024;

/// The maximum number of fingerprints stored as proven.
const PROVEN_FINGERPRINTS_MAX: usize = 4096;

/// How long a proof is valid; the index and the servers' program may change.
const PROOF_LIFETIME: Duration = Duration::from_secs(60);

/// How long a suspect is refused while its canary, from this VM or a peer, is in flight.
const CANARY_WAIT: Duration = Duration::from_secs(1);

/// How to treat an arriving lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SuspectStatus {
    /// There is no evidence against it.
    Clear,
    /// It must be sent to a single server first.
    Canary,
    /// It is refused for this duration.
    Refused(Duration),
}

/// The conclusion drawn from a broken connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashFinding {
    /// The lookup was executed before without crashing a server; the server is the more likely
    /// cause.
    Harmless,
    /// The lookup is suspected.
    Suspected,
    /// The lookup is quarantined for this duration.
    Quarantined(Duration),
    /// The crash was counted before.
    Known,
}

/// The end of a server that had a lookup.
#[derive(Clone, Debug)]
pub(crate) struct Crash {
    pub(crate) server: ServerName,
    pub(crate) incarnation: Option<Incarnation>,
    /// Whether it is in this VM's data centre.
    pub(crate) is_local: bool,
    /// Whether no other server had the lookup at that time.
    pub(crate) is_alone: bool,
    /// Whether only a connection broke, and it is not known whether the server ended.
    pub(crate) is_presumed: bool,
    /// When the attempt was dispatched.
    pub(crate) began_at: Instant,
    /// When the server ended, as far as is known.
    pub(crate) ended_at: Instant,
}

/// What was decided about a suspect before a crash.
#[derive(Clone, Copy, Debug)]
struct EarlierVerdict {
    refused_until: Option<Instant>,
    last_quarantine: Option<Duration>,
    expires_at: Instant,
}

/// A crash that counts against a suspect.
#[derive(Debug)]
struct CountedCrash {
    crash: Crash,
    /// What was decided before, if this crash led to a quarantine.
    earlier_verdict: Option<EarlierVerdict>,
}

impl CountedCrash {
    fn is_of(&self, server: &ServerName, incarnation: Option<Incarnation>) -> bool {
        self.crash.server == *server && self.crash.incarnation == incarnation
    }
}

#[derive(Debug)]
struct Suspect {
    /// One entry for each incarnation of a server.
    crashes: SmallVec<[CountedCrash; 2]>,
    reported_crashes: u32,
    /// Whether peers were told of it.
    is_announced: bool,
    /// The time until which it is refused.
    refused_until: Option<Instant>,
    /// Its last full quarantine; the next one is longer.
    last_quarantine: Option<Duration>,
    /// This VM's lookup that is its canary.
    canary: Option<LookupSeq>,
    expires_at: Instant,
}

impl Suspect {
    fn crashes(&self) -> u32 {
        // There is at most one entry per incarnation of a server.
        self.reported_crashes.max(self.crashes.len() as u32)
    }

    /// Whether servers crashed both in this VM's data centre and in another.
    fn is_in_several_data_centres(&self) -> bool {
        let mut is_local = self.crashes.iter().map(|c| c.crash.is_local);
        is_local.clone().any(|local| local) && is_local.any(|local| !local)
    }

    /// Counts a crash; returns whether no other server had the lookup then, or `None` if that was counted before.
    fn count(&mut self, mut crash: Crash) -> Option<bool> {
        let is_same = |c: &CountedCrash| c.is_of(&crash.server, crash.incarnation);
        if !crash.is_presumed {
            let is_before = |c: &CountedCrash| is_same(c) || c.crash.ended_at <= crash.began_at;
            crash.is_alone &= self.crashes.iter().all(is_before);
        }
        let Some(at) = self.crashes.iter().position(is_same) else {
            let is_alone = crash.is_alone;
            self.crashes.push(CountedCrash {
                crash,
                earlier_verdict: None,
            });
            return Some(is_alone);
        };
        let known = &mut self.crashes[at].crash;
        let is_new = crash.is_presumed || crash.began_at > known.ended_at;
        let is_known_alone = known.is_alone;
        known.is_presumed &= crash.is_presumed;
        known.is_alone |= crash.is_alone;
        if is_new {
            known.ended_at = crash.ended_at;
        }
        (is_new || (crash.is_alone && !is_known_alone)).then_some(crash.is_alone)
    }

    /// Takes back a presumed crash; returns whether it was counted.
    fn retract(&mut self, server: &ServerName, incarnation: Option<Incarnation>) -> bool {
        let is_it = |c: &CountedCrash| c.crash.is_presumed && c.is_of(server, incarnation);
        let Some(at) = self.crashes.iter().position(is_it) else {
            return false;
        };
        let is_proof_left = self.crashes.len() > CRASHES_MAX as usize;
        let earlier = if is_proof_left {
            self.crashes[at].earlier_verdict
        } else {
            self.crashes.iter().find_map(|c| c.earlier_verdict)
        };
        self.crashes.remove(at);
        if let Some(earlier) = earlier.filter(|_| self.reported_crashes < CRASHES_MAX) {
            self.refused_until = earlier.refused_until;
            self.last_quarantine = earlier.last_quarantine;
            self.expires_at = earlier.expires_at;
        }
        if !is_proof_left {
            self.crashes
                .iter_mut()
                .for_each(|c| c.earlier_verdict = None);
        }
        true
    }

    /// Returns how long it is quarantined next, if the first quarantine takes `first`.
    fn next_quarantine(&self, first: Duration) -> Duration {
        let longer = |last: Duration| last.saturating_mul(QUARANTINE_FACTOR);
        let max = QUARANTINE_MAX.max(first);
        self.last_quarantine.map_or(first, longer).min(max)
    }

    fn quarantined_for(&self, now: Instant) -> Duration {
        self.refused_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}

/// Suspects, quarantines and proofs.
#[derive(Debug)]
pub(crate) struct CrashSuspects {
    quarantine: Duration,
    window: Duration,
    suspects: BTreeMap<Fingerprint, Suspect>,
    proven: BTreeMap<Fingerprint, Instant>,
    proven_order: VecDeque<Fingerprint>,
    suspicion_until: Option<Instant>,
}

impl CrashSuspects {
    pub(crate) fn new(quarantine: Duration, window: Duration) -> Self {
        Self {
            quarantine,
            window,
            suspects: BTreeMap::new(),
            proven: BTreeMap::new(),
            proven_order: VecDeque::new(),
            suspicion_until: None,
        }
    }

    /// Makes every lookup that is not proven start with a canary for the given duration.
    pub(crate) fn raise_suspicion(&mut self, now: Instant, duration: Duration) {
        self.suspicion_until = self.suspicion_until.max(Some(now + duration));
    }

    /// Returns how to treat an arriving lookup.
    pub(crate) fn suspect_status(&self, now: Instant, fp: Fingerprint) -> SuspectStatus {
        let Some(s) = self.suspects.get(&fp).filter(|s| s.expires_at > now) else {
            let is_suspicion_raised = self.suspicion_until.is_some_and(|until| until > now);
            return if is_suspicion_raised && !self.is_proven(now, fp) {
                SuspectStatus::Canary
            } else {
                SuspectStatus::Clear
            };
        };
        match s.quarantined_for(now) {
            Duration::ZERO if s.canary.is_some() => SuspectStatus::Refused(CANARY_WAIT),
            Duration::ZERO => SuspectStatus::Canary,
            left => SuspectStatus::Refused(left),
        }
    }

    /// Records that a server executed it without crashing; returns `true` if that clears a
    /// suspicion.
    pub(crate) fn note_survived(&mut self, now: Instant, fp: Fingerprint) -> bool {
        if self.proven.insert(fp, now).is_none() {
            self.proven_order.push_back(fp);
        }
        while self.proven_order.len() > PROVEN_FINGERPRINTS_MAX {
            if let Some(old) = self.proven_order.pop_front() {
                self.proven.remove(&old);
            }
        }
        self.suspects.remove(&fp).is_some()
    }

    /// Whether a server executed it without crashing within [`PROOF_LIFETIME`].
    pub(crate) fn is_proven(&self, now: Instant, fp: Fingerprint) -> bool {
        self.proven
            .get(&fp)
            .is_some_and(|at| now.saturating_duration_since(*at) < PROOF_LIFETIME)
    }

    /// Records the end of a server, or that its connection broke, under a lookup of which no part has arrived.
    ///
    /// When a data centre fails or is partitioned, the connections to all its servers break under
    /// lookups that did not cause it. Breaks in one place therefore quarantine a lookup only with a
    /// server that executed it alone. Breaks both here and in another data centre are no partition,
    /// and a canary could then crash the last replica of a shard; the lookup is refused for a short
    /// time, and its next submission is the canary. A proven lookup is suspected only when it broke
    /// two servers.
    pub(crate) fn note_crash(
        &mut self,
        now: Instant,
        fp: Fingerprint,
        crash: Crash,
    ) -> CrashFinding {
        let proven = self.is_proven(now, fp);
        let expires_at = now + self.window;
        let quarantine = self.quarantine;
        let s = self.suspect_entry(now, fp);
        s.expires_at = s.expires_at.max(expires_at);
        let (server, incarnation) = (crash.server.clone(), crash.incarnation);
        let Some(is_alone) = s.count(crash) else {
            return CrashFinding::Known;
        };
        let crashes = s.crashes();
        let crashes_max = if proven {
            PROVEN_LOOKUP_CRASHES_MAX
        } else {
            CRASHES_MAX
        };
        let is_in_both = s.is_in_several_data_centres() && crashes >= crashes_max;
        let quarantine = match is_alone && crashes >= CRASHES_MAX {
            true => Some(s.next_quarantine(quarantine)),
            false if is_in_both => Some(quarantine.min(NO_CANARY_QUARANTINE)),
            false => None,
        };
        if let Some(quarantine) = quarantine {
            s.is_announced = true;
            let earlier = EarlierVerdict {
                refused_until: s.refused_until,
                last_quarantine: s.last_quarantine,
                expires_at: s.expires_at,
            };
            if let Some(c) = s.crashes.iter_mut().find(|c| c.is_of(&server, incarnation)) {
                c.earlier_verdict.get_or_insert(earlier);
            }
            self.quarantine(now, fp, quarantine);
            return CrashFinding::Quarantined(quarantine);
        }
        if proven && crashes < CRASHES_MAX {
            return CrashFinding::Harmless;
        }
        s.is_announced = true;
        CrashFinding::Suspected
    }

    /// Takes back the crash of a server that was presumed when its connection broke, and what was decided by it.
    ///
    /// Returns `true` if peers were told of it and nothing else is known against the lookup.
    pub(crate) fn retract_crash(
        &mut self,
        now: Instant,
        fp: Fingerprint,
        server: &ServerName,
        incarnation: Option<Incarnation>,
    ) -> bool {
        let Some(s) = self.suspects.get_mut(&fp) else {
            return false;
        };
        if !s.retract(server, incarnation) {
            return false;
        }
        let is_convicted = s.last_quarantine.is_some() || s.quarantined_for(now) > Duration::ZERO;
        if s.crashes() > 0 || is_convicted {
            return false;
        }
        let is_announced = s.is_announced;
        self.suspects.remove(&fp);
        is_announced
    }

    /// Whether a server executed it without crashing at a given time or later.
    pub(crate) fn is_survived_since(&self, fp: Fingerprint, since: Instant) -> bool {
        self.proven.get(&fp).is_some_and(|at| *at >= since)
    }

    /// Records the lookup of this VM that is the canary of a fingerprint; others are refused
    /// meanwhile.
    pub(crate) fn assign_canary(&mut self, now: Instant, fp: Fingerprint, seq: LookupSeq) {
        if let Some(s) = self.suspects.get_mut(&fp) {
            s.canary = Some(seq);
            s.expires_at = s.expires_at.max(now + self.window);
        }
    }

    /// Clears the canary of a fingerprint if it was this lookup, which has ended.
    pub(crate) fn release_canary(&mut self, fp: Fingerprint, seq: LookupSeq) {
        if let Some(s) = self.suspects.get_mut(&fp).filter(|s| s.canary == Some(seq)) {
            s.canary = None;
        }
    }

    /// Applies a peer's notice: 0 `crashes` clears the fingerprint; a `quarantine` of 0 means that
    /// the peer sends a canary now.
    ///
    /// Suspicion without quarantine is ignored for a lookup that recently succeeded here: a server
    /// that fails by itself under a popular lookup would otherwise make every VM refuse that
    /// lookup.
    pub(crate) fn on_peer_report(
        &mut self,
        now: Instant,
        fp: Fingerprint,
        crashes: u32,
        quarantine: Duration,
    ) {
        if crashes == 0 {
            let has_canary = self.suspects.get(&fp).is_some_and(|s| s.canary.is_some());
            if !has_canary {
                self.suspects.remove(&fp);
            }
            return;
        }
        if quarantine == Duration::ZERO && self.is_proven(now, fp) {
            return;
        }
        let quarantine = quarantine.min(QUARANTINE_MAX.max(self.quarantine));
        let expires_at = now + self.window;
        let s = self.suspect_entry(now, fp);
        s.reported_crashes = s.reported_crashes.max(crashes);
        s.expires_at = s.expires_at.max(expires_at);
        if quarantine > Duration::ZERO {
            self.quarantine(now, fp, quarantine);
        } else {
            let s = self.suspect_entry(now, fp);
            s.refused_until = s.refused_until.max(Some(now + CANARY_WAIT));
        }
    }

    /// Returns the number of servers it is known to have crashed.
    pub(crate) fn crashes(&self, fp: Fingerprint) -> u32 {
        self.suspects.get(&fp).map_or(0, Suspect::crashes)
    }

    /// Returns the suspects for the dump.
    pub(crate) fn dump(&self, now: Instant) -> Vec<SuspectDump> {
        self.suspects
            .iter()
            .filter(|(_, s)| s.expires_at > now)
            .map(|(fp, s)| SuspectDump {
                fingerprint: *fp,
                crashes: s.crashes(),
                rest: s.quarantined_for(now),
            })
            .collect()
    }

    fn quarantine(&mut self, now: Instant, fp: Fingerprint, quarantine: Duration) {
        self.suspicion_until = self.suspicion_until.max(Some(now + self.window));
        self.proven.remove(&fp);
        self.proven_order.retain(|f| *f != fp);
        let (window, first) = (self.window, self.quarantine);
        let s = self.suspect_entry(now, fp);
        s.refused_until = s.refused_until.max(Some(now + quarantine));
        let mut suspected_for = window;
        if quarantine >= first {
            s.last_quarantine = s.last_quarantine.max(Some(quarantine));
            suspected_for = window.max(quarantine).max(PROBATION_MIN);
        }
        // It stays a suspect after its quarantine, so that its next submission is a canary.
        s.expires_at = s.expires_at.max(now + quarantine + suspected_for);
    }

    fn suspect_entry(&mut self, now: Instant, fp: Fingerprint) -> &mut Suspect {
        if !self.suspects.contains_key(&fp) && self.suspects.len() >= SUSPECTS_MAX {
            self.evict_suspect(now);
        }
        self.suspects.entry(fp).or_insert_with(|| Suspect {
            crashes: SmallVec::new(),
            reported_crashes: 0,
            is_announced: false,
            refused_until: None,
            last_quarantine: None,
            canary: None,
            expires_at: now,
        })
    }

    fn evict_suspect(&mut self, now: Instant) {
        self.suspects.retain(|_, s| s.expires_at > now);
        if self.suspects.len() < SUSPECTS_MAX {
            return;
        }
        let soonest = self
            .suspects
            .iter()
            .min_by_key(|(fp, s)| (s.expires_at, **fp))
            .map(|(fp, _)| *fp);
        if let Some(fp) = soonest {
            self.suspects.remove(&fp);
        }
    }
}
