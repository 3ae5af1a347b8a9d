//! Computes how many connections this VM holds to each backend server.
//!
//! A server accepts a limited number of connections from all VMs together and resets those beyond
//! it, so with tens of VMs and hundreds of servers not every VM can hold one to each. The VMs that
//! run fan-outs share most of the connections that the shards accept; all others keep one, for when
//! no peer is available.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;

use gs_types::prelude::*;

use crate::entry::ServerEntry;
use crate::fan_out_vms::FAN_OUT_FRACTION;
use crate::fan_out_vms::choose_fan_out_vms;
use crate::peer_vms::PeerVm;
use crate::peer_vms::PeerVms;
use crate::relay::Core;
use crate::subset::has_too_few_connections;
use crate::subset::server_subset;
use crate::table::ServiceDecl;

/// Connections to a server whose service no route names.
const UNDECLARED_SERVICE_CONNECTIONS_MAX: Connections = Connections(1);

/// Connections opened in advance to each server in this VM's data centre, if its share allows.
const LOCAL_CONNECTIONS_MIN: u32 = 2;

/// Connections opened in advance to each server in another data centre.
const REMOTE_CONNECTIONS_MIN: u32 = 1;

/// This VM's shares of the connections to servers.
#[derive(Debug, Default)]
pub(crate) struct ConnectionShares {
    /// Services that are shards of a fan-out.
    shard_services: HashSet<ServiceName>,
    /// All services that a route names.
    routed_services: HashSet<ServiceName>,
    /// Whether the VMs are known. Until then a VM keeps to one connection per server, because a
    /// fleet that starts together would otherwise open more connections than the servers accept.
    are_vms_known: bool,
    /// Whether this VM runs fan-outs.
    runs_fan_outs: bool,
    /// The names of the VMs that run fan-outs.
    fan_out_vm_names: HashSet<VmId>,
    /// Number of VMs that run fan-outs.
    fan_out_vms: VmCount,
    /// Number of all VMs.
    all_vms: VmCount,
    /// The subset of servers that this VM uses, for services whose servers accept fewer connections
    /// each than there are VMs.
    subsets: HashMap<ServiceName, HashSet<ServerName>>,
    /// Services, other than shards, whose servers together accept fewer connections than there are
    /// VMs.
    scarce_services: HashSet<ServiceName>,
}

/// The numbers of VMs that this VM's share of the extra attempts is computed from, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SlackDivisors {
    are_vms_known: bool,
    /// All VMs that may exist.
    vms: u32,
    /// VMs that may exist and run fan-outs.
    fan_out_vms: u32,
    runs_fan_outs: bool,
}

impl fmt::Display for SlackDivisors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "vms_known={} vms_max={} fan_out_vms_max={} runs_fan_outs={}",
            self.are_vms_known, self.vms, self.fan_out_vms, self.runs_fan_outs
        )
    }
}

/// A number of VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
struct VmCount {
    /// VMs that are listed.
    listed: u32,
    /// VMs that may exist, including some that have just been added.
    vms_max: u32,
}

impl Default for VmCount {
    fn default() -> Self {
        Self::of(1)
    }
}

impl VmCount {
    fn of(listed: usize) -> Self {
        Self {
            // There are far fewer than 2^32 VMs.
            listed: (listed as u32).max(1),
            vms_max: PeerVms::possible_vms_max(listed).max(1),
        }
    }

    /// Returns the share of the given connections that each listed VM gets.
    ///
    /// A VM that is not listed yet uses a single connection until it knows the others, so only one
    /// is reserved for it. With a full share reserved for each, a third of the connections that
    /// servers accept stayed unused, and no second attempt was made when the few connections to the
    /// other replica were busy.
    fn connections_per_vm(self, connections: f64) -> f64 {
        let unlisted = self.vms_max - self.listed;
        (connections - f64::from(unlisted)) / f64::from(self.listed)
    }
}

