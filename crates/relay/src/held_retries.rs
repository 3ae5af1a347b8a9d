//! Holds back the extra attempts of a fan-out that may crash the servers which execute it.
//!
//! A request that crashes servers breaks the first attempt at every shard within milliseconds, or as soon as each server
//! has worked off its queue. Retried or hedged at once, it would crash the second server of each shard too, and no page
//! could be answered until they have restarted. As long as no server has executed the request, only a few of its parts
//! are therefore tried twice; the others follow with the first answer, or are abandoned once nothing of the request can
//! be answered any more.

use std::time::Instant;

use crate::abandon::AbandonReason;
use crate::action::Action;
use crate::active_request::ActiveRequest;
use crate::active_request::Part;
use crate::active_request::PartState;
use crate::attempt::Attempt;
use crate::attempt::AttemptState;
use crate::attempt::Cause;
use crate::bundle::Bundle;
use crate::relay::Core;

/// The fewest broken attempts from which a fan-out may crash servers: a single server may crash by itself.
const CRASHES_MIN: usize = 2;

/// The most extra attempts before a server has executed the request. One may break by chance, as its server has another
/// request that crashes it.
const PROBES_MAX: usize = 2;

impl Core {
    /// Retries a part, or holds it while its request may crash servers.
    pub(crate) fn retry_or_hold(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        index: usize,
        cause: Cause,
        out: &mut Vec<Action>,
    ) {
        if request.holds_retries() {
            request.parts[index].state = PartState::Held(cause);
            request.held += 1;
            return;
        }
        self.try_part(now, request, index, cause, out);
    }

    /// Notes that a server has executed the request, which releases its retries and hedges.
    pub(crate) fn on_executed(&mut self, now: Instant, request: &mut ActiveRequest) {
        if request.holds_hedges() {
            self.schedule_check(request, now);
        }
        request.executed_without_crash = true;
    }

    /// Retries the held parts of a request as far as is allowed now, or abandons them if nothing else of it can be
    /// answered.
    pub(crate) fn settle_held(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        out: &mut Vec<Action>,
    ) {
        if request.held == 0 {
            return;
        }
        while !request.holds_retries()
            && let Some((index, cause)) = request.take_held()
        {
            self.try_part(now, request, index, cause, out);
        }
        if request.held == 0 || request.can_be_executed() {
            return;
        }
        while let Some((index, _)) = request.take_held() {
            if !self.abandon_if_quarantined(now, request, index) {
                self.abandon_part(request, index, AbandonReason::CrashesServers);
            }
        }
    }
}

impl ActiveRequest {
    /// Returns whether a further hedge must wait for an answer to the request.
    pub(crate) fn holds_hedges(&self) -> bool {
        self.route.is_scatter() && !self.executed_without_crash && self.probes() >= PROBES_MAX
    }

    /// Returns whether a further retry must wait for an answer to the request.
    pub(crate) fn holds_retries(&self) -> bool {
        self.holds_hedges() && self.may_crash_servers()
    }

    /// Returns whether its attempts ended in a way that a request which crashes servers causes.
    fn may_crash_servers(&self) -> bool {
        let is_empty_page = |b: &Bundle| b.page.as_ref().is_some_and(|p| p.stamps.is_empty());
        let broken = self.unanswered.iter().filter(|u| u.attempt.is_broken());
        broken.count() >= CRASHES_MIN || self.bundles.iter().any(is_empty_page)
    }

    /// Returns the number of extra attempts that are in flight or may have crashed their server.
    fn probes(&self) -> usize {
        let is_probe = |a: &&Attempt| {
            let may_have_crashed =
                matches!(a.state, AttemptState::InFlight | AttemptState::MayHaveRun);
            a.cause != Cause::First && may_have_crashed
        };
        let attempts = self.parts.iter().flat_map(|p| &p.attempts);
        attempts.filter(is_probe).count()
    }

    /// Takes the first held part, which the caller tries or abandons.
    fn take_held(&mut self) -> Option<(usize, Cause)> {
        let held = |(index, part): (usize, &Part)| match part.state {
            PartState::Held(cause) => Some((index, cause)),
            _ => None,
        };
        let taken = self.parts.iter().enumerate().find_map(held)?;
        self.held -= 1;
        Some(taken)
    }

    /// Returns whether a server may still execute one of its parts that is not held.
    pub(crate) fn can_be_executed(&self) -> bool {
        let is_active = |p: &Part| p.is_unfinished() && !matches!(p.state, PartState::Held(_));
        self.parts.iter().any(is_active)
    }
}
