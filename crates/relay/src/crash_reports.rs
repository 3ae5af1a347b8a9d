//! Turns broken attempts and answers into evidence, shares it with other VMs, and applies verdicts.

use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::abandon::AbandonReason;
use crate::action::Action;
use crate::active_request::ActiveRequest;
use crate::active_request::Part;
use crate::active_request::PartState;
use crate::collectors::COLLECTORS;
use crate::collectors::collector_candidates;
use crate::collectors::collector_rank;
use crate::crash_ledger::Proof;
use crate::crash_ledger::ServerCrash;
use crate::crash_report::CrashReport;
use crate::crash_report::ExecutedServices;
use crate::crash_report::Observation;
use crate::crash_report::ReportedCrash;
use crate::crash_report::Verdict;
use crate::event::VerdictOrigin;
use crate::quarantine::QuarantineStatus;
use crate::relay::Core;
use crate::relay::Relay;

/// The most reports per second on requests that crashed their first server: when many servers
/// crash, each request that they had is one.
pub(crate) const FIRST_REPORTS_PER_S_MAX: u32 = 16;

/// The most reports per second on requests that crashed servers before, or were executed.
pub(crate) const REPEAT_REPORTS_PER_S_MAX: u32 = 64;

/// The most verdicts that this VM publishes per second: when all servers crash at once, each fan-out
/// that had all its parts broken is one.
pub(crate) const VERDICTS_PER_S_MAX: u32 = 8;

/// A server whose connection broke, as it was when the attempt was sent.
pub(crate) struct CrashedServer {
    pub(crate) name: ServerName,
    pub(crate) born: Option<Incarnation>,
    pub(crate) sent_at: Instant,
}

impl Core {
    /// Records that a server crashed while it had a part of a request.
    ///
    /// Some servers may lose connections while they execute a harmless fan-out, and the others
    /// answer only later. The crashes under a fan-out are therefore judged when it ends.
    pub(crate) fn note_broken_attempt(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        index: usize,
        crashed: CrashedServer,
        out: &mut Vec<Action>,
    ) {
        let crash = ServerCrash {
            service: request.parts[index].service.clone(),
            server: crashed.name,
            born: crashed.born,
            began_at: crashed.sent_at,
            ended_at: now,
            is_answered_elsewhere: false,
        };
        self.counters.crashes += 1;
        if request.route.is_scatter() {
            request.crashes.push((index, crash));
            return;
        }
        self.judge_crashes(now, request, vec![crash], out);
    }

    /// Judges the crashes under a fan-out that has ended.
    pub(crate) fn judge_fan_out(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        out: &mut Vec<Action>,
    ) {
        let crashes = std::mem::take(&mut request.crashes);
        let is_unanswered =
            |part: &Part| part.state != PartState::Complete && part.answer.is_none();
        let crashes = crashes.into_iter();
        let crashes = crashes.filter(|(index, _)| is_unanswered(&request.parts[*index]));
        let crashes: Vec<ServerCrash> = crashes
            .map(|(_, crash)| ServerCrash {
                is_answered_elsewhere: request.executed_without_crash,
                ..crash
            })
            .collect();
        if !crashes.is_empty() {
            self.judge_crashes(now, request, crashes, out);
        }
    }

    /// Quarantines a request that crashed servers if there is proof, else reports the crashes to
    /// the VMs that collect evidence against it.
    fn judge_crashes(
        &mut self,
        now: Instant,
        request: &ActiveRequest,
        crashes: Vec<ServerCrash>,
        out: &mut Vec<Action>,
    ) {
        let fingerprint = request.fingerprint;
        let on_probation = crashes
            .iter()
            .find_map(|c| self.quarantine.proof_on_probation(now, fingerprint, c));
        let mut known = 0;
        for crash in &crashes {
            known = self.crash_ledger.note(now, fingerprint, crash.clone());
            self.log_crash(now, request, crash, known);
        }
        if self.convict_if_proved(now, fingerprint, on_probation, out) {
            return;
        }
        // A peer's part of a fan-out may be broken while the other parts are answered.
        let is_delegated = request.shards_wanted.is_some();
        let reported = crashes.into_iter().map(|c| ReportedCrash {
            began_ms: millis_since(now, c.began_at),
            ended_ms: millis_since(now, c.ended_at),
            service: c.service,
            server: c.server,
            born: c.born,
            is_answered_elsewhere: c.is_answered_elsewhere || is_delegated,
        });
        let observation = Observation::Crashed(reported.collect());
        self.report(now, fingerprint, observation, known <= 1, out);
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

    /// Releases a request that was executed after the evidence against it.
    fn release_if_contradicted(
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

    /// Returns how an arriving request is treated.
    pub(crate) fn quarantine_status(&self, now: Instant, request: Fingerprint) -> QuarantineStatus {
        self.quarantine.status(now, request, || {
            collector_rank(request, &self.options.vm, self.peer_vms.vms())
        })
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

    /// Sends an observation to the VMs that collect the evidence against a request.
    fn report(
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

    /// Tells all VMs and the directory of a verdict; beyond the limit it holds at this VM alone.
    fn publish(&mut self, now: Instant, verdict: Verdict, out: &mut Vec<Action>) {
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

    /// Logs how much evidence there is against a request after one more crash.
    fn log_crash(
        &mut self,
        now: Instant,
        request: &ActiveRequest,
        crash: &ServerCrash,
        known: usize,
    ) {
        let Some(suppressed) = self.crash_log.try_acquire(now) else {
            return;
        };
        log::info!(
            "event=crash-noted request={} id={} service={} server={} crashes={known} \
             left_out={suppressed}",
            request.fingerprint,
            request.req.id,
            crash.service,
            crash.server,
        );
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
                core.finish_if_done(now, request, out)
            });
        }
    }
}

fn millis_since(now: Instant, at: Instant) -> u64 {
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
