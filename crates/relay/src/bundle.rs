//! Parts that another VM asks for: the life of a bundle.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::abandon::AbandonReason;
use crate::action::Action;
use crate::action::Delegation;
use crate::action::Dispatch;
use crate::active_request::ActiveRequest;
use crate::active_request::PartState;
use crate::attempt::Attempt;
use crate::attempt::AttemptKey;
use crate::attempt::AttemptState;
use crate::attempt::Cause;
use crate::outcome::Missing;
use crate::outcome::Page;
use crate::possible_servers::PossibleServers;
use crate::relay::Core;
use crate::reply::AttemptEnd;
use crate::servers::ServerKey;

/// The part number of a bundle; a fan-out has far fewer parts.
pub(crate) const BUNDLE_PART_NUMBER: u16 = u16::MAX;

/// How long after the objective a peer may still answer whose parts are not needed for an answer: it sends what
/// it has in time for the objective, so one that has not answered then is out of reach.
const OPTIONAL_PEER_GRACE: Duration = Duration::from_millis(60);

/// The same where its parts are needed: it waits for them, and a usual pause of a server is over by then.
const REQUIRED_PEER_GRACE: Duration = Duration::from_millis(200);

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
    pub(crate) fn begin(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        out: &mut Vec<Action>,
    ) {
        let route = Arc::clone(&request.route);
        self.times(&route);
        request.parts = self.parts_of(&route, request.only.as_deref());
        for (peer, parts) in self.bundles_for(now, request) {
            self.send_bundle(now, request, peer, parts, out);
        }
        for at in 0..request.parts.len() {
            if request.parts[at].state != PartState::Bundled {
                self.start_part(now, request, at, out);
            }
        }
    }

    fn start_part(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        at: usize,
        out: &mut Vec<Action>,
    ) {
        let service = request.parts[at].service.clone();
        self.service(&service).extra.request(now);
        self.try_part(now, request, at, Cause::First, out);
    }

    fn send_bundle(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        peer: ServerKey,
        parts: Vec<usize>,
        out: &mut Vec<Action>,
    ) {
        let id = AttemptKey {
            lookup: request.seq,
            part: BUNDLE_PART_NUMBER,
            // There are far fewer data centres than 2^16.
            attempt: request.bundles.len() as u16,
        };
        let Some(view) = self.servers.get_mut(peer) else {
            return;
        };
        view.begun(now, id);
        let place = &view.entry.data_centre;
        let transit = self
            .delegation_times
            .round_trip(place, self.round_trips.round_trip(place));
        for at in &parts {
            request.parts[*at].state = PartState::Bundled;
        }
        let on_time = request.objective_at.saturating_duration_since(now);
        let others = request.parts.len() - parts.len();
        let parts_wanted = request.parts_wanted.saturating_sub(others);
        let grace = if parts_wanted > 0 {
            REQUIRED_PEER_GRACE
        } else {
            OPTIONAL_PEER_GRACE
        };
        let attempt_timeout = (on_time + grace).min(request.left(now));
        out.push(Action::Send(Dispatch {
            attempt: id,
            server: Arc::clone(&view.entry),
            id: Arc::clone(&request.req.id),
            content: Arc::clone(&request.req.content),
            time_left: request.caller_timeout.saturating_sub(now - request.arrived),
            attempt_timeout,
            once: false,
            keep_connection: true,
            delegation: Some(Delegation {
                host: request.req.host.clone(),
                route: request.route.fingerprint(),
                on_time: on_time.saturating_sub(transit),
                latest: attempt_timeout.saturating_sub(transit),
                parts_wanted,
                shards: parts.iter().map(|at| request.parts[*at].shard).collect(),
                hops: request.hops + 1,
            }),
        }));
        let attempt = Attempt {
            server: peer,
            at: now,
            state: AttemptState::Live,
            cause: Cause::First,
            rounds: 0.0,
            ended: None,
        };
        request.bundles.push(Bundle {
            attempt,
            parts,
            page: None,
        });
        self.counters.bundles += 1;
        self.arm(request, request.objective_at);
    }

    /// Takes in the end of a bundle.
    pub(crate) fn bundle_ended(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        id: AttemptKey,
        end: AttemptEnd,
        out: &mut Vec<Action>,
    ) {
        let Some(bundle) = request.bundles.get_mut(usize::from(id.attempt)) else {
            log::error!("event=bundle-unknown attempt={id}");
            return;
        };
        bundle.attempt.state = match &end {
            AttemptEnd::NotSent | AttemptEnd::Shed(_) | AttemptEnd::Overloaded(_) => {
                AttemptState::NotRun
            }
            _ => AttemptState::Ran,
        };
        bundle.attempt.ended = Some((now, (&end).into()));
        let (server, begun) = (bundle.attempt.server, bundle.attempt.at);
        let parts = bundle.parts.clone();
        let route = request.route.name.clone();
        if let AttemptEnd::Paged(_, Some(held)) = end {
            self.note_transit(server, now - begun, held);
        }
        self.update_server_health(now, server, id, (begun, 0.0), &route, &end);
        match end {
            AttemptEnd::Paged(page, _) if is_sound(request, &parts, &page) => {
                self.take_page(now, request, usize::from(id.attempt), page, out);
            }
            AttemptEnd::Overloaded(retry) => {
                // Whoever asks for the parts has no room for them; asked for here, they would only add to
                // the load that they were refused for.
                request.retry_after = Some(retry);
                for at in parts {
                    self.abandon_part(request, at, AbandonReason::PeerFull);
                }
            }
            // Nothing of it has reached a server.
            AttemptEnd::NotSent | AttemptEnd::Shed(_) => {
                self.counters.bundles_failed += 1;
                for at in parts {
                    self.start_part(now, request, at, out);
                }
            }
            _ => {
                self.counters.bundles_failed += 1;
                for at in parts {
                    request.parts[at].possible_servers = PossibleServers::Unknown;
                    self.try_part(now, request, at, Cause::Retry, out);
                }
            }
        }
    }

    fn note_transit(&mut self, peer: ServerKey, took: Duration, held: Duration) {
        if let Some(view) = self.servers.get(peer) {
            self.delegation_times
                .observe(&view.entry.data_centre, took, held);
        }
    }

    fn take_page(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        n: usize,
        page: Box<Page>,
        out: &mut Vec<Action>,
    ) {
        let mut missing = Vec::with_capacity(page.missing.len());
        for at in request.bundles[n].parts.clone() {
            let part = &mut request.parts[at];
            if let Some(m) = page.missing.iter().find(|m| m.shard == part.shard) {
                part.possible_servers = m.possible_servers.clone();
                missing.push(at);
            } else {
                part.state = PartState::Whole;
                request.whole += 1;
            }
        }
        if !page.stamps.is_empty() {
            self.survived_elsewhere(request);
        }
        request.bundles[n].page = Some(page);
        // The peer has waited for them; they are of use only below the least coverage.
        let is_enough = request.whole >= request.parts_wanted;
        for at in missing {
            if is_enough {
                self.abandon_part(request, at, AbandonReason::Enough);
            } else {
                self.try_part(now, request, at, Cause::Retry, out);
            }
        }
    }
}

/// Whether a page tells of each part that was asked for, and of no other.
fn is_sound(request: &ActiveRequest, parts: &[usize], page: &Page) -> bool {
    let is_ours = |m: &Missing| parts.iter().any(|at| request.parts[*at].shard == m.shard);
    page.stamps.len() + page.missing.len() == parts.len() && page.missing.iter().all(is_ours)
}
