//! Which VM asks for a part.
//!
//! The load it answers: a shard without a replica in this VM's data centre, whose parts would each be
//! paid for on their way from another one, and a weak VM, which takes longer to put 90 parts together
//! than the objective allows. Such parts are left to a better placed VM, which asks for all of them and
//! sends back one page.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::action::Action;
use crate::active_request::ActiveRequest;
use crate::entry::Availability;
use crate::entry::ServerEntry;
use crate::peer_vms::PeerVm;
use crate::peer_vms::PeerVms;
use crate::relay::Core;
use crate::route::Route;
use crate::route::Target;
use crate::servers::ServerKey;
use crate::servers::Servers;

/// The service under which peers are kept beside backend servers; no route leads to it.
const PEERS: &str = "_peers";

/// The most VMs between a caller and a server: a weak one, a strong one beside it, and one beside the
/// replica.
const HOPS_MAX: u8 = 2;

/// The fewest parts that are worth a bundle: a page of one costs as much as its part.
const BUNDLE_MIN: usize = 2;

/// How long changes are gathered before the plans are made anew.
const REPLAN_AFTER: Duration = Duration::from_millis(200);

/// When it is looked again whether all peers wanted are connected.
const RECONNECT_AFTER: Duration = Duration::from_secs(1);

/// The most connections to a peer: hand-overs under way at the same time.
const PEER_CONNECTIONS: Connections = Connections(16);

/// Who asks for the parts of a route.
#[derive(Clone, Debug, Default)]
pub(crate) struct FanOutPlan {
    /// For each shard, the data centre where a peer asks for it; `None` where this VM does.
    shards: Vec<Option<DataCentre>>,
    /// The peers of each of these data centres.
    peers: HashMap<DataCentre, Vec<ServerName>>,
}

impl Core {
    /// Notes that routes, servers or VMs have changed.
    ///
    /// A repartition brings hundreds of servers in a moment; made anew for each of them, the plans would
    /// hold up a weak VM's requests.
    pub(crate) fn mark_plans_stale(&mut self, now: Instant) {
        self.are_plans_stale = true;
        let at = now + REPLAN_AFTER;
        self.replan_at = Some(self.replan_at.map_or(at, |planned| planned.min(at)));
    }

    /// Notes that a peer that is wanted may no longer be connected.
    pub(crate) fn peer_lost(&mut self, now: Instant) {
        let at = now + RECONNECT_AFTER;
        self.replan_at = Some(self.replan_at.map_or(at, |planned| planned.min(at)));
    }

    /// Makes the plans anew if it is time, and connects to the peers that they name.
    pub(crate) fn rebuild_plans(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.replan_at.is_none_or(|at| at > now) {
            return;
        }
        self.replan_at = None;
        if std::mem::take(&mut self.are_plans_stale) {
            self.assign_connections(out);
            self.make_plans();
        }
        self.connect_peers(now, out);
    }

    fn make_plans(&mut self) {
        let Some(table) = self.table.clone() else {
            return;
        };
        self.plans.clear();
        let mut peers: BTreeSet<ServerName> = BTreeSet::new();
        for route in table.routes().filter(|r| r.is_scatter()) {
            let plan = self.make_plan(route);
            peers.extend(plan.peers.values().flatten().cloned());
            log::debug!(
                "event=plan route={} version={} vms={} shards_elsewhere={} peers={}",
                route.name,
                table.version(),
                self.peer_vms.vms().len(),
                plan.shards.iter().flatten().count(),
                plan.peers.len(),
            );
            self.plans.insert(route.name.clone(), plan);
        }
        self.peers_wanted = peers;
    }

    /// Connects to the peers that are wanted and not connected, and looks again after a while.
    fn connect_peers(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut is_one_away = false;
        for name in &self.peers_wanted {
            let Some(view) = self.servers.by_name(name) else {
                continue;
            };
            if view.is_connected() {
                continue;
            }
            is_one_away = true;
            out.push(Action::Connect {
                server: Arc::clone(&view.entry),
                connections_min: Connections(1),
                connections_max: PEER_CONNECTIONS,
            });
        }
        if is_one_away {
            self.replan_at = Some(now + RECONNECT_AFTER);
        }
    }

    /// Takes in the VMs that are there.
    pub(crate) fn on_vms(&mut self, now: Instant, vms: Vec<PeerVm>, out: &mut Vec<Action>) {
        let peers: Vec<ServerEntry> = vms
            .iter()
            .filter(|vm| vm.name != self.options.vm)
            .filter_map(peer_entry)
            .collect();
        let gone: Vec<ServerName> = self
            .peers_known
            .iter()
            .filter(|name| !peers.iter().any(|p| p.name == **name))
            .cloned()
            .collect();
        for name in gone {
            self.peers_known.remove(&name);
            self.remove(&name, out);
        }
        for entry in peers {
            let name = entry.name.clone();
            let is_same = self
                .servers
                .by_name(&name)
                .is_some_and(|v| *v.entry == entry);
            if !is_same {
                self.servers.register(now, Arc::new(entry));
                self.servers.set_connections(&name, PEER_CONNECTIONS);
                self.peers_known.insert(name);
            }
        }
        self.peer_vms = PeerVms::new(vms);
        self.mark_plans_stale(now);
    }

