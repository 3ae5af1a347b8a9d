//! Turns broken attempts and answers into evidence against requests, and shares it with other VMs.

use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::action::Action;
use crate::active_request::ActiveRequest;
use crate::active_request::Part;
use crate::active_request::PartState;
use crate::attempt_origin::AttemptOrigin;
use crate::collectors::COLLECTORS;
use crate::collectors::collector_candidates;
use crate::collectors::collector_rank;
use crate::crash_ledger::Proof;
use crate::crash_ledger::ServerCrash;
use crate::crash_report::CrashReport;
use crate::crash_report::ExecutedServices;
use crate::crash_report::Observation;
use crate::crash_report::ReportedCrash;
use crate::relay::Core;

/// The most reports per second on requests that crashed their first server: when many servers
/// crash, each request that they had is one.
pub(crate) const FIRST_REPORTS_PER_S_MAX: u32 = 16;

/// The most reports per second on requests that crashed servers before, or were executed.
pub(crate) const REPEAT_REPORTS_PER_S_MAX: u32 = 64;

impl Core {
    /// Counts the attempts that a fan-out had no answer to when it ended.
    ///
    /// Some servers may lose connections while they execute a harmless fan-out, and the others answer only later. What
    /// became of its parts is therefore counted at its end.
    pub(crate) fn judge_fan_out(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        out: &mut Vec<Action>,
    ) {
        let mut crashes = Vec::new();
        for unanswered in std::mem::take(&mut request.unanswered) {
            let part = &request.parts[unanswered.index];
            if part.state == PartState::Complete || part.answer.is_some() {
                continue;
            }
            let mut attempt = unanswered.attempt;
            attempt.origin.is_answered_elsewhere |= request.executed_without_crash;
            crashes.extend(self.note_unanswered(now, &unanswered.server, attempt, out));
        }
        let origin = AttemptOrigin::of(request);
        self.judge_crashes(now, &origin, crashes, out);
    }

    /// Quarantines a request if there is proof, else reports the crashes to the VMs that collect evidence against it.
    pub(crate) fn judge_crashes(
        &mut self,
        now: Instant,
        origin: &AttemptOrigin,
        mut crashes: Vec<ServerCrash>,
        out: &mut Vec<Action>,
    ) {
        let fingerprint = origin.request;
        // The end of a server may be seen only after another server has executed the request.
        crashes.retain(|c| !self.is_executed_since(fingerprint, &c.service, c.ended_at));
        if crashes.is_empty() {
            return;
        }
        self.counters.crashes += crashes.len() as u64;
        let on_probation = crashes
            .iter()
            .find_map(|c| self.quarantine.proof_on_probation(now, fingerprint, c));
        let mut known = 0;
        for crash in &crashes {
            known = self.crash_ledger.note(now, fingerprint, crash.clone());
            self.log_crash(now, origin, crash, known);
        }
        if self.convict_if_proved(now, fingerprint, on_probation, out) {
            return;
        }
        let reported = crashes.into_iter().map(|c| ReportedCrash {
            began_ms: millis_since(now, c.began_at),
            ended_ms: millis_since(now, c.ended_at),
            service: c.service,
            server: c.server,
            born: c.born,
            // A peer's part of a fan-out may be broken while the other parts are answered.
            is_answered_elsewhere: c.is_answered_elsewhere || origin.is_delegated,
        });
        let observation = Observation::Crashed(reported.collect());
        self.report(now, fingerprint, observation, known <= 1, out);
    }

    /// Returns whether a server of the service is known to have executed a request since the given time.
    fn is_executed_since(
        &self,
        request: Fingerprint,
        service: &ServiceName,
        since: Instant,
    ) -> bool {
        let last = self.executed.last(request);
        last.is_some_and(|(at, missing)| at >= since && !missing.contains(service))
    }

    /// Quarantines a request if there is proof against it, or if it crashed a server on probation.
    fn convict_if_proved(
        &mut self,
        now: Instant,
        request: Fingerprint,
        on_probation: Option<Proof>,
        out: &mut Vec<Action>,
    ) -> bool {
        if self.quarantine.remaining(now, request).is_some() {
            return true;
        }
        let proof = on_probation.or_else(|| self.crash_ledger.proof(now, request));
        let Some(proof) = proof else {
            return false;
        };
        let contradicts = |(at, missing): (Instant, &[ServiceName])| {
            let is_executed = |s: &ServiceName| !missing.contains(s);
            at >= proof.evidence_from && proof.service.as_ref().is_none_or(is_executed)
        };
        if self.executed.last(request).is_some_and(contradicts) {
            return false;
        }
        self.crash_ledger.remove(request);
        let verdict = self.quarantine.convict(now, request, proof);
        self.counters.quarantines += 1;
        log::warn!(
            "event=quarantine request={request} version={} strikes={} service={}",
            verdict.version,
            verdict.strikes,
            verdict.service.as_ref().map_or("", |s| s.as_str()),
        );
        self.newly_quarantined.push(request);
        self.publish(now, verdict, out);
        true
    }

