//! Maintenance of the seat table: this VM's own seat in it, and the duty to vacate the seats of
//! removed VMs, remove unused seats and add spare ones.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::peer_table::PeerTable;
use crate::seat_state::SeatState;
use crate::seat_table::LAYOUTS_MAX;
use crate::seat_table::SeatId;
use crate::seat_table::SeatTable;
use crate::settings::MemberSettings;

/// The call to the platform that is in flight.
#[derive(Debug)]
pub(crate) enum PlatformCall {
    None,
    Read,
    Write(SeatTable),
}

/// Decides when to read the table and what to write to it.
#[derive(Debug)]
pub(crate) struct TableKeeper {
    cfg: MemberSettings,
    pub(crate) call_in_flight: PlatformCall,
    /// Whether this VM has the duty to maintain the table, according to its own view.
    pub(crate) has_duty: bool,
    /// No call to the platform is made before this time.
    backoff_until: Option<Instant>,
    /// When the table was last read.
    last_table_read: Option<Instant>,
    /// The data centres of listed VMs; `None` before the first list.
    listed_vms: Option<BTreeMap<VmId, DataCentre>>,
    /// When the last list was received.
    list_received_at: Option<Instant>,
    /// Since when every list has been without the holder of a seat.
    unlisted_since: BTreeMap<VmId, Instant>,
    /// Since when each vacant seat has been vacant, as seen by this VM.
    vacant_since: BTreeMap<SeatId, Instant>,
}

impl TableKeeper {
    pub(crate) fn new(cfg: MemberSettings) -> Self {
        Self {
            cfg,
            call_in_flight: PlatformCall::None,
            has_duty: false,
            backoff_until: None,
            last_table_read: None,
            listed_vms: None,
            list_received_at: None,
            unlisted_since: BTreeMap::new(),
            vacant_since: BTreeMap::new(),
        }
    }

    /// Applies the platform's list of VMs.
    pub(crate) fn on_list(&mut self, now: Instant, list: &[VmEntry], seat: &SeatState) {
        let listed: BTreeMap<_, _> = list
            .iter()
            .map(|e| (e.vm.clone(), e.data_centre.clone()))
            .collect();
        let holders = seat
            .table()
            .map(|t| t.holders.as_slice())
            .unwrap_or_default();
        let absent = holders.iter().map(|h| &h.vm);
        let absent = absent.filter(|vm| !listed.contains_key(*vm));
        self.unlisted_since = absent
            .map(|vm| {
                (
                    vm.clone(),
                    self.unlisted_since.get(vm).copied().unwrap_or(now),
                )
            })
            .collect();
        self.listed_vms = Some(listed);
        self.list_received_at = Some(now);
    }

    /// Makes no calls to the platform for this time, after one has failed.
    pub(crate) fn back_off(&mut self, now: Instant, time: Duration) {
        self.backoff_until = Some(now + time);
    }

    /// Returns whether the table has to be read now.
    pub(crate) fn is_read_due(&self, now: Instant, leaving: bool, seat: &SeatState) -> bool {
        let idle = matches!(self.call_in_flight, PlatformCall::None);
        let backing_off = self.backoff_until.is_some_and(|t| now < t);
        if !idle || backing_off || self.listed_vms.is_none() {
            return false;
        }
        let is_recent = |t| now.duration_since(t) < self.cfg.table_check_interval;
        let duty_due = self.has_duty && !self.last_table_read.is_some_and(is_recent);
        let unseated = !seat.has_seat() && !leaving;
        let can_move =
            seat.is_seat_pending() && seat.table().is_some_and(SeatTable::has_usable_vacant_seat);
        let must_vacate = seat.is_seat_released() && self.may_hold_seat(seat.table());
        duty_due || unseated || can_move || must_vacate
    }

    /// Records that the table was read.
    pub(crate) fn note_table_read(&mut self, now: Instant) {
        self.last_table_read = Some(now);
        self.backoff_until = None;
    }

