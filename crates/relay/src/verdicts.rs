//! Publishes and applies verdicts on requests that crash servers.

use std::time::Instant;

use gs_types::prelude::*;

use crate::abandon::AbandonReason;
use crate::action::Action;
use crate::active_request::ActiveRequest;
use crate::active_request::PartState;
use crate::collectors::COLLECTORS;
use crate::collectors::collector_rank;
use crate::crash_evidence::millis_since;
use crate::crash_report::ExecutedServices;
use crate::crash_report::Observation;
use crate::crash_report::Verdict;
use crate::event::VerdictOrigin;
use crate::quarantine::QuarantineStatus;
use crate::quarantine::TRIAL_INTERVAL;
use crate::relay::Core;
use crate::relay::Relay;

/// The most verdicts that this VM publishes per second: when all servers crash at once, each fan-out
/// that had all its parts broken is one.
pub(crate) const VERDICTS_PER_S_MAX: u32 = 8;

impl Core {
    /// Applies verdicts that were learned from elsewhere, and contradicts those that are wrong.
    pub(crate) fn on_verdicts(
        &mut self,
        now: Instant,
        verdicts: Vec<Verdict>,
        origin: VerdictOrigin,
        out: &mut Vec<Action>,
    ) {
        for verdict in verdicts {
            let request = verdict.request;
            if origin == VerdictOrigin::Directory
                && self.quarantine.is_listed_too_long(now, &verdict)
            {
                out.push(Action::Unlist(request));
                continue;
            }
            let (version, strikes) = (verdict.version, verdict.strikes);
            if !self.quarantine.apply(now, verdict) {
                continue;
            }
            log::info!(
                "event=quarantine-learned request={request} version={version} strikes={strikes} \
                 origin={origin}"
            );
            out.push(Action::Superseded(request));
            if strikes > 0 {
                self.crash_ledger.remove(request);
                self.newly_quarantined.push(request);
                self.contradict(now, request, out);
            }
        }
    }

    /// Contradicts a verdict on a request that servers executed since the evidence against it.
    fn contradict(&mut self, now: Instant, request: Fingerprint, out: &mut Vec<Action>) {
        let Some((at, missing)) = self.executed.last(request) else {
            return;
        };
        let services = ExecutedServices::AllBut(missing.to_vec());
        if !self.quarantine.is_contradicted(now, request, &services, at) {
            return;
        }
        let observation = Observation::Executed(services.clone(), millis_since(now, at));
        self.report(now, request, observation, false, out);
        if collector_rank(request, &self.options.vm, self.peer_vms.vms()) < COLLECTORS {
            self.release_if_contradicted(now, request, &services, at, out);
        }
    }

    /// Releases a request that was executed after the evidence against it.
    pub(crate) fn release_if_contradicted(
        &mut self,
        now: Instant,
        request: Fingerprint,
        services: &ExecutedServices,
        at: Instant,
        out: &mut Vec<Action>,
    ) {
        let Some(verdict) = self.quarantine.release(now, request, services, at) else {
            return;
        };
        log::info!(
            "event=quarantine-released request={request} version={}",
            verdict.version
        );
        self.publish(now, verdict, out);
    }

    /// Returns how an arriving request is treated.
    pub(crate) fn quarantine_status(&self, now: Instant, request: Fingerprint) -> QuarantineStatus {
        let rank = || collector_rank(request, &self.options.vm, self.peer_vms.vms());
        match self.quarantine.status(now, request, rank) {
            QuarantineStatus::Trial
                if self
                    .server_watch
                    .may_be_running(now, |o| o.request == request) =>
            {
                QuarantineStatus::Refused(TRIAL_INTERVAL)
            }
            status => status,
        }
    }

    /// Abandons the parts of a request in quarantine that wait for a server.
    fn abandon_waiting(&mut self, now: Instant, request: &mut ActiveRequest) {
        for index in 0..request.parts.len() {
            if matches!(request.parts[index].state, PartState::Waiting(_)) {
                self.dequeue(request, index);
                self.abandon_if_quarantined(now, request, index);
            }
        }
    }

    /// Abandons a part whose request is in quarantine; returns `false` if it is not.
    pub(crate) fn abandon_if_quarantined(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        index: usize,
    ) -> bool {
        let Some(remaining) = self.quarantine.remaining(now, request.fingerprint) else {
            return false;
        };
        request.retry_after = Some(remaining);
        self.abandon_part(request, index, AbandonReason::Quarantined);
        true
    }

    /// Tells all VMs and the directory of a verdict; beyond the limit it holds at this VM alone.
    pub(crate) fn publish(&mut self, now: Instant, verdict: Verdict, out: &mut Vec<Action>) {
        if self.publish_limit.try_acquire(now).is_none() {
            log::warn!("event=verdict-not-published request={}", verdict.request);
            return;
        }
        let others = self.peer_vms.vms().iter();
        let others = others.filter(|vm| vm.name != self.options.vm);
        out.push(Action::Publish {
            verdict,
            peers: others.map(|vm| vm.addr).collect(),
        });
    }
}

impl Relay {
    /// Returns the verdicts that this VM knows.
    #[must_use]
    pub fn verdicts(&self, now: Instant) -> Vec<Verdict> {
        self.core.quarantine.verdicts(now)
    }

    /// Returns the verdict on a request; `None` if there is none.
    #[must_use]
    pub fn verdict(&self, now: Instant, request: Fingerprint) -> Option<Verdict> {
        self.core.quarantine.verdict(now, request)
    }

    /// Stops the waiting parts of requests that have just been quarantined.
    pub(crate) fn stop_quarantined(&mut self, now: Instant, out: &mut Vec<Action>) {
        let quarantined = std::mem::take(&mut self.core.newly_quarantined);
        if quarantined.is_empty() {
            return;
        }
        let stopped = self.requests.values();
        let stopped = stopped.filter(|r| quarantined.contains(&r.fingerprint));
        let mut stopped: Vec<LookupSeq> = stopped.map(|r| r.seq).collect();
        stopped.sort_unstable();
        for seq in stopped {
            self.with_request(seq, |core, request| {
                core.abandon_waiting(now, request);
                core.settle_held(now, request, out);
                core.finish_if_done(now, request, out)
            });
        }
    }
}
