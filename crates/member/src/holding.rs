//! What this VM may hold, by the tables that anyone may still be at.

use std::collections::BTreeMap;

use gs_types::prelude::*;

use crate::heartbeat::TableEpochs;
use crate::seats::Epoch;
use crate::seats::SeatId;
use crate::seats::SeatLayout;
use crate::seats::SeatTable;
use crate::share::ServerLimit;
use crate::share::seat_share;

/// This VM's seat, and what is known of the epochs that others are at.
#[derive(Debug)]
pub(crate) struct Holding {
    me: VmId,
    incarnation: Incarnation,
    table: Option<SeatTable>,
    version: u64,
    lowered: Epoch,
    /// The newest epoch that each other VM is known to be lowered to; only ever grows.
    others: BTreeMap<VmId, Epoch>,
    released: bool,
    /// The version of the table in which this VM's seat must not be used, as a write that gives it
    /// up may have taken effect or may yet.
    barred: Option<u64>,
}

impl Holding {
    pub(crate) fn new(me: VmId, incarnation: Incarnation) -> Self {
        Self {
            me,
            incarnation,
            table: None,
            version: 0,
            lowered: Epoch::default(),
            others: BTreeMap::new(),
            released: false,
            barred: None,
        }
    }

    pub(crate) fn table(&self) -> Option<&SeatTable> {
        self.table.as_ref()
    }

    /// The version of the table's object.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn table_epochs(&self) -> TableEpochs {
        TableEpochs {
            read: self.table.as_ref().map_or(Epoch::default(), |t| t.epoch),
            lowered: self.lowered,
        }
    }

    pub(crate) fn lowered_of(&self, vm: &VmId) -> Epoch {
        self.others.get(vm).copied().unwrap_or_default()
    }

    /// Whether this run of this VM holds a seat.
    pub(crate) fn is_seated(&self) -> bool {
        self.held_seat().is_some()
    }

    pub(crate) fn is_released(&self) -> bool {
        self.released
    }

    /// From now on this VM holds nothing.
    pub(crate) fn release(&mut self) {
        self.released = true;
    }

    /// Whether this VM's seat came after a list of seats that others may still hold to, so that it
    /// may hold nothing for now.
    pub(crate) fn is_blocked(&self) -> bool {
        let (Some(table), Some(seat)) = (&self.table, self.held_seat()) else {
            return false;
        };
        let mut in_use = self.layouts_in_use(table);
        in_use.any(|layout| layout.seats.iter().all(|s| s.id != seat))
    }

    /// Uses no seat until there is a newer table.
    ///
    /// A write that moves this VM to another seat may take effect long after its answer was lost.
    /// If connections were opened under the old seat in the meantime, the next holder of that seat
    /// would open them too and pass the servers' limits.
    pub(crate) fn bar(&mut self) {
        self.barred = Some(self.version);
    }

    /// Takes a newer table; an older one, or the same, is ignored.
    pub(crate) fn adopt(&mut self, version: u64, table: SeatTable) -> bool {
        if version <= self.version {
            return false;
        }
        // A VM without a seat holds nothing, which is within every table.
        if !self.is_seated() {
            self.lowered = table.epoch;
        }
        self.others.retain(|vm, _| table.seat_of(vm).is_some());
        self.version = version;
        self.table = Some(table);
        true
    }

    /// Notes that the open connections are within the table of this epoch.
    pub(crate) fn lower(&mut self, to: Epoch) {
        let newest = self.table_epochs().read;
        self.lowered = self.lowered.max(to.min(newest));
    }

    /// Notes what another VM is known to be lowered to.
    pub(crate) fn hear(&mut self, vm: &VmId, lowered: Epoch) -> bool {
        let seated = self.table.as_ref().is_some_and(|t| t.seat_of(vm).is_some());
        if !seated || *vm == self.me {
            return false;
        }
        let known = self.others.entry(vm.clone()).or_default();
        let newer = lowered > *known;
        *known = lowered.max(*known);
        newer
    }

    /// The oldest epoch that any holder of a seat may still be at.
    pub(crate) fn oldest(&self) -> Epoch {
        let held = self.table.iter().flat_map(|t| &t.holders);
        held.filter(|h| h.vm != self.me)
            .map(|h| self.lowered_of(&h.vm).max(h.since))
            .fold(self.lowered, Epoch::min)
    }

    /// How many connections this VM may hold to each server now.
    pub(crate) fn shares(&self, servers: &[ServerLimit]) -> Vec<(ServerName, Connections)> {
        let (Some(seat), Some(table)) = (self.my_seat(), &self.table) else {
            let none = |s: &ServerLimit| (s.server.clone(), Connections(0));
            return servers.iter().map(none).collect();
        };
        let layouts: Vec<&SeatLayout> = self.layouts_in_use(table).collect();
        let share = |s: &ServerLimit| {
            let in_each = layouts
                .iter()
                .map(|layout| seat_share(s, &layout.seats, seat));
            (s.server.clone(), in_each.min().unwrap_or_default())
        };
        servers.iter().map(share).collect()
    }

    /// The lists of seats that some VM may still hold to.
    fn layouts_in_use<'a>(&self, table: &'a SeatTable) -> impl Iterator<Item = &'a SeatLayout> {
        // With one list of seats, as nearly always, nobody can be at another.
        let lo = match table.layouts.len() {
            1 => Epoch::default(),
            _ => self.oldest(),
        };
        let until = |i: usize| table.layouts.get(i + 1).map(|next| next.since);
        let layouts = table.layouts.iter().enumerate();
        layouts
            .filter(move |(i, _)| until(*i).is_none_or(|end| end > lo))
            .map(|(_, layout)| layout)
    }

    fn my_seat(&self) -> Option<SeatId> {
        self.held_seat()
            .filter(|_| self.barred != Some(self.version))
    }

    fn held_seat(&self) -> Option<SeatId> {
        let held = self.table.as_ref()?.seat_of(&self.me)?;
        let mine = held.incarnation == self.incarnation && !self.released;
        mine.then_some(held.seat)
    }
}