    fn make_plan(&self, route: &Route) -> FanOutPlan {
        let Target::Scatter(scatter) = &route.target else {
            return FanOutPlan::default();
        };
        if !self.connection_shares.runs_fan_outs() {
            return self.plan_of_weak(scatter.shards.len());
        }
        let mut plan = FanOutPlan::default();
        for shard in &scatter.shards {
            let place = self.place_of(shard);
            if let Some(place) = &place
                && !plan.peers.contains_key(place)
            {
                plan.peers.insert(place.clone(), self.strong_in(place));
            }
            plan.shards.push(place);
        }
        plan
    }

    /// A weak VM leaves everything to the strong ones nearest to it.
    fn plan_of_weak(&self, shards: usize) -> FanOutPlan {
        let strong = self
            .peer_vms
            .vms()
            .iter()
            .filter(|vm| self.connection_shares.is_fan_out_vm(vm));
        let near = strong.filter(|vm| vm.region == self.options.region);
        let places: BTreeSet<&DataCentre> = near.map(|vm| &vm.data_centre).collect();
        let mine = &self.options.data_centre;
        let nearest = places.get(mine).or_else(|| places.first());
        let Some(place) = nearest.copied().cloned() else {
            return FanOutPlan::default();
        };
        FanOutPlan {
            peers: [(place.clone(), self.strong_in(&place))].into(),
            shards: vec![Some(place); shards],
        }
    }

    /// The data centre where a shard is best asked for; `None` if that is here.
    fn place_of(&self, shard: &ServiceName) -> Option<DataCentre> {
        let views = self
            .servers
            .of(shard)
            .iter()
            .filter_map(|k| self.servers.get(*k));
        let mut places: Vec<&DataCentre> = views
            .filter(|v| v.is_open())
            .map(|v| &v.entry.data_centre)
            .collect();
        if places.contains(&&self.options.data_centre) {
            return None;
        }
        places.retain(|place| !self.strong_in(place).is_empty());
        // Those of the same region first; in the order of names, so that few peers get large bundles.
        let is_far =
            |place: &DataCentre| self.options.regions.get(place) != Some(&self.options.region);
        places.sort_unstable_by_key(|place| (is_far(place), *place));
        places.first().copied().cloned()
    }

    /// The strong VMs of a data centre, this one aside.
    fn strong_in(&self, place: &DataCentre) -> Vec<ServerName> {
        let vms = self.peer_vms.vms().iter();
        let there = vms.filter(|vm| vm.data_centre == *place && vm.name != self.options.vm);
        let strong = there.filter(|vm| self.connection_shares.is_fan_out_vm(vm));
        strong.filter_map(peer_name).collect()
    }

    /// Whether a shard of a route is left to a peer.
    pub(crate) fn is_delegated(&self, route: &Route, shard: usize) -> bool {
        let plan = self.plans.get(&route.name);
        plan.is_some_and(|p| p.shards.get(shard).is_some_and(Option::is_some))
    }

    /// The bundles of a request that is about to begin.
    pub(crate) fn bundles_for(
        &mut self,
        now: Instant,
        request: &ActiveRequest,
    ) -> Vec<(ServerKey, Vec<usize>)> {
        if request.hops >= HOPS_MAX || !request.route.is_scatter() || now >= request.objective_at {
            return Vec::new();
        }
        let Some(plan) = self.plans.get(&request.route.name) else {
            return Vec::new();
        };
        let mut by_place: HashMap<&DataCentre, Vec<usize>> = HashMap::new();
        for (at, part) in request.parts.iter().enumerate() {
            if let Some(Some(place)) = plan.shards.get(usize::from(part.shard)) {
                by_place.entry(place).or_default().push(at);
            }
        }
        let mut bundles = Vec::new();
        for (place, parts) in by_place {
            let names = plan.peers.get(place).map_or(&[][..], |n| n);
            if parts.len() >= BUNDLE_MIN
                && let Some(peer) = choose_peer(now, &self.servers, names, &mut self.rng)
            {
                bundles.push((peer, parts));
            }
        }
        // A hash map's order is not the same in each run.
        bundles.sort_unstable_by(|a, b| a.1.cmp(&b.1));
        bundles
    }
}

/// The peer with the least bundles under way that can be reached.
fn choose_peer(
    now: Instant,
    servers: &Servers,
    names: &[ServerName],
    rng: &mut ChaCha8Rng,
) -> Option<ServerKey> {
    let mut best: Option<(ServerKey, (usize, u32))> = None;
    for name in names {
        let Some((key, view)) = servers.find(name) else {
            continue;
        };
        let is_usable = view.is_open()
            && view.is_connected()
            && view.has_connection()
            && view.backoff_until(now).is_none();
        let cost = (view.outstanding.len(), rng.random());
        if is_usable && best.is_none_or(|(_, least)| cost < least) {
            best = Some((key, cost));
        }
    }
    best.map(|(key, _)| key)
}

/// A peer's name among the servers.
pub(crate) fn peer_name(vm: &PeerVm) -> Option<ServerName> {
    vm.name.as_str().parse().ok()
}

fn peer_entry(vm: &PeerVm) -> Option<ServerEntry> {
    Some(ServerEntry {
        name: peer_name(vm)?,
        service: PEERS.parse().ok()?,
        addr: vm.addr,
        data_centre: vm.data_centre.clone(),
        slots: Slots(PEER_CONNECTIONS.0),
        availability: Availability::Ready,
        warming: Duration::ZERO,
        born: None,
    })
}