impl ConnectionShares {
    pub(crate) fn new(core: &Core) -> Self {
        let (mut routed_services, mut shard_services) = (HashSet::new(), HashSet::new());
        for route in core.table.iter().flat_map(|t| t.routes()) {
            routed_services.extend(route.services().cloned());
            if route.is_scatter() {
                shard_services.extend(route.services().cloned());
            }
        }
        if core.peer_vms.is_empty() {
            return Self {
                shard_services,
                routed_services,
                are_vms_known: false,
                runs_fan_outs: true,
                fan_out_vm_names: HashSet::new(),
                fan_out_vms: VmCount::of(core.options.vms_assumed as usize),
                all_vms: VmCount::of(core.options.vms_assumed as usize),
                subsets: HashMap::new(),
                scarce_services: HashSet::new(),
            };
        }
        let declared = core
            .table
            .iter()
            .flat_map(|t| t.declared_services(&shard_services));
        let connections = declared.map(|s| s.connections).min();
        let fan_out_vms = choose_fan_out_vms(&core.peer_vms, connections);
        let fan_out_vm_names: HashSet<VmId> =
            fan_out_vms.iter().map(|vm| vm.name.clone()).collect();
        let (subsets, scarce_services) = subsets(core, routed_services.difference(&shard_services));
        Self {
            shard_services,
            routed_services,
            are_vms_known: true,
            runs_fan_outs: fan_out_vm_names.contains(&core.options.vm),
            fan_out_vm_names,
            fan_out_vms: VmCount::of(fan_out_vms.len()),
            all_vms: VmCount::of(core.peer_vms.vms().len()),
            subsets,
            scarce_services,
        }
    }

    /// Returns whether this VM queries shards itself.
    pub(crate) fn runs_fan_outs(&self) -> bool {
        self.runs_fan_outs
    }

    /// Returns whether the given VM runs fan-outs.
    pub(crate) fn is_fan_out_vm(&self, vm: &PeerVm) -> bool {
        !self.are_vms_known || self.fan_out_vm_names.contains(&vm.name)
    }

    /// Returns what this VM's share of the extra attempts depends on.
    pub(crate) fn slack_divisors(&self) -> SlackDivisors {
        SlackDivisors {
            are_vms_known: self.are_vms_known,
            vms: self.all_vms.vms_max,
            fan_out_vms: self.fan_out_vms.vms_max,
            runs_fan_outs: self.runs_fan_outs,
        }
    }

    /// Returns the number of VMs that send to the servers of a route.
    pub(crate) fn sending_vms(&self, is_scatter: bool) -> u32 {
        let count = if is_scatter {
            self.fan_out_vms
        } else {
            self.all_vms
        };
        count.listed
    }

    /// Returns whether a server is one that this VM prefers; the others of its service are used
    /// only if no preferred one is available.
    pub(crate) fn is_in_subset(&self, server: &ServerEntry) -> bool {
        let subset = self.subsets.get(&server.service);
        subset.is_none_or(|names| names.contains(&server.name))
    }

    /// Returns the most connections to hold to a server of a service.
    pub(crate) fn connections_max(
        &self,
        decl: Option<&ServiceDecl>,
        service: &ServiceName,
    ) -> Connections {
        let Some(limit) = decl.map(|s| f64::from(s.connections.0)) else {
            return UNDECLARED_SERVICE_CONNECTIONS_MAX;
        };
        let share = if !self.are_vms_known {
            1.0
        } else if !self.shard_services.contains(service) {
            self.all_vms.connections_per_vm(limit)
        } else if self.runs_fan_outs {
            self.fan_out_vms
                .connections_per_vm(limit * self.fan_out_fraction())
        } else {
            1.0
        };
        Connections((share as u32).max(1))
    }

