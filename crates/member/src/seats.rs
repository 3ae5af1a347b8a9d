//! The seat table: who may hold connections, agreed by conditional writes on one platform object.

use std::fmt;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use smallvec::smallvec;

/// The form of the object's content; the first byte.
const FORMAT: u8 = 1;

/// Most seats of a table, so that its object stays far below a megabyte.
const SEATS_MAX: usize = 4096;

/// Most lists of seats that may be in force at the same time.
pub(crate) const LAYOUTS_MAX: usize = 4;

/// One seat is kept for a newcomer, and one more for each so many VMs.
const VMS_PER_SPARE: usize = 16;

/// The number of a seat table; each write adds one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch after this one.
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

/// The number of a seat; never used again for another.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SeatId(pub u32);

/// A part of every server's connections, held by at most one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    /// Its number.
    pub id: SeatId,
    /// The data centre whose servers it is given more of; `None` for a spare seat, which stands for
    /// half as much as another and is kept for a newcomer.
    pub data_centre: Option<DataCentre>,
}

/// A list of seats and the first epoch in which it was in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatLayout {
    /// The first epoch in which it was in force.
    pub since: Epoch,
    /// The seats, vacant ones too.
    pub seats: Vec<Seat>,
}

/// A seat and its holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatHolder {
    /// The seat.
    pub seat: SeatId,
    /// The VM that holds it.
    pub vm: VmId,
    /// The run of its process that registered. A new run registers again before it uses the seat,
    /// so that a write of the run before, still under way, fails on the object's version.
    pub incarnation: Incarnation,
    /// The epoch in which that run registered; it has never been at an older one.
    pub since: Epoch,
}

/// Who may hold connections: a list of seats, some of them vacant.
///
/// Every VM computes from the table alone how many connections each seat stands for
/// ([`crate::seat_share`]); for one list of seats these add up to the server's limit. The sum that
/// *existing* processes hold stays within the limit because:
///
/// 1. A seat has one holder. It is vacated by its holder once that holds no connection, or when the
///    platform has removed the holder; so two processes that exist never hold the same seat.
/// 2. A process has *lowered* to an epoch once its open connections are within that table. What it
///    holds is within the smallest of its seat's shares over every epoch from `lo` to the one
///    lowered to, where `lo` is the oldest epoch that any holder may still be at, as far as it
///    knows. What it knows is never newer than what is, as epochs only grow.
/// 3. Let E be the oldest epoch that any process that holds a seat is lowered to. E lies within
///    every process's span, so each holds at most its seat's share in E, and these add up to the
///    limit.
///
/// A paused or cut-off VM keeps E, and so everyone's span, at its epoch: nobody takes over what it
/// may hold. A spare seat has had its share in every epoch of the span, with nobody in it, and so a
/// newcomer may use it at once even then.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatTable {
    /// The number of this table.
    pub epoch: Epoch,
    /// The lists of seats that some VM may still hold to, oldest first; the last is in force now.
    #[serde(rename = "shapes")]
    pub layouts: SmallVec<[SeatLayout; 1]>,
    /// The seats that are held.
    #[serde(rename = "held")]
    pub holders: Vec<SeatHolder>,
}

impl SeatTable {
    /// The platform object that holds it.
    pub const PATH: &'static str = "members/seats";

