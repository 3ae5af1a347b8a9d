//! Decides which VM queries the shards of a route.
//!
//! A shard may have no replica in this VM's data centre, so that traffic between data centres would
//! be paid for each of its parts; and a weak VM takes longer to assemble a page of 90 parts than
//! the objective allows, or has too few connections to the shards. Such parts are delegated to a
//! better placed VM, which queries all of them and returns one page. The VMs that query shards are
//! chosen by `fan_out_vms`.

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

/// The service under which peers are kept in the list of backend servers; no route leads to it.
const PEER_SERVICE: &str = "_peers";

/// The most times that a request is delegated: from a weak VM to a strong one in the same data
/// centre, and from there to one in the data centre of the replica.
const DELEGATION_HOPS_MAX: u8 = 2;

/// The fewest parts that are delegated as a bundle: a page of one part costs as much as the part.
const BUNDLE_PARTS_MIN: usize = 2;

/// How long changes are collected before the plans are rebuilt.
const PLAN_REBUILD_DELAY: Duration = Duration::from_millis(200);

/// Interval of the checks that all wanted peers are connected.
const PEER_RECONNECT_INTERVAL: Duration = Duration::from_secs(1);

/// The most connections to a peer, which is also the most bundles in flight to it.
const PEER_CONNECTIONS_MAX: Connections = Connections(16);

/// Which VMs query the shards of a route.
#[derive(Clone, Debug, Default)]
pub(crate) struct FanOutPlan {
    /// For each shard, the data centre whose VMs query it; `None` if this VM does.
    shards: Vec<Option<DataCentre>>,
    /// The VMs to delegate to in each of these data centres.
    peers: HashMap<DataCentre, Vec<ServerName>>,
}

impl Core {
    /// Schedules a rebuild of the plans after a change of routes, servers or VMs.
    ///
    /// A repartition adds hundreds of servers at once. Rebuilding the plans for each of them would
    /// delay the requests of a weak VM.
    pub(crate) fn mark_plans_stale(&mut self, now: Instant) {
        self.are_plans_stale = true;
        let at = now + PLAN_REBUILD_DELAY;
        self.rebuild_plans_at = Some(self.rebuild_plans_at.map_or(at, |planned| planned.min(at)));
    }

    /// Schedules a check of the connections to the wanted peers, of which one may have been lost.
    pub(crate) fn on_peer_connection_lost(&mut self, now: Instant) {
        let at = now + PEER_RECONNECT_INTERVAL;
        self.rebuild_plans_at = Some(self.rebuild_plans_at.map_or(at, |planned| planned.min(at)));
    }

    /// Rebuilds the plans if that is due, and connects to the peers that they name.
    pub(crate) fn rebuild_plans(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.rebuild_plans_at.is_none_or(|at| at > now) {
            return;
        }
        self.rebuild_plans_at = None;
        if std::mem::take(&mut self.are_plans_stale) {
            self.assign_connections(now, out);
            self.build_plans();
        }
        self.connect_peers(now, out);
    }

