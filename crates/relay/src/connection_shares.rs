//! How many connections this VM holds to each backend server.
//!
//! The load it answers: a server accepts so many connections from everyone and resets what is beyond,
//! so with tens of VMs and hundreds of servers not every VM can hold one to each. Those that run
//! fan-outs share most of what the shards accept; all others keep to one, for when no peer is there.

use std::collections::HashMap;
use std::collections::HashSet;

use gs_types::prelude::*;

use crate::entry::ServerEntry;
use crate::fan_out_vms::FAN_OUT_FRACTION;
use crate::fan_out_vms::choose_fan_out_vms;
use crate::peer_vms::PeerVm;
use crate::peer_vms::PeerVms;
use crate::relay::Core;
use crate::subset::is_scarce;
use crate::subset::server_subset;
use crate::table::ServiceDecl;

/// Connections to a server whose service no route names.
const UNDECLARED: Connections = Connections(1);

/// Connections held open to each server in this VM's data centre, if its share allows.
const WARM_NEAR: u32 = 2;

/// Connections held open to each server elsewhere.
const WARM_FAR: u32 = 1;

/// Who shares the connections to servers with this VM.
#[derive(Debug, Default)]
pub(crate) struct ConnectionShares {
    /// Services that are shards of a fan-out.
    shards: HashSet<ServiceName>,
    /// All services that a route names.
    routed: HashSet<ServiceName>,
    /// Whether the VMs are known; before, each VM keeps to one connection to a server, as all of a
    /// fleet that starts together would else open more than the servers accept.
    knows_vms: bool,
    /// Whether this VM runs fan-outs.
    runs: bool,
    /// The names of those that do.
    names: HashSet<VmId>,
    /// VMs that run fan-outs.
    fan_out_vms: Headcount,
    /// All VMs.
    all: Headcount,
    /// The servers that this VM uses of services that accept fewer connections than there are VMs.
    subsets: HashMap<ServiceName, HashSet<ServerName>>,
    /// Services, other than shards, that accept fewer connections in all than there are VMs.
    scarce: HashSet<ServiceName>,
}

/// How many VMs there are.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Headcount {
    /// Those that are listed.
    listed: u32,
    /// Those that may be there, some that have just been added included.
    vms_max: u32,
}

impl Default for Headcount {
    fn default() -> Self {
        Self::of(1)
    }
}

impl Headcount {
    fn of(listed: usize) -> Self {
        Self {
            // There are far fewer VMs than 2^32.
            listed: (listed as u32).max(1),
            vms_max: PeerVms::vms_max(listed).max(1),
        }
    }

    /// The part of so many connections that is each listed VM's.
    ///
    /// One that is not listed yet keeps to a single connection until it knows the others, so no more is
    /// held back for it. A whole part each held back left a third of what servers accept unused, and a
    /// second attempt was not made where the few connections to the other replica were busy.
    fn share_of(self, connections: f64) -> f64 {
        let unlisted = self.vms_max - self.listed;
        (connections - f64::from(unlisted)) / f64::from(self.listed)
    }
}

impl ConnectionShares {
    pub(crate) fn new(core: &Core) -> Self {
        let (mut routed, mut shards) = (HashSet::new(), HashSet::new());
        for route in core.table.iter().flat_map(|t| t.routes()) {
            routed.extend(route.services().cloned());
            if route.is_scatter() {
                shards.extend(route.services().cloned());
            }
        }
        if core.peer_vms.is_empty() {
            return Self {
                shards,
                routed,
                knows_vms: false,
                runs: true,
                names: HashSet::new(),
                fan_out_vms: Headcount::of(core.options.peers as usize),
                all: Headcount::of(core.options.peers as usize),
                subsets: HashMap::new(),
                scarce: HashSet::new(),
            };
        }
        let declared = core.table.iter().flat_map(|t| t.services_of(&shards));
        let least = declared.map(|s| s.connections).min();
        let fan_out_vms = choose_fan_out_vms(&core.peer_vms, least);
        let names: HashSet<VmId> = fan_out_vms.iter().map(|vm| vm.name.clone()).collect();
        let (subsets, scarce) = subsets(core, routed.difference(&shards));
        Self {
            shards,
            routed,
            knows_vms: true,
            runs: names.contains(&core.options.vm),
            names,
            fan_out_vms: Headcount::of(fan_out_vms.len()),
            all: Headcount::of(core.peer_vms.vms().len()),
            subsets,
            scarce,
        }
    }

    /// Whether this VM asks for parts by itself.
    pub(crate) fn runs_fan_outs(&self) -> bool {
        self.runs
    }

