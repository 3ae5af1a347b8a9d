//! Keeps the seat table in order: this VM's own seat, and what its duty asks for.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::gossip::Gossip;
use crate::holding::Holding;
use crate::seats::LAYOUTS_MAX;
use crate::seats::SeatId;
use crate::seats::SeatTable;
use crate::settings::MemberSettings;

/// The call to the platform that is under way.
#[derive(Debug)]
pub(crate) enum Call {
    None,
    Read,
    Write(SeatTable),
}

/// Decides when to read the table and what to write to it.
#[derive(Debug)]
pub(crate) struct Keeper {
    cfg: MemberSettings,
    pub(crate) call: Call,
    /// Whether this VM believes that keeping the table is its duty.
    pub(crate) on_duty: bool,
    /// Not to ask the platform before.
    rest_until: Option<Instant>,
    /// The last time the duty's holder looked.
    looked: Option<Instant>,
    /// The data centres of listed VMs; `None` before the first list.
    listed: Option<BTreeMap<VmId, DataCentre>>,
    listed_at: Option<Instant>,
    /// Since when every list has lacked the holder of a seat.
    absent: BTreeMap<VmId, Instant>,
    vacant: BTreeMap<SeatId, Instant>,
}

impl Keeper {
    pub(crate) fn new(cfg: MemberSettings) -> Self {
        Self {
            cfg,
            call: Call::None,
            on_duty: false,
            rest_until: None,
            looked: None,
            listed: None,
            listed_at: None,
            absent: BTreeMap::new(),
            vacant: BTreeMap::new(),
        }
    }

    pub(crate) fn list(&mut self, now: Instant, list: &[VmEntry], h: &Holding) {
        let listed: BTreeMap<_, _> = list
            .iter()
            .map(|e| (e.vm.clone(), e.data_centre.clone()))
            .collect();
        let held = h.table().map(|t| t.holders.as_slice()).unwrap_or_default();
        let absent = held.iter().map(|h| &h.vm);
        let absent = absent.filter(|vm| !listed.contains_key(*vm));
        self.absent = absent
            .map(|vm| (vm.clone(), self.absent.get(vm).copied().unwrap_or(now)))
            .collect();
        self.listed = Some(listed);
        self.listed_at = Some(now);
    }

    /// The platform failed: leave it alone for a while.
    pub(crate) fn rest(&mut self, now: Instant, time: Duration) {
        self.rest_until = Some(now + time);
    }

    /// Whether it is time to read the table.
    pub(crate) fn is_due(&self, now: Instant, leaving: bool, h: &Holding) -> bool {
        let idle = matches!(self.call, Call::None);
        let resting = self.rest_until.is_some_and(|t| now < t);
        if !idle || resting || self.listed.is_none() {
            return false;
        }
        let looked = |t| now.duration_since(t) < self.cfg.table_check_interval;
        let duty = self.on_duty && !self.looked.is_some_and(looked);
        let unseated = !h.is_seated() && !leaving;
        let blocked = h.is_blocked() && h.table().is_some_and(SeatTable::has_settled_vacancy);
        let must_vacate = h.is_released() && self.holds_seat(h.table());
        duty || unseated || blocked || must_vacate
    }

    /// Notes that the table was looked at.
    pub(crate) fn look(&mut self, now: Instant) {
        self.looked = Some(now);
        self.rest_until = None;
    }

    /// The table to write in place of the one read, if any.
    pub(crate) fn improve(&mut self, now: Instant, g: &Gossip, h: &Holding) -> Option<SeatTable> {
        let before = h.table().cloned().unwrap_or_default();
        let mut table = match h.table() {
            Some(t) => t.clone(),
            None if h.is_released() => return None,
            None => SeatTable::initial(self.listed.as_ref()?.values()),
        };
        if h.is_released() {
            table.vacate(&self.cfg.me.vm);
        } else {
            // Whoever writes anyway prunes; if every VM that reads a change did, they would race.
            if self.on_duty || !h.is_seated() {
                table.prune(h.oldest());
            }
            if h.is_blocked() && table.has_settled_vacancy() {
                table.vacate(&self.cfg.me.vm);
                self.sit(&mut table);
            } else if !h.is_seated() && !g.is_leaving() {
                self.sit(&mut table);
            }
            if self.on_duty {
                self.tidy(now, &mut table, g);
            }
        }
        (table != before).then(|| table.succeed(&before))
    }

    fn sit(&self, table: &mut SeatTable) {
        let me = &self.cfg.me;
        let own = table.seat_of(&me.vm).is_some();
        let full = table.vacant_seats().next().is_none() && table.layouts.len() >= LAYOUTS_MAX;
        if own || !full {
            table.take(&me.vm, self.cfg.incarnation, &me.data_centre);
        }
    }

    /// What the holder of the duty does: vacates the seats of VMs that are gone, and reshapes.
    fn tidy(&mut self, now: Instant, table: &mut SeatTable, g: &Gossip) {
        let at = self.listed_at.unwrap_or(now);
        let long = self.cfg.gone_after;
        let heard = |vm: &VmId| g.peer(vm).is_some_and(|p| p.heard_within(now, long));
        for (vm, since) in &self.absent {
            if at.duration_since(*since) >= long && !heard(vm) {
                table.vacate(vm);
            }
        }
        self.note_vacant(now, table);
        if table.layouts.len() < LAYOUTS_MAX {
            self.settle_moves(table, g);
            self.shrink(now, table);
            table.add_spares();
        }
    }

    fn note_vacant(&mut self, now: Instant, table: &SeatTable) {
        let since = |id: SeatId| self.vacant.get(&id).copied().unwrap_or(now);
        self.vacant = table.vacant_seats().map(|s| (s.id, since(s.id))).collect();
    }

    /// Gives each held seat to the data centre of its holder.
    fn settle_moves(&self, table: &mut SeatTable, g: &Gossip) {
        for h in table.holders.clone() {
            let dc = match h.vm == self.cfg.me.vm {
                true => Some(&self.cfg.me.data_centre),
                false => g.peer(&h.vm).map(|p| &p.entry.data_centre),
            };
            if let Some(dc) = dc {
                table.move_seat(h.seat, dc);
            }
        }
    }

    /// Takes out seats that nobody came back to.
    fn shrink(&self, now: Instant, table: &mut SeatTable) {
        let old = |id: &SeatId| {
            let since = self.vacant.get(id);
            since.is_some_and(|t| now.duration_since(*t) >= self.cfg.shrink_after)
        };
        let full: Vec<_> = table
            .vacant_seats()
            .filter(|s| s.data_centre.is_some() && old(&s.id))
            .map(|s| s.id)
            .collect();
        for id in full {
            table.remove_seat(id);
        }
    }

    fn holds_seat(&self, table: Option<&SeatTable>) -> bool {
        // A seat of an earlier run counts too: that run is dead, and nobody else would vacate its
        // seat as long as this VM is listed. Without a table there may be one.
        table.is_none_or(|t| t.seat_of(&self.cfg.me.vm).is_some())
    }
}
