//! Starts requests, and handles their bundles: batches of parts delegated to one peer, from their
//! dispatch to their end.

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
use crate::outcome::MissingPart;
use crate::outcome::Page;
use crate::possible_servers::PossibleServers;
use crate::relay::Core;
use crate::reply::AttemptEnd;
use crate::servers::ServerKey;

/// The part number that stands for a bundle; a fan-out has far fewer parts.
pub(crate) const BUNDLE_PART_NUMBER: u16 = u16::MAX;

/// Wait after the objective for a peer whose parts are not needed for an answer: it sends the parts
/// that it has in time for the objective, so one that has not answered by then is unreachable.
const OPTIONAL_PEER_GRACE: Duration = Duration::from_millis(60);

/// Wait after the objective for a peer whose parts are needed: it waits for them, and a usual stall
/// of a server is over by then.
const REQUIRED_PEER_GRACE: Duration = Duration::from_millis(200);

/// The largest fraction of the time to the objective that is left for the network. A pause of this
/// VM counts as network time, and a peer without any time refuses the parts; no page would then come
/// back that shows how long the network takes.
const NETWORK_FRACTION_MAX: f64 = 0.5;

/// Parts of a request that are delegated to one peer.
#[derive(Debug)]
pub(crate) struct Bundle {
    pub(crate) attempt: Attempt,
    /// The positions of the parts in the request.
    pub(crate) parts: Vec<usize>,
    /// The page that the peer returned.
    pub(crate) page: Option<Box<Page>>,
}

impl Core {
    /// Starts a request: delegates the parts that are better queried by peers and dispatches the
    /// others.
    pub(crate) fn start_request(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        out: &mut Vec<Action>,
    ) {
        let route = Arc::clone(&request.route);
        self.route_times(&route);
        // A part that waits for a server has no attempt whose checks would end the wait.
        self.schedule_check(request, request.objective_at);
        request.parts = self.create_parts(&route, request.shards_wanted.as_deref());
        for (peer, parts) in self.choose_bundles(now, request) {
            self.send_bundle(now, request, peer, parts, out);
        }
        for index in 0..request.parts.len() {
            if request.parts[index].state != PartState::Bundled {
                self.start_part(now, request, index, out);
            }
        }
    }

    /// Makes the initial attempt at a part from this VM.
    fn start_part(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        index: usize,
        out: &mut Vec<Action>,
    ) {
        let service = request.parts[index].service.clone();
        self.service_state(&service).extra_budget.note_request(now);
        self.try_part(now, request, index, Cause::First, out);
    }

