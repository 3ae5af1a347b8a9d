//! The seat table: which VMs may hold connections, agreed on by conditional writes to one platform
//! object.

use std::fmt;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use smallvec::smallvec;

/// The version of the object's format, its first byte.
const FORMAT_VERSION: u8 = 1;

/// The most seats in a layout, so that the table's object stays far below a megabyte.
const SEATS_MAX: usize = 4096;

/// The most layouts that may be in use at the same time.
pub(crate) const LAYOUTS_MAX: usize = 4;

/// The number of seats in a layout per vacant seat that is kept for new VMs, in addition to a first
/// vacant seat that is always kept.
const SEATS_PER_SPARE_SEAT: usize = 16;

/// The number of a version of the seat table; each write increases it by one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Returns the epoch after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The number of a seat; a new seat is numbered above all seats in the layouts of its table.
///
/// The number of a seat that was removed from all of them may therefore be used again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SeatId(pub u32);

/// A share of every server's connections, held by at most one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    /// The number of the seat.
    pub id: SeatId,
    /// The data centre to whose servers the seat is given more connections. `None` for a spare
    /// seat, which stands for half as many connections as a full one and is kept free for a new VM.
    pub data_centre: Option<DataCentre>,
}

/// The list of all seats as of an epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatLayout {
    /// The first epoch that has this layout.
    pub since: Epoch,
    /// The seats, including vacant ones.
    pub seats: Vec<Seat>,
}

/// A seat and its holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatHolder {
    /// The seat.
    pub seat: SeatId,
    /// The VM that holds it.
    pub vm: VmId,
    /// The incarnation of its process that registered. A new incarnation registers again before it
    /// uses the seat, so that a write of the previous one that is still in flight fails on the
    /// object's version.
    pub incarnation: Incarnation,
    /// The epoch in which that incarnation registered; it has never been at an older one.
    pub since: Epoch,
}

/// The VMs that may hold connections: a layout of seats, and the holders of those not vacant.
///
/// Every VM computes from the table alone how many connections each seat stands for
/// ([`crate::connections_for_seat()`]); for one layout these add up to the server's limit. The sum
/// over all *existing* processes stays within the limit because:
///
/// 1. A seat has one holder. It is vacated by its holder once that holds no connections, or when
///    the platform has removed the holder; so two existing processes never hold the same seat.
/// 2. A process has *lowered* to an epoch once its open connections are within that epoch's table.
///    The number it holds is within the smallest of its seat's shares over every epoch from
///    `oldest` to the one it has lowered to, where `oldest` is the oldest epoch that any holder may
///    still be at, as far as the process knows. The epochs it knows of are never newer than the
///    actual ones, as epochs only increase.
/// 3. Let E be the oldest epoch that any process with a seat has lowered to. E lies within the span
///    of every process, so each holds at most its seat's share in E, and these add up to the limit.
///
/// A paused or partitioned VM holds E, and thus the span of every VM, at its own epoch: no other VM
/// takes over its connections. A spare seat has had its share in every epoch of the span without a
/// holder, so a new VM may use it at once even then.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatTable {
    /// The epoch of this table.
    pub epoch: Epoch,
    /// The layouts that some VM may still use, oldest first; the last one is current.
    #[serde(rename = "shapes")]
    pub layouts: SmallVec<[SeatLayout; 1]>,
    /// The seats that are held, with their holders.
    #[serde(rename = "held")]
    pub holders: Vec<SeatHolder>,
}

impl SeatTable {
    /// The path of the platform object that stores the table.
    pub const PATH: &'static str = "members/seats";