    /// Makes the first table, with a seat for each of these VMs and spare ones.
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
        table.add_spares();
        table
    }

    /// Reads a table from its object's content.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Version`] for another form; [`ErrorKind::BadInput`] if it does not decode or
    /// breaks a rule, such as a seat held twice.
    pub fn decode(content: &[u8]) -> Result<Self> {
        let (format, rest) = content
            .split_first()
            .ok_or_else(|| bad("the seat table is empty"))?;
        if *format != FORMAT {
            return Err(Error::new(
                ErrorKind::Version,
                format!("the seat table has form {format}, not {FORMAT}"),
            )
            .at("read seat table"));
        }
        let table: Self = postcard::from_bytes(rest).map_err(|e| bad(&e.to_string()))?;
        table.check()?;
        Ok(table)
    }

    /// Writes the object's content.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if it does not encode.
    pub fn encode(&self) -> Result<Vec<u8>> {
        postcard::to_extend(self, vec![FORMAT]).map_err(|e| bad(&e.to_string()))
    }

    /// The seats in force now.
    #[must_use]
    pub fn seats(&self) -> &[Seat] {
        self.layouts.last().map_or(&[], |s| &s.seats)
    }

    /// The seat that a VM holds.
    #[must_use]
    pub fn seat_of(&self, vm: &VmId) -> Option<&SeatHolder> {
        self.holders.iter().find(|h| h.vm == *vm)
    }

    /// The seats that nobody holds.
    pub fn vacant_seats(&self) -> impl Iterator<Item = &Seat> {
        let taken = |id| self.holders.iter().any(|h| h.seat == id);
        self.seats().iter().filter(move |s| !taken(s.id))
    }

    /// Seats a VM, or its new run: its own seat, else a vacant one that can be used at once, of its
    /// own data centre if possible, else a new one.
    pub(crate) fn take(&mut self, vm: &VmId, incarnation: Incarnation, dc: &DataCentre) {
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
        let order = |s: &&Seat| (!self.is_settled(s.id), rank(s), s.id);
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

    /// Whether a vacant seat is in every list of seats, so that a newcomer may use it at once.
    pub(crate) fn has_settled_vacancy(&self) -> bool {
        self.vacant_seats().any(|s| self.is_settled(s.id))
    }

    fn is_settled(&self, seat: SeatId) -> bool {
        let has = |layout: &SeatLayout| layout.seats.iter().any(|s| s.id == seat);
        self.layouts.iter().all(has)
    }

    /// Vacates a VM's seat.
    pub(crate) fn vacate(&mut self, vm: &VmId) {
        self.holders.retain(|h| h.vm != *vm);
    }

    /// Takes a vacant seat out of the list.
    pub(crate) fn remove_seat(&mut self, seat: SeatId) {
        if let Some(s) = self.layouts.last_mut() {
            s.seats.retain(|s| s.id != seat);
        }
    }

    /// Gives a seat to a data centre, which makes a spare seat a full one.
    pub(crate) fn move_seat(&mut self, seat: SeatId, dc: &DataCentre) {
        let seats = self.layouts.last_mut().map(|s| &mut s.seats);
        let seat = seats.and_then(|s| s.iter_mut().find(|s| s.id == seat));
        if let Some(s) = seat {
            s.data_centre = Some(dc.clone());
        }
    }

    /// Adds vacant seats until a newcomer finds one.
    pub(crate) fn add_spares(&mut self) {
        let want = 1 + self.seats().len() / VMS_PER_SPARE;
        while self.vacant_seats().count() < want && self.seats().len() < SEATS_MAX {
            self.add_seat(None);
        }
    }

    /// Forgets lists of seats that no VM can hold to any more; `lo` is the oldest epoch in use.
    pub(crate) fn prune(&mut self, lo: Epoch) {
        while self.layouts.get(1).is_some_and(|s| s.since <= lo) {
            self.layouts.remove(0);
        }
    }

    /// Numbers a changed table: the next epoch, and the list of seats kept apart from `before`'s if
    /// it differs.
    pub(crate) fn succeed(mut self, before: &Self) -> Self {
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

    fn check(&self) -> Result<()> {
        let mut seats: Vec<_> = self.holders.iter().map(|h| h.seat).collect();
        seats.sort_unstable();
        seats.dedup();
        if seats.len() != self.holders.len() {
            return Err(bad("the seat table has a seat held twice"));
        }
        if self.layouts.is_empty() || self.layouts.len() > LAYOUTS_MAX {
            return Err(bad("the seat table has no list of seats or too many"));
        }
        if self.layouts.iter().any(|s| s.seats.len() > SEATS_MAX) {
            return Err(bad("the seat table has too many seats"));
        }
        Ok(())
    }
}

fn bad(text: &str) -> Error {
    Error::new(ErrorKind::BadInput, text).at("read seat table")
}