    /// Returns whether this VM keeps a connection to a server of a service after its request has
    /// ended.
    ///
    /// If there are fewer connections than VMs, an idle connection of one VM takes the place of
    /// another's: the server resets that one's new connection together with the request on it.
    pub(crate) fn keeps_idle_connection(
        &self,
        decl: Option<&ServiceDecl>,
        service: &ServiceName,
    ) -> bool {
        if !self.are_vms_known {
            return true;
        }
        if !self.shard_services.contains(service) {
            return !self.scarce_services.contains(service);
        }
        // The servers of a shard reserve few connections for the VMs that run no fan-outs.
        let left = decl.map_or(0.0, |s| {
            f64::from(s.connections.0) * (1.0 - FAN_OUT_FRACTION)
        });
        let others = self.all_vms.listed.saturating_sub(self.fan_out_vms.listed);
        self.runs_fan_outs || f64::from(others) <= left
    }

    /// Returns this VM's share of the extra attempts that a shard's servers allow to all VMs in
    /// addition to the ratio; 0 as long as the VMs are not known.
    pub(crate) fn shard_slack_share(&self) -> f64 {
        if !self.are_vms_known {
            return 0.0;
        }
        if self.runs_fan_outs {
            self.fan_out_fraction() / f64::from(self.fan_out_vms.vms_max)
        } else {
            (1.0 - FAN_OUT_FRACTION) / f64::from(self.all_vms.vms_max)
        }
    }

    /// Returns the same for a service that is not a shard.
    pub(crate) fn other_slack_share(&self) -> f64 {
        if !self.are_vms_known {
            return 0.0;
        }
        1.0 / f64::from(self.all_vms.vms_max)
    }

    /// Returns whether a service is a shard of a fan-out.
    pub(crate) fn is_shard(&self, service: &ServiceName) -> bool {
        self.shard_services.contains(service)
    }

    fn fan_out_fraction(&self) -> f64 {
        if self.fan_out_vms == self.all_vms {
            1.0
        } else {
            FAN_OUT_FRACTION
        }
    }

    /// Returns the number of connections to open in advance to a server of a service.
    ///
    /// The servers of a repartitioned index register before routes name them. Connections from all
    /// VMs would then exceed what the servers accept, and each connection occupies a slot for a
    /// moment; connections from the VMs that will run fan-outs are enough.
    pub(crate) fn connections_min(
        &self,
        service: &ServiceName,
        is_same_data_centre: bool,
    ) -> Connections {
        let is_for_fan_outs =
            self.shard_services.contains(service) || !self.routed_services.contains(service);
        let needs_none = !self.are_vms_known || (is_for_fan_outs && !self.runs_fan_outs);
        Connections(match is_same_data_centre {
            _ if needs_none || self.scarce_services.contains(service) => 0,
            true => LOCAL_CONNECTIONS_MIN,
            false => REMOTE_CONNECTIONS_MIN,
        })
    }
}

/// Returns, for the services whose servers accept too few connections each for all VMs, the servers
/// that this VM uses, and the set of services whose servers accept too few together.
fn subsets<'a>(
    core: &Core,
    services: impl Iterator<Item = &'a ServiceName>,
) -> (
    HashMap<ServiceName, HashSet<ServerName>>,
    HashSet<ServiceName>,
) {
    let (mut subsets, mut scarce_services) = (HashMap::new(), HashSet::new());
    for service in services {
        let Some(decl) = core.table.as_ref().and_then(|t| t.service(service)) else {
            continue;
        };
        let views = core.servers.of_service(service).iter();
        let views = views.filter_map(|key| core.servers.get(*key));
        let accepting: Vec<&ServerEntry> = views
            .filter(|v| v.accepts_work())
            .map(|v| &*v.entry)
            .collect();
        let vms = core.peer_vms.vms();
        if has_too_few_connections(vms.len(), accepting.len(), decl.connections) {
            scarce_services.insert(service.clone());
        }
        if let Some(names) = server_subset(&core.options.vm, vms, &accepting, decl.connections) {
            subsets.insert(service.clone(), names);
        }
    }
    (subsets, scarce_services)
}
