//! Parts that another VM asks for: the life of a bundle.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::action::Action;
use crate::action::Dispatch;
use crate::action::HandOver;
use crate::asked::Asked;
use crate::attempt::Attempt;
use crate::attempt::Cause;
use crate::attempt::Doing;
use crate::attempt::RunId;
use crate::gave_up::GaveUp;
use crate::outcome::Missing;
use crate::outcome::Page;
use crate::relay::Core;
use crate::reply::AttemptEnd;
use crate::run::PartState;
use crate::run::Run;
use crate::servers::ServerKey;

/// The part number of a bundle; a fan-out has far fewer parts.
pub(crate) const BUNDLE: u16 = u16::MAX;

/// How long after the objective a peer may still answer whose parts are not needed for an answer: it sends what
/// it has in time for the objective, so one that has not answered then is out of reach.
const GRACE: Duration = Duration::from_millis(60);

/// The same where its parts are needed: it waits for them, and a usual pause of a server is over by then.
const LATE_WAIT: Duration = Duration::from_millis(200);

/// Parts of a request that a peer asks for.
#[derive(Debug)]
pub(crate) struct Bundle {
    pub(crate) attempt: Attempt,
    /// The positions of the parts in the request.
    pub(crate) parts: Vec<usize>,
    /// What the peer sent.
    pub(crate) page: Option<Box<Page>>,
}

impl Core {
    /// Begins a request: parts that are best asked for elsewhere go there, the others are asked for here.
    pub(crate) fn begin(&mut self, now: Instant, run: &mut Run, out: &mut Vec<Action>) {
        let route = Arc::clone(&run.route);
        self.times(&route);
        run.parts = self.parts_of(&route, run.only.as_deref());
        for (peer, parts) in self.bundles_for(now, run) {
            self.send_bundle(now, run, peer, parts, out);
        }
        for at in 0..run.parts.len() {
            if run.parts[at].state != PartState::Bundled {
                self.start_part(now, run, at, out);
            }
        }
    }

    fn start_part(&mut self, now: Instant, run: &mut Run, at: usize, out: &mut Vec<Action>) {
        let service = run.parts[at].service.clone();
        self.service(&service).extra.request(now);
        self.try_part(now, run, at, Cause::First, out);
    }

    fn send_bundle(
        &mut self,
        now: Instant,
        run: &mut Run,
        peer: ServerKey,
        parts: Vec<usize>,
        out: &mut Vec<Action>,
    ) {
        let id = RunId {
            lookup: run.seq,
            part: BUNDLE,
            // There are far fewer data centres than 2^16.
            attempt: run.bundles.len() as u16,
        };
        let Some(view) = self.servers.get_mut(peer) else {
            return;
        };
        view.begun(now, id);
        let place = &view.entry.data_centre;
        let transit = self.transits.to(place, self.ways.to(place));
        for at in &parts {
            run.parts[*at].state = PartState::Bundled;
        }
        let on_time = run.objective_at.saturating_duration_since(now);
        let others = run.parts.len() - parts.len();
        let least = run.parts_wanted.saturating_sub(others);
        let grace = if least > 0 { LATE_WAIT } else { GRACE };
        let give_up = (on_time + grace).min(run.left(now));
        out.push(Action::Send(Dispatch {
            run: id,
            server: Arc::clone(&view.entry),
            id: Arc::clone(&run.req.id),
            content: Arc::clone(&run.req.content),
            time_left: run.patience.saturating_sub(now - run.arrived),
            give_up,
            once: false,
            keep: true,
            hand_over: Some(HandOver {
                host: run.req.host.clone(),
                route: run.route.fingerprint(),
                on_time: on_time.saturating_sub(transit),
                latest: give_up.saturating_sub(transit),
                least,
                shards: parts.iter().map(|at| run.parts[*at].shard).collect(),
                hops: run.hops + 1,
            }),
        }));
        let attempt = Attempt {
            server: peer,
            at: now,
            doing: Doing::Live,
            cause: Cause::First,
            rounds: 0.0,
            ended: None,
        };
        run.bundles.push(Bundle {
            attempt,
            parts,
            page: None,
        });
        self.counters.bundles += 1;
        self.arm(run, run.objective_at);
    }

