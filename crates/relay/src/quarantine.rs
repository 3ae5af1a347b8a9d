//! Requests in quarantine because they crash servers, and those on probation after it.
//!
//! After a quarantine the request is tried again, by one VM after the other and once at a time: if
//! it still crashes servers, one is lost before all VMs know. A crash on probation quarantines it
//! at once, and for longer; an answer releases it.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::crash_ledger::Proof;
use crate::crash_ledger::ServerCrash;
use crate::crash_report::ExecutedServices;
use crate::crash_report::Verdict;

/// How long a request is quarantined the first time.
const QUARANTINE_MIN: Duration = Duration::from_secs(30);

/// The factor by which each further quarantine is longer.
const QUARANTINE_FACTOR: u32 = 4;

/// The longest quarantine.
const QUARANTINE_MAX: Duration = Duration::from_secs(3600);

/// The shortest time on probation.
const PROBATION_MIN: Duration = Duration::from_secs(600);

/// How long a release is remembered, so that an older verdict that arrives late changes nothing.
const RELEASE_RETENTION: Duration = Duration::from_secs(60);

/// The time after which one more VM may try the request; a crash is known to all VMs sooner.
pub(crate) const TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// The most verdicts remembered.
const VERDICTS_MAX: usize = 4096;

/// How an arriving request is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuarantineStatus {
    /// Nothing is known against it.
    Clear,
    /// It may run, but no other one like it meanwhile.
    Trial,
    /// It is refused; retry after this time.
    Refused(Duration),
}

/// The state of a request that was quarantined.
#[derive(Clone, Debug)]
struct Entry {
    verdict: Verdict,
    /// The end of the quarantine; when the release was learned if it is released.
    until: Instant,
    /// When the verdict is forgotten.
    expires_at: Instant,
    /// An execution since then contradicts the verdict.
    evidence_from: Instant,
    /// The request that is tried at this VM.
    trial: Option<LookupSeq>,
}

impl Entry {
    /// Returns whether the request is in quarantine or on probation.
    fn is_held(&self, now: Instant) -> bool {
        !self.verdict.is_release() && self.expires_at > now
    }
}

/// Verdicts on requests.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    entries: HashMap<Fingerprint, Entry>,
}

impl Quarantine {
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns how to treat an arriving request at the VM with this rank among those that may try
    /// it.
    pub(crate) fn status(
        &self,
        now: Instant,
        request: Fingerprint,
        rank: impl FnOnce() -> usize,
    ) -> QuarantineStatus {
        let Some(entry) = self.held(now, request) else {
            return QuarantineStatus::Clear;
        };
        // A fleet has far fewer than 2^32 VMs.
        let trial_at = entry.until + TRIAL_INTERVAL * rank() as u32;
        if trial_at > now {
            return QuarantineStatus::Refused(trial_at - now);
        }
        match entry.trial {
            Some(_) => QuarantineStatus::Refused(TRIAL_INTERVAL),
            None => QuarantineStatus::Trial,
        }
    }

    /// Returns the rest of a request's quarantine; `None` if it is not in quarantine.
    pub(crate) fn remaining(&self, now: Instant, request: Fingerprint) -> Option<Duration> {
        let entry = self.held(now, request)?;
        let remaining = entry.until.saturating_duration_since(now);
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Returns the proof against a request that crashed a server while it was on probation; `None`
    /// if it was not, or for crashes of other services.
    pub(crate) fn proof_on_probation(
        &self,
        now: Instant,
        request: Fingerprint,
        crash: &ServerCrash,
    ) -> Option<Proof> {
        let entry = self.held(now, request)?;
        let service = &entry.verdict.service;
        let is_crashed = service.as_ref().is_none_or(|s| *s == crash.service);
        (is_crashed && crash.began_at >= entry.until).then(|| Proof {
            service: service.clone(),
            evidence_from: now,
        })
    }

    /// Records which request is tried.
    pub(crate) fn start_trial(&mut self, request: Fingerprint, seq: LookupSeq) {
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.trial = Some(seq);
        }
    }

    /// Records that a request has ended.
    pub(crate) fn end_trial(&mut self, request: Fingerprint, seq: LookupSeq) {
        if let Some(entry) = self.entries.get_mut(&request)
            && entry.trial == Some(seq)
        {
            entry.trial = None;
        }
    }

    /// Quarantines a request, longer than the last time.
    pub(crate) fn convict(&mut self, now: Instant, request: Fingerprint, proof: Proof) -> Verdict {
        let known = self.entries.get(&request).filter(|e| e.expires_at > now);
        let (version, strikes) = known.map_or((0, 0), |e| (e.verdict.version, e.verdict.strikes));
        let verdict = Verdict {
            request,
            version: version.saturating_add(1),
            strikes: strikes.saturating_add(1),
            remaining: Some(quarantine_duration(strikes.saturating_add(1))),
            evidence_age: Some(now.saturating_duration_since(proof.evidence_from)),
            service: proof.service,
        };
        self.apply(now, verdict.clone());
        verdict
    }