    /// Returns the table to write in place of the one read, or `None` if it needs no change.
    pub(crate) fn next_table(
        &mut self,
        now: Instant,
        peers: &PeerTable,
        seat: &SeatState,
    ) -> Option<SeatTable> {
        let before = seat.table().cloned().unwrap_or_default();
        let mut table = match seat.table() {
            Some(t) => t.clone(),
            None if seat.is_seat_released() => return None,
            None => SeatTable::initial(self.listed_vms.as_ref()?.values()),
        };
        if seat.is_seat_released() {
            table.vacate_seat_of(&self.cfg.me.vm);
        } else {
            // Only a VM that would write anyway prunes: if every VM did that on reading a change,
            // their writes would conflict.
            if self.has_duty || !seat.has_seat() {
                table.remove_unused_layouts(seat.oldest_epoch_in_use());
            }
            if seat.is_seat_pending() && table.has_usable_vacant_seat() {
                table.vacate_seat_of(&self.cfg.me.vm);
                self.assign_own_seat(&mut table);
            } else if !seat.has_seat() && !peers.is_leaving() {
                self.assign_own_seat(&mut table);
            }
            if self.has_duty {
                self.maintain_table(now, &mut table, peers);
            }
        }
        (table != before).then(|| table.with_next_epoch(&before))
    }

    /// Assigns a seat to this VM, unless that takes a new seat and no layout may be added.
    fn assign_own_seat(&self, table: &mut SeatTable) {
        let me = &self.cfg.me;
        let own = table.seat_of(&me.vm).is_some();
        let full = table.vacant_seats().next().is_none() && table.layouts.len() >= LAYOUTS_MAX;
        if own || !full {
            table.assign_seat(&me.vm, self.cfg.incarnation, &me.data_centre);
        }
    }

    /// Carries out the duty: vacates the seats of removed VMs, and changes the layout where needed.
    fn maintain_table(&mut self, now: Instant, table: &mut SeatTable, peers: &PeerTable) {
        let at = self.list_received_at.unwrap_or(now);
        let limit = self.cfg.removal_delay;
        let in_contact = |vm: &VmId| {
            peers
                .peer(vm)
                .is_some_and(|p| p.contacted_within(now, limit))
        };
        for (vm, since) in &self.unlisted_since {
            if at.duration_since(*since) >= limit && !in_contact(vm) {
                table.vacate_seat_of(vm);
            }
        }
        self.update_vacant_since(now, table);
        if table.layouts.len() < LAYOUTS_MAX {
            self.update_data_centres(table, peers);
            self.remove_unused_seats(now, table);
            table.add_spare_seats();
        }
    }

    /// Records since when each vacant seat has been vacant.
    fn update_vacant_since(&mut self, now: Instant, table: &SeatTable) {
        let since = |id: SeatId| self.vacant_since.get(&id).copied().unwrap_or(now);
        self.vacant_since = table.vacant_seats().map(|s| (s.id, since(s.id))).collect();
    }

    /// Sets the data centre of each held seat to that of its holder.
    fn update_data_centres(&self, table: &mut SeatTable, peers: &PeerTable) {
        for h in table.holders.clone() {
            let dc = match h.vm == self.cfg.me.vm {
                true => Some(&self.cfg.me.data_centre),
                false => peers.peer(&h.vm).map(|p| &p.entry.data_centre),
            };
            if let Some(dc) = dc {
                table.set_data_centre(h.seat, dc);
            }
        }
    }

    /// Removes full seats that have been vacant for `MemberSettings::vacant_seat_retention`.
    fn remove_unused_seats(&self, now: Instant, table: &mut SeatTable) {
        let old = |id: &SeatId| {
            let since = self.vacant_since.get(id);
            since.is_some_and(|t| now.duration_since(*t) >= self.cfg.vacant_seat_retention)
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

    fn may_hold_seat(&self, table: Option<&SeatTable>) -> bool {
        // A seat of an earlier incarnation counts as well: that process has ended, and no other VM
        // vacates its seat as long as this VM is listed. If no table is known, there may be a seat.
        table.is_none_or(|t| t.seat_of(&self.cfg.me.vm).is_some())
    }
}