    /// Creates the initial table: one vacant seat for each item of `data_centres`, which are those
    /// of the listed VMs, and spare seats.
    #[must_use]
    pub fn initial<'a>(data_centres: impl Iterator<Item = &'a DataCentre>) -> Self {
        let mut table = Self {
            epoch: Epoch(0),
            layouts: smallvec![SeatLayout {
                since: Epoch(0),
                seats: Vec::new(),
            }],
            holders: Vec::new(),
        };
        for dc in data_centres {
            table.add_seat(Some(dc.clone()));
        }
        table.add_spare_seats();
        table
    }

    /// Decodes a table from its object's content.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Version`] for another version of the format; [`ErrorKind::BadInput`] if the
    /// content does not decode or is inconsistent, such as a seat that is held twice.
    pub fn decode(content: &[u8]) -> Result<Self> {
        let (format, rest) = content
            .split_first()
            .ok_or_else(|| invalid_table("the seat table is empty"))?;
        if *format != FORMAT_VERSION {
            return Err(Error::new(
                ErrorKind::Version,
                format!("the seat table has format version {format}, expected {FORMAT_VERSION}"),
            )
            .at("read seat table"));
        }
        let table: Self = postcard::from_bytes(rest).map_err(|e| invalid_table(&e.to_string()))?;
        table.check_consistency()?;
        Ok(table)
    }

    /// Encodes the table as its object's content.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if it does not encode.
    pub fn encode(&self) -> Result<Vec<u8>> {
        postcard::to_extend(self, vec![FORMAT_VERSION]).map_err(|e| invalid_table(&e.to_string()))
    }

    /// Returns the seats of the current layout.
    #[must_use]
    pub fn seats(&self) -> &[Seat] {
        self.layouts.last().map_or(&[], |s| &s.seats)
    }

    /// Returns the seat that a VM holds, with its registration.
    #[must_use]
    pub fn seat_of(&self, vm: &VmId) -> Option<&SeatHolder> {
        self.holders.iter().find(|h| h.vm == *vm)
    }

    /// Returns the seats of the current layout that are not held.
    pub fn vacant_seats(&self) -> impl Iterator<Item = &Seat> {
        let is_held = |id| self.holders.iter().any(|h| h.seat == id);
        self.seats().iter().filter(move |s| !is_held(s.id))
    }

    /// Assigns a seat to a VM or its new incarnation: the seat that it holds; else a vacant one,
    /// preferably one that can be used at once and is of its own data centre; else a new one.
    pub(crate) fn assign_seat(&mut self, vm: &VmId, incarnation: Incarnation, dc: &DataCentre) {
        if let Some(h) = self.holders.iter_mut().find(|h| h.vm == *vm) {
            h.incarnation = incarnation;
            h.since = Epoch::default();
            return;
        }
        let rank = |s: &Seat| match &s.data_centre {
            Some(d) if d == dc => 0,
            Some(_) => 1,
            None => 2,
        };
        let order = |s: &&Seat| (!self.is_in_all_layouts(s.id), rank(s), s.id);
        let seat = match self.vacant_seats().min_by_key(order) {
            Some(s) => s.id,
            None => self.add_seat(Some(dc.clone())),
        };
        self.holders.push(SeatHolder {
            seat,
            vm: vm.clone(),
            incarnation,
            since: Epoch::default(),
        });
    }

    /// Returns whether some vacant seat is in all layouts, so that a new VM may use it at once.
    pub(crate) fn has_usable_vacant_seat(&self) -> bool {
        self.vacant_seats().any(|s| self.is_in_all_layouts(s.id))
    }

    fn is_in_all_layouts(&self, seat: SeatId) -> bool {
        let has = |layout: &SeatLayout| layout.seats.iter().any(|s| s.id == seat);
        self.layouts.iter().all(has)
    }

    /// Vacates a VM's seat.
    pub(crate) fn vacate_seat_of(&mut self, vm: &VmId) {
        self.holders.retain(|h| h.vm != *vm);
    }

    /// Removes a vacant seat from the current layout.
    pub(crate) fn remove_seat(&mut self, seat: SeatId) {
        if let Some(s) = self.layouts.last_mut() {
            s.seats.retain(|s| s.id != seat);
        }
    }

    /// Sets the data centre of a seat, which turns a spare seat into a full one.
    pub(crate) fn set_data_centre(&mut self, seat: SeatId, dc: &DataCentre) {
        let seats = self.layouts.last_mut().map(|s| &mut s.seats);
        let seat = seats.and_then(|s| s.iter_mut().find(|s| s.id == seat));
        if let Some(s) = seat {
            s.data_centre = Some(dc.clone());
        }
    }

    /// Adds spare seats until there are enough vacant seats for new VMs.
    pub(crate) fn add_spare_seats(&mut self) {
        let want = 1 + self.seats().len() / SEATS_PER_SPARE_SEAT;
        while self.vacant_seats().count() < want && self.seats().len() < SEATS_MAX {
            self.add_seat(None);
        }
    }

    /// Removes layouts that no VM can use any more; `oldest` is the oldest epoch in use.
    pub(crate) fn remove_unused_layouts(&mut self, oldest: Epoch) {
        while self.layouts.get(1).is_some_and(|s| s.since <= oldest) {
            self.layouts.remove(0);
        }
    }

    /// Returns the changed table with the epoch after that of `before`. If its layout differs from
    /// that of `before`, both are kept.
    pub(crate) fn with_next_epoch(mut self, before: &Self) -> Self {
        self.epoch = before.epoch.next();
        let epoch = self.epoch;
        for h in self
            .holders
            .iter_mut()
            .filter(|h| !before.holders.contains(h))
        {
            h.since = epoch;
        }
        let changed = self.seats() != before.seats();
        if let (true, Some(last), Some(old)) =
            (changed, self.layouts.last_mut(), before.layouts.last())
        {
            let new = std::mem::replace(last, old.clone());
            self.layouts.push(SeatLayout {
                since: epoch,
                seats: new.seats,
            });
        }
        self
    }

    fn add_seat(&mut self, data_centre: Option<DataCentre>) -> SeatId {
        let all = self.layouts.iter().flat_map(|s| &s.seats);
        let id = SeatId(all.map(|s| s.id.0 + 1).max().unwrap_or(0));
        if let Some(s) = self.layouts.last_mut() {
            s.seats.push(Seat { id, data_centre });
        }
        id
    }

    fn check_consistency(&self) -> Result<()> {
        let mut seats: Vec<_> = self.holders.iter().map(|h| h.seat).collect();
        seats.sort_unstable();
        seats.dedup();
        if seats.len() != self.holders.len() {
            return Err(invalid_table("a seat of the seat table is held twice"));
        }
        if self.layouts.is_empty() || self.layouts.len() > LAYOUTS_MAX {
            return Err(invalid_table("the seat table has no layout or too many"));
        }
        if self.layouts.iter().any(|s| s.seats.len() > SEATS_MAX) {
            return Err(invalid_table(
                "a layout of the seat table has too many seats",
            ));
        }
        Ok(())
    }
}

fn invalid_table(text: &str) -> Error {
    Error::new(ErrorKind::BadInput, text).at("read seat table")
}