    /// Takes in the end of a bundle.
    pub(crate) fn bundle_ended(
        &mut self,
        now: Instant,
        run: &mut Run,
        id: RunId,
        end: AttemptEnd,
        out: &mut Vec<Action>,
    ) {
        let Some(bundle) = run.bundles.get_mut(usize::from(id.attempt)) else {
            log::error!("event=bundle-unknown attempt={id}");
            return;
        };
        bundle.attempt.doing = match &end {
            AttemptEnd::NotSent | AttemptEnd::Shed(_) | AttemptEnd::Overloaded(_) => Doing::NotRun,
            _ => Doing::Ran,
        };
        bundle.attempt.ended = Some((now, (&end).into()));
        let (server, begun) = (bundle.attempt.server, bundle.attempt.at);
        let parts = bundle.parts.clone();
        let route = run.route.name.clone();
        if let AttemptEnd::Paged(_, Some(held)) = end {
            self.note_transit(server, now - begun, held);
        }
        self.judge_server(now, server, id, (begun, 0.0), &route, &end);
        match end {
            AttemptEnd::Paged(page, _) if is_sound(run, &parts, &page) => {
                self.take_page(now, run, usize::from(id.attempt), page, out);
            }
            AttemptEnd::Overloaded(retry) => {
                // Whoever asks for the parts has no room for them; asked for here, they would only add to
                // the load that they were refused for.
                run.retry_after = Some(retry);
                for at in parts {
                    self.give_up(run, at, GaveUp::PeerFull);
                }
            }
            // Nothing of it has reached a server.
            AttemptEnd::NotSent | AttemptEnd::Shed(_) => {
                self.counters.bundles_failed += 1;
                for at in parts {
                    self.start_part(now, run, at, out);
                }
            }
            _ => {
                self.counters.bundles_failed += 1;
                for at in parts {
                    run.parts[at].elsewhere = Asked::Unknown;
                    self.try_part(now, run, at, Cause::Retry, out);
                }
            }
        }
    }

    fn note_transit(&mut self, peer: ServerKey, took: Duration, held: Duration) {
        if let Some(view) = self.servers.get(peer) {
            self.transits.observe(&view.entry.data_centre, took, held);
        }
    }

    fn take_page(
        &mut self,
        now: Instant,
        run: &mut Run,
        n: usize,
        page: Box<Page>,
        out: &mut Vec<Action>,
    ) {
        let mut missing = Vec::with_capacity(page.missing.len());
        for at in run.bundles[n].parts.clone() {
            let part = &mut run.parts[at];
            if let Some(m) = page.missing.iter().find(|m| m.shard == part.shard) {
                part.elsewhere = m.asked.clone();
                missing.push(at);
            } else {
                part.state = PartState::Whole;
                run.whole += 1;
            }
        }
        if !page.stamps.is_empty() {
            self.survived_elsewhere(run);
        }
        run.bundles[n].page = Some(page);
        // The peer has waited for them; they are of use only below the least coverage.
        let is_enough = run.whole >= run.parts_wanted;
        for at in missing {
            if is_enough {
                self.give_up(run, at, GaveUp::Enough);
            } else {
                self.try_part(now, run, at, Cause::Retry, out);
            }
        }
    }
}

/// Whether a page tells of each part that was asked for, and of no other.
fn is_sound(run: &Run, parts: &[usize], page: &Page) -> bool {
    let is_ours = |m: &Missing| parts.iter().any(|at| run.parts[*at].shard == m.shard);
    page.stamps.len() + page.missing.len() == parts.len() && page.missing.iter().all(is_ours)
}