    /// Releases a request that servers executed at a time, if that contradicts its quarantine.
    pub(crate) fn release(
        &mut self,
        now: Instant,
        request: Fingerprint,
        services: &ExecutedServices,
        at: Instant,
    ) -> Option<Verdict> {
        if !self.is_contradicted(now, request, services, at) {
            return None;
        }
        let entry = self.entries.get(&request)?;
        let verdict = Verdict {
            request,
            version: entry.verdict.version.saturating_add(1),
            strikes: 0,
            remaining: None,
            evidence_age: None,
            service: None,
        };
        self.apply(now, verdict.clone());
        Some(verdict)
    }

    /// Returns whether an execution at a time contradicts the quarantine of a request.
    pub(crate) fn is_contradicted(
        &self,
        now: Instant,
        request: Fingerprint,
        services: &ExecutedServices,
        at: Instant,
    ) -> bool {
        self.held(now, request).is_some_and(|e| {
            let covers = |service| services.covers(service);
            at >= e.evidence_from && e.verdict.service.as_ref().is_none_or(covers)
        })
    }

    /// Applies a verdict; returns `false` and changes nothing if it is not later than the known one.
    pub(crate) fn apply(&mut self, now: Instant, verdict: Verdict) -> bool {
        let order = |v: &Verdict| (v.version, v.strikes);
        let known = self.entries.get(&verdict.request);
        if known.is_some_and(|e| order(&e.verdict) >= order(&verdict)) {
            return false;
        }
        self.make_room(now);
        let duration = quarantine_duration(verdict.strikes);
        let remaining = verdict.remaining.map_or(duration, |r| r.min(duration));
        let until = now + remaining;
        let age = verdict.evidence_age.unwrap_or_default();
        let entry = Entry {
            until,
            expires_at: match verdict.is_release() {
                true => now + RELEASE_RETENTION,
                false => until + duration.max(PROBATION_MIN),
            },
            evidence_from: now.checked_sub(age).unwrap_or(now),
            trial: None,
            verdict,
        };
        self.entries.insert(entry.verdict.request, entry);
        true
    }

    /// Returns whether the directory lists a verdict that is no longer in force; one that is known
    /// stays known while it is listed.
    pub(crate) fn is_listed_too_long(&mut self, now: Instant, listed: &Verdict) -> bool {
        let Some(entry) = self.entries.get_mut(&listed.request) else {
            return false;
        };
        if listed.version > entry.verdict.version {
            return false;
        }
        let is_over = entry.expires_at <= now || entry.verdict.is_release();
        if is_over {
            entry.expires_at = entry.expires_at.max(now + RELEASE_RETENTION);
            entry.verdict.strikes = 0;
        }
        is_over
    }

    /// Returns the verdict on a request, with the rest of its quarantine.
    pub(crate) fn verdict(&self, now: Instant, request: Fingerprint) -> Option<Verdict> {
        let entry = self.entries.get(&request).filter(|e| e.expires_at > now)?;
        Some(Verdict {
            remaining: Some(entry.until.saturating_duration_since(now)),
            evidence_age: Some(now.saturating_duration_since(entry.evidence_from)),
            ..entry.verdict.clone()
        })
    }

    /// Returns all verdicts.
    pub(crate) fn verdicts(&self, now: Instant) -> Vec<Verdict> {
        let requests = self.entries.keys();
        requests.filter_map(|r| self.verdict(now, *r)).collect()
    }

    fn held(&self, now: Instant, request: Fingerprint) -> Option<&Entry> {
        self.entries.get(&request).filter(|e| e.is_held(now))
    }

    /// Removes expired verdicts, or the one that expires first if there are too many.
    fn make_room(&mut self, now: Instant) {
        self.entries.retain(|_, e| e.expires_at > now);
        if self.entries.len() < VERDICTS_MAX {
            return;
        }
        let first = self.entries.iter().min_by_key(|(r, e)| (e.until, **r));
        if let Some(request) = first.map(|(r, _)| *r) {
            self.entries.remove(&request);
        }
    }
}

impl Verdict {
    /// Returns how long it is remembered: the rest of its quarantine, and the probation.
    #[must_use]
    pub fn retention(&self) -> Duration {
        let duration = quarantine_duration(self.strikes);
        self.remaining.unwrap_or(duration) + duration.max(PROBATION_MIN)
    }
}

/// Returns how long a request is quarantined after it was this often in a row.
fn quarantine_duration(strikes: u32) -> Duration {
    let factor = QUARANTINE_FACTOR.saturating_pow(strikes.saturating_sub(1));
    QUARANTINE_MIN.saturating_mul(factor).min(QUARANTINE_MAX)
}