    /// Whether a VM runs fan-outs.
    pub(crate) fn is_fan_out_vm(&self, vm: &PeerVm) -> bool {
        !self.knows_vms || self.names.contains(&vm.name)
    }

    /// The VMs that send to the servers of a route.
    pub(crate) fn sending_vms(&self, is_scatter: bool) -> u32 {
        let head = if is_scatter {
            self.fan_out_vms
        } else {
            self.all
        };
        head.listed
    }

    /// Whether this VM sends to a server while others of its service are there.
    pub(crate) fn is_in_subset(&self, server: &ServerEntry) -> bool {
        let subset = self.subsets.get(&server.service);
        subset.is_none_or(|names| names.contains(&server.name))
    }

    /// The most connections to a server of a service.
    pub(crate) fn connections_max(
        &self,
        decl: Option<&ServiceDecl>,
        service: &ServiceName,
    ) -> Connections {
        let Some(limit) = decl.map(|s| f64::from(s.connections.0)) else {
            return UNDECLARED;
        };
        let share = if !self.knows_vms {
            1.0
        } else if !self.shards.contains(service) {
            self.all.share_of(limit)
        } else if self.runs {
            self.fan_out_vms.share_of(limit * self.fan_out_fraction())
        } else {
            1.0
        };
        Connections((share as u32).max(1))
    }

    /// Whether this VM keeps a connection to a server of a service once its request has ended.
    ///
    /// Where there are not enough for one each, a VM that keeps an idle one takes it from another, whose new
    /// connection the server resets under its request.
    pub(crate) fn keeps_idle_connection(
        &self,
        decl: Option<&ServiceDecl>,
        service: &ServiceName,
    ) -> bool {
        if !self.knows_vms {
            return true;
        }
        if !self.shards.contains(service) {
            return !self.scarce.contains(service);
        }
        // The servers of a shard leave few to the VMs that run no fan-outs.
        let left = decl.map_or(0.0, |s| {
            f64::from(s.connections.0) * (1.0 - FAN_OUT_FRACTION)
        });
        let others = self.all.listed.saturating_sub(self.fan_out_vms.listed);
        self.runs || f64::from(others) <= left
    }

    /// This VM's part of the extra attempts that a service allows all VMs besides.
    pub(crate) fn slack_share(&self, service: &ServiceName) -> f64 {
        let all = f64::from(self.all.vms_max.max(1));
        if !self.shards.contains(service) {
            return 1.0 / all;
        }
        if self.runs {
            self.fan_out_fraction() / f64::from(self.fan_out_vms.vms_max.max(1))
        } else {
            (1.0 - FAN_OUT_FRACTION) / all
        }
    }

    fn fan_out_fraction(&self) -> f64 {
        if self.fan_out_vms == self.all {
            1.0
        } else {
            FAN_OUT_FRACTION
        }
    }

    /// Connections to hold open to a server of a service.
    ///
    /// The servers of a new cut of an index register before routes name them. All VMs connected to them then
    /// are more than they accept, and each connection takes a slot for a moment; those that will run fan-outs
    /// are enough.
    pub(crate) fn connections_min(&self, service: &ServiceName, is_near: bool) -> Connections {
        let is_for_runners = self.shards.contains(service) || !self.routed.contains(service);
        let is_idle = !self.knows_vms || (is_for_runners && !self.runs);
        Connections(match is_near {
            _ if is_idle || self.scarce.contains(service) => 0,
            true => WARM_NEAR,
            false => WARM_FAR,
        })
    }
}

/// The servers that this VM uses of each of these services that has too few connections for all VMs, and the
/// services whose servers have too few together.
fn subsets<'a>(
    core: &Core,
    services: impl Iterator<Item = &'a ServiceName>,
) -> (
    HashMap<ServiceName, HashSet<ServerName>>,
    HashSet<ServiceName>,
) {
    let (mut subsets, mut scarce) = (HashMap::new(), HashSet::new());
    for service in services {
        let Some(decl) = core.table.as_ref().and_then(|t| t.service(service)) else {
            continue;
        };
        let views = core.servers.of(service).iter();
        let views = views.filter_map(|key| core.servers.get(*key));
        let open: Vec<&ServerEntry> = views.filter(|v| v.is_open()).map(|v| &*v.entry).collect();
        let vms = core.peer_vms.vms();
        if is_scarce(vms.len(), open.len(), decl.connections) {
            scarce.insert(service.clone());
        }
        if let Some(names) = server_subset(&core.options.vm, vms, &open, decl.connections) {
            subsets.insert(service.clone(), names);
        }
    }
    (subsets, scarce)
}