    /// Records that servers executed a request without crashing.
    pub(crate) fn note_executed(
        &mut self,
        now: Instant,
        request: Fingerprint,
        services: ExecutedServices,
        out: &mut Vec<Action>,
    ) {
        let is_cleared = self.crash_ledger.note_executed(request, &services, now);
        let is_contradicted = self
            .quarantine
            .is_contradicted(now, request, &services, now);
        if !is_cleared && !is_contradicted {
            return;
        }
        let observation = Observation::Executed(services.clone(), 0);
        self.report(now, request, observation, false, out);
        self.release_if_contradicted(now, request, &services, now, out);
    }

    /// Remembers the services that executed a request of a caller that has ended.
    pub(crate) fn remember_executed(&mut self, now: Instant, request: &ActiveRequest) {
        // A delegated request shows only some of the shards.
        if !request.executed_without_crash || request.shards_wanted.is_some() {
            return;
        }
        let is_missing = |part: &&Part| part.state != PartState::Complete && part.answer.is_none();
        let missing = request.parts.iter().filter(is_missing);
        let missing = missing.map(|part| part.service.clone()).collect();
        self.executed.note(now, request.fingerprint, missing);
    }

    /// Applies a report of another VM for which this one collects evidence.
    pub(crate) fn on_crash_report(
        &mut self,
        now: Instant,
        report: CrashReport,
        out: &mut Vec<Action>,
    ) {
        let CrashReport {
            request,
            observation,
        } = report;
        match observation {
            Observation::Crashed(crashes) => {
                let mut on_probation = None;
                for crash in crashes {
                    let crash = received_crash(now, crash);
                    if self.is_executed_since(request, &crash.service, crash.ended_at) {
                        continue;
                    }
                    let proof = self.quarantine.proof_on_probation(now, request, &crash);
                    on_probation = on_probation.or(proof);
                    self.crash_ledger.note(now, request, crash);
                }
                self.convict_if_proved(now, request, on_probation, out);
            }
            Observation::Executed(services, ago_ms) => {
                let at = earlier(now, ago_ms);
                self.crash_ledger.note_executed(request, &services, at);
                self.release_if_contradicted(now, request, &services, at, out);
                // The verdict that it contradicts may not have arrived yet.
                if let ExecutedServices::AllBut(missing) = services {
                    self.executed.note(at, request, missing);
                }
            }
        }
    }

    /// Sends an observation to the VMs that collect the evidence against a request.
    pub(crate) fn report(
        &mut self,
        now: Instant,
        request: Fingerprint,
        observation: Observation,
        is_first: bool,
        out: &mut Vec<Action>,
    ) {
        let limit = match is_first {
            true => &mut self.first_report_limit,
            false => &mut self.repeat_report_limit,
        };
        let Some(suppressed) = limit.try_acquire(now) else {
            return;
        };
        if suppressed > 0 {
            log::info!("event=crash-reports-dropped count={suppressed} first={is_first}");
        }
        let me = &self.options.vm;
        let vms = self.peer_vms.vms();
        let is_collector = collector_rank(request, me, vms) < COLLECTORS;
        let copies = COLLECTORS - usize::from(is_collector);
        let candidates = collector_candidates(request, me, vms);
        if candidates.is_empty() {
            return;
        }
        out.push(Action::ReportCrash {
            candidates: candidates.into_iter().map(|vm| vm.addr).collect(),
            copies,
            report: CrashReport {
                request,
                observation,
            },
        });
    }

    /// Logs how much evidence there is against a request after one more crash.
    fn log_crash(
        &mut self,
        now: Instant,
        origin: &AttemptOrigin,
        crash: &ServerCrash,
        known: usize,
    ) {
        let Some(suppressed) = self.crash_log.try_acquire(now) else {
            return;
        };
        log::info!(
            "event=crash-noted request={} id={} service={} server={} crashes={known} \
             left_out={suppressed}",
            origin.request,
            origin.id,
            crash.service,
            crash.server,
        );
    }
}

pub(crate) fn millis_since(now: Instant, at: Instant) -> u64 {
    // A request lasts far less than 2^64 ms.
    now.saturating_duration_since(at).as_millis() as u64
}

fn earlier(now: Instant, ago_ms: u64) -> Instant {
    now.checked_sub(Duration::from_millis(ago_ms))
        .unwrap_or(now)
}

fn received_crash(now: Instant, crash: ReportedCrash) -> ServerCrash {
    ServerCrash {
        began_at: earlier(now, crash.began_ms),
        ended_at: earlier(now, crash.ended_ms),
        service: crash.service,
        server: crash.server,
        born: crash.born,
        is_answered_elsewhere: crash.is_answered_elsewhere,
    }
}
