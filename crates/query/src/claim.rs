//! The claim of an at-most-once lookup.

use std::time::Instant;

use gs_types::prelude::*;

use crate::action::Action;
use crate::action::LookupClaim;
use crate::core::Core;
use crate::event::ClaimDecision;
use crate::finish::RETRY_AFTER;
use crate::lookup::LookupRun;
use crate::lookup::Phase;

impl Core {
    /// Asks for the claim, without which nothing is sent.
    pub(crate) fn ask_claim(&mut self, now: Instant, lk: &LookupRun, out: &mut Vec<Action>) {
        let Some(key) = lk.idempotency_key.clone() else {
            return;
        };
        out.push(Action::Claim(LookupClaim {
            seq: lk.seq,
            key,
            fingerprint: lk.fingerprint,
            budget: lk.answer_by.saturating_duration_since(now),
        }));
    }

    /// The claim of an at-most-once lookup is decided.
    ///
    /// Only `Granted` lets it be sent. `Taken` and `Expired` are `unknown`, since an earlier
    /// submission under the key may have run. `Unknown` may be asked again with the same key: if the
    /// claim was made, the answer is `AlreadyClaimed`. `Refused` leaves nothing behind.
    pub(crate) fn claimed(
        &mut self,
        now: Instant,
        lk: &mut LookupRun,
        verdict: ClaimDecision,
        out: &mut Vec<Action>,
    ) {
        if lk.phase != Phase::Claiming {
            return;
        }
        let refusal = |reason, retry| Refusal::new(reason, retry);
        let outcome = match verdict {
            ClaimDecision::Granted => {
                self.granted(now, lk, out);
                return;
            }
            ClaimDecision::Taken => Outcome::Unknown(refusal(RefusalReason::AlreadyClaimed, None)),
            ClaimDecision::Expired => Outcome::Unknown(refusal(RefusalReason::KeyExpired, None)),
            // Not made here; but whether an earlier submission made it cannot be read either.
            ClaimDecision::Refused | ClaimDecision::Unknown => {
                Outcome::Unknown(refusal(RefusalReason::ClaimsAway, Some(RETRY_AFTER)))
            }
        };
        self.finish(now, lk, outcome, out);
    }

    fn granted(&mut self, now: Instant, lk: &mut LookupRun, out: &mut Vec<Action>) {
        lk.was_granted = true;
        // Nothing was sent yet, so the newest snapshot is as good as the one found at arrival.
        let view = &mut self.groups[lk.group].view;
        if let Some(pin) = view.pin(&self.servers, lk.floor, None) {
            lk.pin(pin.snapshot);
        }
        lk.phase = Phase::Running;
        self.begin(now, lk, out);
    }
}