    /// Builds the plans of all fan-outs, and notes the peers that they name.
    fn build_plans(&mut self) {
        let Some(table) = self.table.clone() else {
            return;
        };
        self.plans.clear();
        let mut peers: BTreeSet<ServerName> = BTreeSet::new();
        for route in table.routes().filter(|r| r.is_scatter()) {
            let plan = self.build_plan(route);
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
        self.delegation_peers = peers;
    }

    /// Connects to the wanted peers that are not connected, and schedules the next check if there
    /// are any.
    fn connect_peers(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut is_any_unconnected = false;
        for name in &self.delegation_peers {
            let Some(view) = self.servers.by_name(name) else {
                continue;
            };
            if view.is_connected() {
                continue;
            }
            is_any_unconnected = true;
            out.push(Action::Connect {
                server: Arc::clone(&view.entry),
                connections_min: Connections(1),
                connections_max: PEER_CONNECTIONS_MAX,
            });
        }
        if is_any_unconnected {
            self.rebuild_plans_at = Some(now + PEER_RECONNECT_INTERVAL);
        }
    }

    /// Applies a new list of the announced VMs.
    pub(crate) fn on_vm_list(&mut self, now: Instant, vms: Vec<PeerVm>, out: &mut Vec<Action>) {
        let peers: Vec<ServerEntry> = vms
            .iter()
            .filter(|vm| vm.name != self.options.vm)
            .filter_map(peer_entry)
            .collect();
        let removed: Vec<ServerName> = self
            .registered_peers
            .iter()
            .filter(|name| !peers.iter().any(|p| p.name == **name))
            .cloned()
            .collect();
        for name in removed {
            self.registered_peers.remove(&name);
            self.remove(now, &name, out);
        }
        for entry in peers {
            let name = entry.name.clone();
            let is_same = self
                .servers
                .by_name(&name)
                .is_some_and(|v| *v.entry == entry);
            if !is_same {
                self.servers.register(now, Arc::new(entry));
                self.servers.set_connections(&name, PEER_CONNECTIONS_MAX);
                self.registered_peers.insert(name);
            }
        }
        self.peer_vms = PeerVms::new(vms);
        self.renew_slack(now);
        self.mark_plans_stale(now);
    }

    /// Returns the plan of a fan-out.
    fn build_plan(&self, route: &Route) -> FanOutPlan {
        let Target::Scatter(scatter) = &route.target else {
            return FanOutPlan::default();
        };
        if !self.connection_shares.runs_fan_outs() {
            return self.plan_delegating_all(scatter.shards.len());
        }
        let mut plan = FanOutPlan::default();
        for shard in &scatter.shards {
            let data_centre = self.peer_data_centre(shard);
            if let Some(data_centre) = &data_centre
                && !plan.peers.contains_key(data_centre)
            {
                plan.peers
                    .insert(data_centre.clone(), self.fan_out_vms_in(data_centre));
            }
            plan.shards.push(data_centre);
        }
        plan
    }

    /// Returns the plan of a VM that runs no fan-outs.
    ///
    /// All shards are delegated to the fan-out VMs of its data centre, or of another one in its
    /// region. If there are none, it queries the shards itself.
    fn plan_delegating_all(&self, shards: usize) -> FanOutPlan {
        let fan_out_vms = self
            .peer_vms
            .vms()
            .iter()
            .filter(|vm| self.connection_shares.is_fan_out_vm(vm));
        let near = fan_out_vms.filter(|vm| vm.region == self.options.region);
        let data_centres: BTreeSet<&DataCentre> = near.map(|vm| &vm.data_centre).collect();
        let own = &self.options.data_centre;
        let nearest = data_centres.get(own).or_else(|| data_centres.first());
        let Some(data_centre) = nearest.copied().cloned() else {
            return FanOutPlan::default();
        };
        FanOutPlan {
            peers: [(data_centre.clone(), self.fan_out_vms_in(&data_centre))].into(),
            shards: vec![Some(data_centre); shards],
        }
    }

    /// Returns the data centre from which a shard is best queried; `None` if that is this VM's own.
    fn peer_data_centre(&self, shard: &ServiceName) -> Option<DataCentre> {
        let views = self
            .servers
            .of_service(shard)
            .iter()
            .filter_map(|k| self.servers.get(*k));
        let mut data_centres: Vec<&DataCentre> = views
            .filter(|v| v.accepts_work())
            .map(|v| &v.entry.data_centre)
            .collect();
        if data_centres.contains(&&self.options.data_centre) {
            return None;
        }
        data_centres.retain(|data_centre| !self.fan_out_vms_in(data_centre).is_empty());
        // Data centres of the same region first; then by name, so that few peers receive large
        // bundles.
        let is_other_region = |data_centre: &DataCentre| {
            self.options.regions.get(data_centre) != Some(&self.options.region)
        };
        data_centres
            .sort_unstable_by_key(|data_centre| (is_other_region(data_centre), *data_centre));
        data_centres.first().copied().cloned()
    }

    /// Returns the names of the VMs that run fan-outs in a data centre, without this one.
    fn fan_out_vms_in(&self, data_centre: &DataCentre) -> Vec<ServerName> {
        let vms = self.peer_vms.vms().iter();
        let there = vms.filter(|vm| vm.data_centre == *data_centre && vm.name != self.options.vm);
        let fan_out_vms = there.filter(|vm| self.connection_shares.is_fan_out_vm(vm));
        fan_out_vms.filter_map(peer_name).collect()
    }

    /// Returns whether a shard of a route is delegated to a peer.
    pub(crate) fn is_delegated(&self, route: &Route, shard: usize) -> bool {
        let plan = self.plans.get(&route.name);
        plan.is_some_and(|p| p.shards.get(shard).is_some_and(Option::is_some))
    }

    /// Returns the bundles of a request that is about to start: each peer with the positions of its
    /// parts.
    pub(crate) fn choose_bundles(
        &mut self,
        now: Instant,
        request: &ActiveRequest,
    ) -> Vec<(ServerKey, Vec<usize>)> {
        if request.hops >= DELEGATION_HOPS_MAX
            || !request.route.is_scatter()
            || now >= request.objective_at
        {
            return Vec::new();
        }
        let Some(plan) = self.plans.get(&request.route.name) else {
            return Vec::new();
        };
        let mut by_data_centre: HashMap<&DataCentre, Vec<usize>> = HashMap::new();
        for (at, part) in request.parts.iter().enumerate() {
            if let Some(Some(data_centre)) = plan.shards.get(usize::from(part.shard)) {
                by_data_centre.entry(data_centre).or_default().push(at);
            }
        }
        let mut bundles = Vec::new();
        for (data_centre, parts) in by_data_centre {
            let names = plan.peers.get(data_centre).map_or(&[][..], |n| n);
            if parts.len() >= BUNDLE_PARTS_MIN
                && let Some(peer) = choose_peer(now, &self.servers, names, &mut self.rng)
            {
                bundles.push((peer, parts));
            }
        }
        // The iteration order of a hash map differs between runs, and the same events must give the
        // same actions.
        bundles.sort_unstable_by(|a, b| a.1.cmp(&b.1));
        bundles
    }
}

/// Returns the usable peer with the fewest bundles in flight; ties are broken at random.
fn choose_peer(
    now: Instant,
    servers: &Servers,
    names: &[ServerName],
    rng: &mut ChaCha8Rng,
) -> Option<ServerKey> {
    let mut best: Option<(ServerKey, (usize, u32))> = None;
    for name in names {
        let Some((key, view)) = servers.find_by_name(name) else {
            continue;
        };
        let is_usable = view.accepts_work()
            && view.is_connected()
            && view.has_free_connection()
            && view.backoff_until(now).is_none();
        let cost = (view.outstanding.len(), rng.random());
        if is_usable && best.is_none_or(|(_, least)| cost < least) {
            best = Some((key, cost));
        }
    }
    best.map(|(key, _)| key)
}

/// Returns the name of a peer in the list of servers.
pub(crate) fn peer_name(vm: &PeerVm) -> Option<ServerName> {
    vm.name.as_str().parse().ok()
}

fn peer_entry(vm: &PeerVm) -> Option<ServerEntry> {
    Some(ServerEntry {
        name: peer_name(vm)?,
        service: PEER_SERVICE.parse().ok()?,
        addr: vm.addr,
        data_centre: vm.data_centre.clone(),
        slots: Slots(PEER_CONNECTIONS_MAX.0),
        availability: Availability::Ready,
        warming: Duration::ZERO,
        born: None,
    })
}
