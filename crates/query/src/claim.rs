//! Claims of at-most-once lookups.

use std::time::Instant;

use gs_types::prelude::*;

use crate::action::Action;
use crate::action::LookupClaim;
use crate::engine_state::EngineState;
use crate::event::ClaimDecision;
use crate::finish::RETRY_AFTER;
use crate::lookup::ActiveLookup;
use crate::lookup::LookupPhase;

impl EngineState {
    /// Requests the claim, without which nothing is sent.
    pub(crate) fn request_claim(&mut self, now: Instant, lk: &ActiveLookup, out: &mut Vec<Action>) {
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

    /// Processes the decision about an at-most-once lookup's claim.
    ///
    /// The lookup is sent only after `Granted`. `Taken` and `Expired` end it as `unknown`, since an
    /// earlier submission under the key may have been executed. After `Refused` and `Unknown` the
    /// caller may retry with the same key: if a claim was made after all, the retry gets
    /// `AlreadyClaimed`. `Refused` leaves no claim behind.
    pub(crate) fn on_claim_decided(
        &mut self,
        now: Instant,
        lk: &mut ActiveLookup,
        decision: ClaimDecision,
        out: &mut Vec<Action>,
    ) {
        if lk.phase != LookupPhase::Claiming {
            return;
        }
        let refusal = |reason, retry| Refusal::new(reason, retry);
        let outcome = match decision {
            ClaimDecision::Granted => {
                self.on_claim_granted(now, lk, out);
                return;
            }
            ClaimDecision::Taken => Outcome::Unknown(refusal(RefusalReason::AlreadyClaimed, None)),
            ClaimDecision::Expired => Outcome::Unknown(refusal(RefusalReason::KeyExpired, None)),
            // Even if this submission made no claim, an earlier one may have, which cannot be read.
            ClaimDecision::Refused | ClaimDecision::Unknown => {
                Outcome::Unknown(refusal(RefusalReason::ClaimsAway, Some(RETRY_AFTER)))
            }
        };
        self.finish(now, lk, outcome, out);
    }

    fn on_claim_granted(&mut self, now: Instant, lk: &mut ActiveLookup, out: &mut Vec<Action>) {
        lk.was_granted = true;
        // Nothing was sent yet, so the lookup can use the newest snapshot.
        let view = &mut self.groups[lk.group].view;
        if let Some(pin) = view.pin(&self.servers, lk.snapshot_min, None) {
            lk.pin_snapshot(pin.snapshot);
        }
        lk.phase = LookupPhase::Running;
        self.start_lookup(now, lk, out);
    }
}
