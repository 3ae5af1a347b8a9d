//! How many connections this VM holds to each backend server.
//!
//! The load it answers: a server accepts so many connections from everyone and resets what is beyond,
//! so with tens of VMs and hundreds of servers not every VM can hold one to each. Those that run
//! fan-outs share most of what the shards accept; all others keep to one, for when no peer is there.

use std::collections::HashSet;

use gs_types::prelude::*;

use crate::relay::Core;
use crate::roster::PeerVm;
use crate::roster::Roster;
use crate::table::ServiceDecl;

/// Connections to a server whose service no route names.
const UNDECLARED: Connections = Connections(1);

/// Connections held open to each server in this VM's data centre, if its share allows.
const WARM_NEAR: u32 = 2;

/// Connections held open to each server elsewhere.
const WARM_FAR: u32 = 1;

/// The part of a shard's connections that the VMs which run fan-outs share where there are others; the rest
/// is for those when their peers are away.
const RUNNERS_PART: f64 = 0.8;

/// Who shares the connections to servers with this VM.
#[derive(Debug, Default)]
pub(crate) struct Sharing {
    /// Services that are shards of a fan-out.
    shards: HashSet<ServiceName>,
    /// Whether the VMs are known; before, each VM keeps to one connection to a server, as all of a
    /// fleet that starts together would else open more than the servers accept.
    knows_vms: bool,
    /// Whether this VM runs fan-outs.
    runs: bool,
    /// VMs that run fan-outs.
    runners: u32,
    /// All VMs.
    all: u32,
}

impl Sharing {
    pub(crate) fn new(core: &Core) -> Self {
        let routes = core.table.iter().flat_map(|t| t.routes());
        let scatters = routes.filter(|r| r.is_scatter());
        let shards = scatters.flat_map(|r| r.services().cloned()).collect();
        if core.roster.is_empty() {
            return Self {
                shards,
                knows_vms: false,
                runs: true,
                runners: core.options.peers,
                all: core.options.peers,
            };
        }
        let vms = core.roster.vms().iter();
        let runners: Vec<_> = vms.filter(|vm| core.roster.is_strong(vm)).collect();
        let is_me = |vm: &&PeerVm| vm.name == core.options.vm;
        Self {
            shards,
            knows_vms: true,
            runs: runners.iter().any(is_me),
            runners: Roster::at_most(runners.len()).max(1),
            all: Roster::at_most(core.roster.vms().len()).max(1),
        }
    }

    /// Whether this VM asks for parts by itself.
    pub(crate) fn runs_fan_outs(&self) -> bool {
        self.runs
    }

    /// The most connections to a server of a service.
    pub(crate) fn most(&self, decl: Option<&ServiceDecl>, service: &ServiceName) -> Connections {
        let Some(limit) = decl.map(|s| f64::from(s.connections.0)) else {
            return UNDECLARED;
        };
        let share = if !self.knows_vms {
            1.0
        } else if !self.shards.contains(service) {
            limit / f64::from(self.all)
        } else if self.runs {
            limit * self.runners_part() / f64::from(self.runners)
        } else {
            1.0
        };
        Connections((share as u32).max(1))
    }

    /// This VM's part of the extra attempts that a service allows all VMs besides.
    pub(crate) fn slack_part(&self, service: &ServiceName) -> f64 {
        let all = f64::from(self.all.max(1));
        if !self.shards.contains(service) {
            return 1.0 / all;
        }
        if self.runs {
            self.runners_part() / f64::from(self.runners.max(1))
        } else {
            (1.0 - RUNNERS_PART) / all
        }
    }

    fn runners_part(&self) -> f64 {
        if self.runners == self.all {
            1.0
        } else {
            RUNNERS_PART
        }
    }

    /// Connections to hold open to a server of a service.
    pub(crate) fn warm(&self, service: &ServiceName, is_near: bool) -> Connections {
        let is_idle = !self.knows_vms || (self.shards.contains(service) && !self.runs);
        Connections(match is_near {
            _ if is_idle => 0,
            true => WARM_NEAR,
            false => WARM_FAR,
        })
    }
}
