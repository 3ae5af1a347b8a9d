//! Which lookups crash backend servers, as far as is known.
//!
//! A lookup is proven harmless by the first server that runs it and lives, since a poisoned one
//! crashes each server that runs it. Until then a connection that breaks under it makes it a
//! suspect: one server alone may try it, and a second crash puts it into quarantine.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::dump::SuspectDump;

/// Servers that a fingerprint may crash before it is refused.
const CRASHES_MAX: u32 = 2;

/// Servers that a proven lookup breaks here and elsewhere before that counts against its proof.
const CRASHES_OF_PROVEN: u32 = 4;

/// How long a lookup is refused that broke servers everywhere but was not tried alone: until they are
/// back, so that its canary does not take a shard's last replica down.
const REST_UNTRIED: Duration = Duration::from_secs(5);

/// The most suspects remembered; the one that would be forgotten first gives way.
const SUSPECTS_MAX: usize = 1024;

/// The most fingerprints remembered as proven.
const PROVEN_MAX: usize = 4096;

/// How long a proof holds; the index and the servers' program may change.
const PROVEN_FOR: Duration = Duration::from_secs(60);

/// How long a fingerprint that another VM suspects is left to that VM's canary.
const PEER_TEST: Duration = Duration::from_secs(1);

/// What to do with a lookup that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Nothing is known against it.
    Clear,
    /// One server alone may see it first.
    Canary,
    /// It is refused for so long.
    Refused(Duration),
}

/// What a broken connection says about its lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Finding {
    /// It ran elsewhere before; the server is the more likely cause.
    Harmless,
    /// It is suspected.
    Suspected,
    /// It is in quarantine from now on, for so long.
    Quarantined(Duration),
}

/// A server whose connection broke under a lookup.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Crash<'a> {
    pub(crate) server: &'a ServerName,
    /// Whether it stands in this VM's data centre.
    pub(crate) is_local: bool,
    /// Whether no other server saw the lookup at that time.
    pub(crate) is_alone: bool,
}

#[derive(Debug)]
struct Suspect {
    crashed: SmallVec<[ServerName; 2]>,
    /// Whether a server broke in this VM's data centre, and in another one.
    near: bool,
    far: bool,
    told: u32,
    /// Refused until then.
    rest_until: Option<Instant>,
    /// The lookup of this VM that tries it.
    tester: Option<LookupSeq>,
    forget_at: Instant,
}

impl Suspect {
    fn crashes(&self) -> u32 {
        // At most one entry a server.
        self.told.max(self.crashed.len() as u32)
    }

    fn rest(&self, now: Instant) -> Duration {
        self.rest_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}

/// Suspects, quarantines and proofs.
#[derive(Debug)]
pub(crate) struct Suspects {
    quarantine: Duration,
    window: Duration,
    suspects: BTreeMap<Fingerprint, Suspect>,
    proven: BTreeMap<Fingerprint, Instant>,
    proven_order: VecDeque<Fingerprint>,
    raised_until: Option<Instant>,
}

impl Suspects {
    pub(crate) fn new(quarantine: Duration, window: Duration) -> Self {
        Self {
            quarantine,
            window,
            suspects: BTreeMap::new(),
            proven: BTreeMap::new(),
            proven_order: VecDeque::new(),
            raised_until: None,
        }
    }

    /// Raises suspicion against every lookup that is not proven.
    pub(crate) fn raise(&mut self, now: Instant, length: Duration) {
        self.raised_until = self.raised_until.max(Some(now + length));
    }

    /// What to do with a lookup that arrives.
    pub(crate) fn standing(&self, now: Instant, fp: Fingerprint) -> Standing {
        let Some(s) = self.suspects.get(&fp).filter(|s| s.forget_at > now) else {
            let raised = self.raised_until.is_some_and(|until| until > now);
            return if raised && !self.is_proven(now, fp) {
                Standing::Canary
            } else {
                Standing::Clear
            };
        };
        match s.rest(now) {
            Duration::ZERO if s.tester.is_some() => Standing::Refused(PEER_TEST),
            Duration::ZERO => Standing::Canary,
            rest => Standing::Refused(rest),
        }
    }

    /// A server ran it and lived; `true` if that clears a suspicion.
    pub(crate) fn prove(&mut self, now: Instant, fp: Fingerprint) -> bool {
        if self.proven.insert(fp, now).is_none() {
            self.proven_order.push_back(fp);
        }
        while self.proven_order.len() > PROVEN_MAX {
            if let Some(old) = self.proven_order.pop_front() {
                self.proven.remove(&old);
            }
        }
        self.suspects.remove(&fp).is_some()
    }

    /// Whether a server ran it and lived not long ago.
    pub(crate) fn is_proven(&self, now: Instant, fp: Fingerprint) -> bool {
        self.proven
            .get(&fp)
            .is_some_and(|at| now.saturating_duration_since(*at) < PROVEN_FOR)
    }