    /// Delegates parts to a peer.
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
        view.on_dispatched(now, id);
        let data_centre = &view.entry.data_centre;
        let on_time = request.objective_at.saturating_duration_since(now);
        let round_trip = self
            .delegation_times
            .round_trip(data_centre, self.round_trips.round_trip(data_centre))
            .min(on_time.mul_f64(NETWORK_FRACTION_MAX));
        for index in &parts {
            request.parts[*index].state = PartState::Bundled;
        }
        let others = request.parts.len() - parts.len();
        let parts_wanted = request.parts_wanted.saturating_sub(others);
        let grace = if parts_wanted > 0 {
            REQUIRED_PEER_GRACE
        } else {
            OPTIONAL_PEER_GRACE
        };
        let attempt_timeout = (on_time + grace).min(request.time_to_answer(now));
        out.push(Action::Send(Dispatch {
            attempt: id,
            server: Arc::clone(&view.entry),
            id: Arc::clone(&request.req.id),
            content: Arc::clone(&request.req.content),
            time_left: request
                .caller_timeout
                .saturating_sub(now - request.arrived_at),
            attempt_timeout,
            once: false,
            keep_connection: true,
            delegation: Some(Delegation {
                host: request.req.host.clone(),
                route: request.route.fingerprint(),
                on_time: on_time.saturating_sub(round_trip),
                latest: attempt_timeout.saturating_sub(round_trip),
                parts_wanted,
                shards: parts
                    .iter()
                    .map(|index| request.parts[*index].shard)
                    .collect(),
                hops: request.hops + 1,
            }),
        }));
        let attempt = Attempt {
            server: peer,
            dispatched_at: now,
            state: AttemptState::InFlight,
            cause: Cause::First,
            rounds_ahead: 0.0,
            budget_use: None,
            ended: None,
        };
        request.bundles.push(Bundle {
            attempt,
            parts,
            page: None,
        });
        self.counters.bundles += 1;
        self.schedule_check(request, request.objective_at);
    }

    /// Handles the end of a bundle.
    ///
    /// - If the peer returned a page, the parts on it are complete. The missing ones are retried if
    ///   fewer parts of the request are complete than are wanted, and abandoned otherwise.
    /// - If the peer had no capacity, the parts are abandoned.
    /// - If nothing was run there for another reason, the parts are started from this VM.
    /// - After any other end, any server may have executed the parts, and they are retried.
    pub(crate) fn on_bundle_ended(
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
            AttemptEnd::NotSent => AttemptState::NotSent,
            AttemptEnd::Shed(_) | AttemptEnd::Overloaded(_) => AttemptState::Rejected,
            _ => AttemptState::MayHaveRun,
        };
        bundle.attempt.ended = Some((now, (&end).into()));
        let (server, dispatched_at) = (bundle.attempt.server, bundle.attempt.dispatched_at);
        let parts = bundle.parts.clone();
        let route = request.route.name.clone();
        if let AttemptEnd::Paged(_, Some(held)) = end {
            self.note_delegation_time(server, now - dispatched_at, held);
        }
        self.update_server_health(now, server, id, (dispatched_at, 0.0), &route, &end);
        match end {
            AttemptEnd::Paged(page, _) if is_page_consistent(request, &parts, &page) => {
                self.apply_page(now, request, usize::from(id.attempt), page, out);
            }
            AttemptEnd::Overloaded(retry) => {
                // The peer has no capacity for the parts. Querying the servers from here would only
                // add to the load for which it refused them.
                request.retry_after = Some(retry);
                for index in parts {
                    self.abandon_part(request, index, AbandonReason::PeerFull);
                }
            }
            // None of the parts has reached a server.
            AttemptEnd::NotSent | AttemptEnd::Shed(_) => {
                self.counters.bundles_failed += 1;
                for index in parts {
                    self.start_part(now, request, index, out);
                }
            }
            _ => {
                self.counters.bundles_failed += 1;
                for index in parts {
                    request.parts[index].possible_servers = PossibleServers::Unknown;
                    self.retry_or_hold(now, request, index, Cause::Retry, out);
                }
            }
        }
    }

    fn note_delegation_time(&mut self, peer: ServerKey, took: Duration, held: Duration) {
        if let Some(view) = self.servers.get(peer) {
            self.delegation_times
                .observe(&view.entry.data_centre, took, held);
        }
    }

    /// Applies the page that a peer returned for a bundle.
    fn apply_page(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        n: usize,
        page: Box<Page>,
        out: &mut Vec<Action>,
    ) {
        let mut missing = Vec::with_capacity(page.missing.len());
        for index in request.bundles[n].parts.clone() {
            let part = &mut request.parts[index];
            if let Some(m) = page.missing.iter().find(|m| m.shard == part.shard) {
                part.possible_servers = m.possible_servers.clone();
                missing.push(index);
            } else {
                part.state = PartState::Complete;
                request.complete += 1;
            }
        }
        if !page.stamps.is_empty() {
            self.note_executed_at_peer(now, request, out);
        }
        request.bundles[n].page = Some(page);
        // The peer has already waited for the missing parts, so they are retried only if fewer
        // parts are complete than are wanted.
        let is_enough = request.complete >= request.parts_wanted;
        for index in missing {
            if is_enough {
                self.abandon_part(request, index, AbandonReason::Enough);
            } else {
                self.retry_or_hold(now, request, index, Cause::Retry, out);
            }
        }
    }
}

/// Returns whether a page accounts for each requested part and for no other.
fn is_page_consistent(request: &ActiveRequest, parts: &[usize], page: &Page) -> bool {
    let is_ours = |m: &MissingPart| {
        parts
            .iter()
            .any(|index| request.parts[*index].shard == m.shard)
    };
    page.stamps.len() + page.missing.len() == parts.len() && page.missing.iter().all(is_ours)
}
