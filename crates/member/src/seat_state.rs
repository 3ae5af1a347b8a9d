//! The state of this VM's seat, and its shares of connections under every layout that is in use.

use std::collections::BTreeMap;

use gs_types::prelude::*;

use crate::heartbeat::TableEpochs;
use crate::seat_share::ServerLimit;
use crate::seat_share::connections_for_seat;
use crate::seat_table::Epoch;
use crate::seat_table::SeatId;
use crate::seat_table::SeatLayout;
use crate::seat_table::SeatTable;

/// The seat table as known here, this VM's seat in it, and the epochs that the VMs have lowered to.
#[derive(Debug)]
pub(crate) struct SeatState {
    me: VmId,
    incarnation: Incarnation,
    table: Option<SeatTable>,
    /// The version of the table's object; 0 if no table is known.
    table_version: u64,
    /// The newest epoch that this VM has lowered to.
    own_lowered: Epoch,
    /// The newest epoch that each other VM is known to have lowered to; it never decreases.
    peers_lowered: BTreeMap<VmId, Epoch>,
    seat_released: bool,
    /// The version of the table in which this VM must not use its seat, as a write that vacates the
    /// seat may have taken effect or may still do so.
    blocked_table_version: Option<u64>,
}

impl SeatState {
    pub(crate) fn new(me: VmId, incarnation: Incarnation) -> Self {
        Self {
            me,
            incarnation,
            table: None,
            table_version: 0,
            own_lowered: Epoch::default(),
            peers_lowered: BTreeMap::new(),
            seat_released: false,
            blocked_table_version: None,
        }
    }

    pub(crate) fn table(&self) -> Option<&SeatTable> {
        self.table.as_ref()
    }

    /// Returns the version of the table's object.
    pub(crate) fn table_version(&self) -> u64 {
        self.table_version
    }

    /// Returns the epochs that this VM has read and lowered to.
    pub(crate) fn table_epochs(&self) -> TableEpochs {
        TableEpochs {
            read: self.table.as_ref().map_or(Epoch::default(), |t| t.epoch),
            lowered: self.own_lowered,
        }
    }

    /// Returns the newest epoch that another VM is known to have lowered to.
    pub(crate) fn lowered_epoch_of(&self, vm: &VmId) -> Epoch {
        self.peers_lowered.get(vm).copied().unwrap_or_default()
    }

    /// Returns whether this incarnation of this VM holds a seat.
    pub(crate) fn has_seat(&self) -> bool {
        self.held_seat().is_some()
    }

    pub(crate) fn is_seat_released(&self) -> bool {
        self.seat_released
    }

    /// Records that this VM holds no connections and will open none.
    pub(crate) fn release_seat(&mut self) {
        self.seat_released = true;
    }

    /// Returns whether this VM's seat is missing from a layout that other VMs may still use, so that
    /// it may hold no connections yet.
    pub(crate) fn is_seat_pending(&self) -> bool {
        let (Some(table), Some(seat)) = (&self.table, self.held_seat()) else {
            return false;
        };
        let mut in_use = self.layouts_in_use(table);
        in_use.any(|layout| layout.seats.iter().all(|s| s.id != seat))
    }

    /// Stops the use of this VM's seat until there is a newer table.
    ///
    /// A write that moves this VM to another seat may take effect long after its answer was lost.
    /// If connections were opened under the old seat in the meantime, the next holder of that seat
    /// would open them as well, and the servers' limits would be exceeded.
    pub(crate) fn block_seat(&mut self) {
        self.blocked_table_version = Some(self.table_version);
    }

    /// Adopts a table if it is newer than the known one; returns whether it is.
    pub(crate) fn adopt(&mut self, version: u64, table: SeatTable) -> bool {
        if version <= self.table_version {
            return false;
        }
        // A VM without a seat holds no connections, which is within the shares of every table.
        if !self.has_seat() {
            self.own_lowered = table.epoch;
        }
        self.peers_lowered
            .retain(|vm, _| table.seat_of(vm).is_some());
        self.table_version = version;
        self.table = Some(table);
        true
    }

    /// Records that this VM's open connections are within the shares of this epoch.
    pub(crate) fn note_own_lowered(&mut self, to: Epoch) {
        let newest = self.table_epochs().read;
        self.own_lowered = self.own_lowered.max(to.min(newest));
    }

    /// Records the epoch that another VM has lowered to; returns whether it is newer than known.
    pub(crate) fn note_peer_lowered(&mut self, vm: &VmId, lowered: Epoch) -> bool {
        let seated = self.table.as_ref().is_some_and(|t| t.seat_of(vm).is_some());
        if !seated || *vm == self.me {
            return false;
        }
        let known = self.peers_lowered.entry(vm.clone()).or_default();
        let is_newer = lowered > *known;
        *known = lowered.max(*known);
        is_newer
    }

    /// Returns the oldest epoch that any holder of a seat may still be at, as far as known here.
    pub(crate) fn oldest_epoch_in_use(&self) -> Epoch {
        let holders = self.table.iter().flat_map(|t| &t.holders);
        holders
            .filter(|h| h.vm != self.me)
            .map(|h| self.lowered_epoch_of(&h.vm).max(h.since))
            .fold(self.own_lowered, Epoch::min)
    }

    /// Returns how many connections this VM may hold to each server now: the smallest of its shares
    /// over all layouts in use.
    pub(crate) fn allowed_connections(
        &self,
        servers: &[ServerLimit],
    ) -> Vec<(ServerName, Connections)> {
        let (Some(seat), Some(table)) = (self.usable_seat(), &self.table) else {
            let none = |s: &ServerLimit| (s.server.clone(), Connections(0));
            return servers.iter().map(none).collect();
        };
        let layouts: Vec<&SeatLayout> = self.layouts_in_use(table).collect();
        let share = |s: &ServerLimit| {
            let in_each = layouts
                .iter()
                .map(|layout| connections_for_seat(s, &layout.seats, seat));
            (s.server.clone(), in_each.min().unwrap_or_default())
        };
        servers.iter().map(share).collect()
    }

    /// Returns the layouts that some VM may still use.
    fn layouts_in_use<'a>(&self, table: &'a SeatTable) -> impl Iterator<Item = &'a SeatLayout> {
        // With a single layout, the usual case, no VM can use another one.
        let oldest = match table.layouts.len() {
            1 => Epoch::default(),
            _ => self.oldest_epoch_in_use(),
        };
        let until = |i: usize| table.layouts.get(i + 1).map(|next| next.since);
        let layouts = table.layouts.iter().enumerate();
        layouts
            .filter(move |(i, _)| until(*i).is_none_or(|end| end > oldest))
            .map(|(_, layout)| layout)
    }

    /// Returns the seat that this VM holds and may use.
    fn usable_seat(&self) -> Option<SeatId> {
        self.held_seat()
            .filter(|_| self.blocked_table_version != Some(self.table_version))
    }

    /// Returns the seat that this incarnation holds, whether or not it may be used.
    fn held_seat(&self) -> Option<SeatId> {
        let holder = self.table.as_ref()?.seat_of(&self.me)?;
        let mine = holder.incarnation == self.incarnation && !self.seat_released;
        mine.then_some(holder.seat)
    }
}