    /// A server's connection broke under a lookup of which no part was whole.
    ///
    /// When a data centre goes or is cut off, its servers all break under lookups that did nothing to
    /// them. So breaks in one place convict only with a server that saw the lookup alone. Breaks here
    /// and elsewhere at the same time are no such cut, and a canary could then take the last replica
    /// of a shard; the lookup rests for a short time, and its next run is the canary. A proven lookup
    /// is suspected only when it broke two servers.
    pub(crate) fn crashed(&mut self, now: Instant, fp: Fingerprint, crash: Crash<'_>) -> Finding {
        let proven = self.is_proven(now, fp);
        let forget_at = now + self.window;
        let s = self.entry(now, fp);
        s.forget_at = s.forget_at.max(forget_at);
        if !s.crashed.contains(crash.server) {
            s.crashed.push(crash.server.clone());
        }
        s.near |= crash.is_local;
        s.far |= !crash.is_local;
        let crashes = s.crashes();
        let enough = if proven {
            CRASHES_OF_PROVEN
        } else {
            CRASHES_MAX
        };
        let everywhere = s.near && s.far && crashes >= enough;
        let rest = match crash.is_alone && crashes >= CRASHES_MAX {
            true => Some(self.quarantine),
            false if everywhere => Some(self.quarantine.min(REST_UNTRIED)),
            false => None,
        };
        if let Some(rest) = rest {
            self.rest(now, fp, rest);
            return Finding::Quarantined(rest);
        }
        if proven && crashes < CRASHES_MAX {
            return Finding::Harmless;
        }
        Finding::Suspected
    }

    /// Names the lookup of this VM that tries a fingerprint; others of it are refused meanwhile.
    pub(crate) fn test(&mut self, now: Instant, fp: Fingerprint, seq: LookupSeq) {
        if let Some(s) = self.suspects.get_mut(&fp) {
            s.tester = Some(seq);
            s.forget_at = s.forget_at.max(now + self.window);
        }
    }

    /// A lookup ended; it tries nothing any more.
    pub(crate) fn ended(&mut self, fp: Fingerprint, seq: LookupSeq) {
        if let Some(s) = self.suspects.get_mut(&fp).filter(|s| s.tester == Some(seq)) {
            s.tester = None;
        }
    }

    /// A peer's word: `crashes` of 0 clears; a `rest` of 0 means that the peer tries it now.
    ///
    /// Of a lookup that ran well here not long ago mere suspicion is not heeded: a server that dies by
    /// itself under a popular lookup would else have it refused by the whole fleet. A quarantine is.
    pub(crate) fn told(&mut self, now: Instant, fp: Fingerprint, crashes: u32, rest: Duration) {
        if crashes == 0 {
            let testing = self.suspects.get(&fp).is_some_and(|s| s.tester.is_some());
            if !testing {
                self.suspects.remove(&fp);
            }
            return;
        }
        if rest == Duration::ZERO && self.is_proven(now, fp) {
            return;
        }
        let rest = rest.min(self.quarantine.saturating_mul(2));
        let forget_at = now + self.window;
        let s = self.entry(now, fp);
        s.told = s.told.max(crashes);
        s.forget_at = s.forget_at.max(forget_at);
        if rest > Duration::ZERO {
            self.rest(now, fp, rest);
        } else {
            let s = self.entry(now, fp);
            s.rest_until = s.rest_until.max(Some(now + PEER_TEST));
        }
    }

    /// How many servers it crashed, as far as is known.
    pub(crate) fn crashes(&self, fp: Fingerprint) -> u32 {
        self.suspects.get(&fp).map_or(0, Suspect::crashes)
    }

    /// What an operator sees.
    pub(crate) fn dump(&self, now: Instant) -> Vec<SuspectDump> {
        self.suspects
            .iter()
            .filter(|(_, s)| s.forget_at > now)
            .map(|(fp, s)| SuspectDump {
                fingerprint: *fp,
                crashes: s.crashes(),
                rest: s.rest(now),
            })
            .collect()
    }

    fn rest(&mut self, now: Instant, fp: Fingerprint, rest: Duration) {
        self.raised_until = self.raised_until.max(Some(now + self.window));
        self.proven.remove(&fp);
        self.proven_order.retain(|f| *f != fp);
        let window = self.window;
        let s = self.entry(now, fp);
        s.rest_until = s.rest_until.max(Some(now + rest));
        // After its rest it stays a suspect for a while, so that its next run is a canary.
        s.forget_at = s.forget_at.max(now + rest + window);
    }

    fn entry(&mut self, now: Instant, fp: Fingerprint) -> &mut Suspect {
        if !self.suspects.contains_key(&fp) && self.suspects.len() >= SUSPECTS_MAX {
            self.make_room(now);
        }
        self.suspects.entry(fp).or_insert_with(|| Suspect {
            crashed: SmallVec::new(),
            near: false,
            far: false,
            told: 0,
            rest_until: None,
            tester: None,
            forget_at: now,
        })
    }

    fn make_room(&mut self, now: Instant) {
        self.suspects.retain(|_, s| s.forget_at > now);
        if self.suspects.len() < SUSPECTS_MAX {
            return;
        }
        let first = self
            .suspects
            .iter()
            .min_by_key(|(fp, s)| (s.forget_at, **fp))
            .map(|(fp, _)| *fp);
        if let Some(fp) = first {
            self.suspects.remove(&fp);
        }
    }
}
