//! The state machine that combines the table of peers, the seat and the maintenance of the seat
//! table.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use gs_types::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::action::Action;
use crate::event::Event;
use crate::heartbeat::Heartbeat;
use crate::membership_view::MembershipView;
use crate::peer_table::PeerTable;
use crate::seat_share::ServerLimit;
use crate::seat_state::SeatState;
use crate::seat_table::SeatTable;
use crate::settings::MemberSettings;
use crate::table_keeper::PlatformCall;
use crate::table_keeper::TableKeeper;
use crate::vm_state;

/// The most VMs notified at once of a change that cannot wait for the next round of heartbeats.
const URGENT_RECIPIENTS_MAX: usize = 16;

/// The state machine of the membership; see the crate's documentation.
#[derive(Debug)]
pub struct Membership {
    cfg: MemberSettings,
    peers: PeerTable,
    seat: SeatState,
    table_keeper: TableKeeper,
    servers: Vec<ServerLimit>,
    view: Arc<MembershipView>,
    /// The peers of the last [`Action::Peers`].
    published_addresses: Vec<(VmId, SocketAddr)>,
    /// The content of the last [`Action::Shares`].
    published_shares: Option<(crate::Epoch, Vec<(ServerName, Connections)>)>,
    /// Whether an input of the shares changed since they were last computed.
    shares_outdated: bool,
    next_round_at: Option<Instant>,
}

impl Membership {
    /// Creates a membership that knows no other VM and no seat table.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if the built-in state machine definition is invalid.
    pub fn new(cfg: MemberSettings) -> Result<Self> {
        let rng = ChaCha8Rng::seed_from_u64(cfg.seed);
        let peers = PeerTable::new(cfg.clone(), vm_state::chart()?, rng);
        Ok(Self {
            view: Arc::new(peers.view()),
            peers,
            seat: SeatState::new(cfg.me.vm.clone(), cfg.incarnation),
            table_keeper: TableKeeper::new(cfg.clone()),
            servers: Vec::new(),
            published_addresses: Vec::new(),
            published_shares: None,
            shares_outdated: false,
            next_round_at: None,
            cfg,
        })
    }

    /// Processes an event at the time `now`, and appends the resulting actions to `out`.
    pub fn on(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::List(list) => self.on_list(now, &list),
            Event::Heartbeat {
                from,
                incarnation,
                heartbeat,
            } => self.on_heartbeat(now, &from, incarnation, heartbeat, out),
            Event::Servers(servers) => {
                self.servers = servers;
                self.shares_outdated = true;
            }
            Event::TableRead(result) => self.on_table_read(now, result, out),
            Event::TableWrote(result) => self.on_table_written(now, result, out),
            Event::Lowered(epoch) => self.on_connections_lowered(epoch, out),
            Event::Leave => self.on_leave(out),
            Event::Released => {
                self.seat.release_seat();
                self.shares_outdated = true;
            }
            Event::Tick => {}
        }
        self.start_heartbeat_round(now, out);
        self.publish_view(out);
        let leaving = self.peers.is_leaving();
        if self.table_keeper.is_read_due(now, leaving, &self.seat) {
            self.table_keeper.call_in_flight = PlatformCall::Read;
            out.push(Action::ReadTable);
        }
        if std::mem::take(&mut self.shares_outdated) {
            self.publish_shares(out);
        }
        let next = self.next_round_at.unwrap_or(now);
        out.push(Action::Wake(next.saturating_duration_since(now)));
    }

    /// Returns the view of the last [`Action::View`].
    #[must_use]
    pub fn view(&self) -> &Arc<MembershipView> {
        &self.view
    }

    /// Returns the newest seat table that this VM knows.
    #[must_use]
    pub fn table(&self) -> Option<&SeatTable> {
        self.seat.table()
    }

    /// Returns the epochs of the seat table that this VM has read and lowered to.
    #[must_use]
    pub fn table_epochs(&self) -> crate::TableEpochs {
        self.seat.table_epochs()
    }

    fn on_list(&mut self, now: Instant, list: &[VmEntry]) {
        let me = &self.cfg.me.vm;
        if list.iter().any(|e| e.vm == *me && e.leaving) && !self.peers.is_leaving() {
            self.peers.mark_leaving();
        }
        self.peers.on_list(now, list);
        self.table_keeper.on_list(now, list, &self.seat);
    }

    fn on_heartbeat(
        &mut self,
        now: Instant,
        from: &VmId,
        incarnation: Incarnation,
        heartbeat: Heartbeat,
        out: &mut Vec<Action>,
    ) {
        let entry = heartbeat.entry.as_deref();
        self.peers
            .note_alive(now, from, incarnation, entry, heartbeat.leaving);
        self.peers
            .note_knows_this_vm(from, heartbeat.knows_receiver);
        self.shares_outdated |= self
            .seat
            .note_peer_lowered(from, heartbeat.table_epochs.lowered);
        for r in &heartbeat.rumours {
            self.peers.on_rumour(now, r);
            self.shares_outdated |= self.seat.note_peer_lowered(&r.vm, r.lowered);
        }
        if let Some((version, content)) = heartbeat.table {
            self.adopt_table(version, &content);
        }
        let behind = heartbeat.table_epochs.read < self.seat.table_epochs().read;
        if heartbeat.wants_answer || behind {
            self.send_heartbeat(from, false, behind, out);
        }
    }

    /// Starts a round of heartbeats if one is due.
    fn start_heartbeat_round(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.next_round_at.is_some_and(|t| now < t) {
            return;
        }
        self.next_round_at = Some(now + self.cfg.heartbeat_interval);
        self.peers.expire_silent_peers(now);
        for vm in self.peers.choose_probes(now) {
            self.send_heartbeat(&vm, true, false, out);
        }
    }

    fn send_heartbeat(
        &mut self,
        to: &VmId,
        wants_answer: bool,
        table: bool,
        out: &mut Vec<Action>,
    ) {
        let peer = self.peers.peer(to);
        let has_contact = peer.is_some_and(|p| p.last_contact.is_some());
        // A new incarnation of a known peer may know no other VM, as it has no list of VMs while
        // the platform is unreachable. It answers probes, but without this entry it cannot send
        // any.
        let known_there = peer.is_some_and(|p| p.knows_this_vm);
        let table_epochs = self.seat.table_epochs();
        let seat = &self.seat;
        let me = &self.cfg.me.vm;
        let rumours = self.peers.next_rumours(|vm| match vm == me {
            true => table_epochs.lowered,
            false => seat.lowered_epoch_of(vm),
        });
        let heartbeat = Heartbeat {
            wants_answer,
            leaving: self.peers.is_leaving(),
            knows_receiver: has_contact,
            entry: (!has_contact || !known_there).then(|| Box::new(self.cfg.me.clone())),
            table_epochs,
            rumours,
            table: table.then(|| self.encode_table()).flatten(),
        };
        out.push(Action::Send(to.clone(), heartbeat));
    }

    fn encode_table(&self) -> Option<(u64, Vec<u8>)> {
        let content = self.seat.table()?.encode().ok()?;
        Some((self.seat.table_version(), content))
    }

    /// Sends heartbeats to some live neighbours at once, with the seat table if `table` is set.
    fn notify_live_neighbours(&mut self, table: bool, out: &mut Vec<Action>) {
        for vm in self.peers.random_live_neighbours(URGENT_RECIPIENTS_MAX) {
            self.send_heartbeat(&vm, false, table, out);
        }
    }

    fn adopt_table(&mut self, version: u64, content: &[u8]) {
        match SeatTable::decode(content) {
            Ok(table) => self.shares_outdated |= self.seat.adopt(version, table),
            Err(e) => log::warn!("event=seat-table-refused version={version} error=\"{e}\""),
        }
    }

    fn on_table_read(
        &mut self,
        now: Instant,
        result: Result<Option<Stored>, StoreError>,
        out: &mut Vec<Action>,
    ) {
        if matches!(self.table_keeper.call_in_flight, PlatformCall::Read) {
            self.table_keeper.call_in_flight = PlatformCall::None;
        }
        match result {
            Ok(stored) => {
                self.table_keeper.note_table_read(now);
                let if_version = stored.as_ref().map_or(0, |s| s.version);
                if let Some(s) = stored {
                    self.adopt_table(s.version, &s.content);
                }
                self.write_next_table(now, if_version, out);
            }
            Err(_) => self.back_off(now),
        }
    }

    /// Writes the next table, if the one read is the newest known and needs a change.
    fn write_next_table(&mut self, now: Instant, if_version: u64, out: &mut Vec<Action>) {
        let newest = if_version == self.seat.table_version();
        if !newest || !matches!(self.table_keeper.call_in_flight, PlatformCall::None) {
            return;
        }
        let next = self.table_keeper.next_table(now, &self.peers, &self.seat);
        let Some((table, content)) = next.and_then(|t| t.encode().ok().map(|c| (t, c))) else {
            return;
        };
        let moves = self.seat.table().is_some_and(|t| {
            let me = &self.cfg.me.vm;
            t.seat_of(me).map(|h| h.seat) != table.seat_of(me).map(|h| h.seat)
        });
        if moves {
            self.seat.block_seat();
        }
        self.table_keeper.call_in_flight = PlatformCall::Write(table);
        out.push(Action::WriteTable {
            if_version,
            content,
        });
    }

    fn on_table_written(
        &mut self,
        now: Instant,
        result: Result<u64, StoreError>,
        out: &mut Vec<Action>,
    ) {
        let call = std::mem::replace(&mut self.table_keeper.call_in_flight, PlatformCall::None);
        match (result, call) {
            (Ok(version), PlatformCall::Write(table)) => {
                self.shares_outdated |= self.seat.adopt(version, table);
                self.notify_live_neighbours(true, out);
            }
            (Err(StoreError::Conflict), _) => {
                self.table_keeper.call_in_flight = PlatformCall::Read;
                out.push(Action::ReadTable);
            }
            // A write with an unknown result may have taken effect or may still do so. The next
            // write is computed from the table as read then, and the version that it is conditional
            // on decides which of the two takes effect.
            _ => self.back_off(now),
        }
    }

    fn back_off(&mut self, now: Instant) {
        let time = self.peers.jitter(self.cfg.platform_backoff);
        self.table_keeper.back_off(now, time);
    }

    fn on_connections_lowered(&mut self, epoch: crate::Epoch, out: &mut Vec<Action>) {
        let before = self.seat.table_epochs().lowered;
        self.seat.note_own_lowered(epoch);
        if self.seat.table_epochs().lowered > before {
            self.shares_outdated = true;
            self.notify_live_neighbours(false, out);
        }
    }

    fn on_leave(&mut self, out: &mut Vec<Action>) {
        if !self.peers.is_leaving() {
            self.peers.mark_leaving();
            self.notify_live_neighbours(false, out);
        }
    }

    fn publish_view(&mut self, out: &mut Vec<Action>) {
        if !self.peers.take_view_changed() {
            return;
        }
        self.view = Arc::new(self.peers.view());
        self.table_keeper.has_duty = self.view.has_duty(SeatTable::PATH);
        out.push(Action::View(Arc::clone(&self.view)));
        let addresses = self.peers.neighbour_addresses();
        if addresses != self.published_addresses {
            self.published_addresses = addresses;
            out.push(Action::Peers(self.published_addresses.clone()));
        }
    }

    fn publish_shares(&mut self, out: &mut Vec<Action>) {
        let epoch = self.seat.table_epochs().read;
        let shares = self.seat.allowed_connections(&self.servers);
        let current = Some((epoch, shares.clone()));
        if current != self.published_shares {
            self.published_shares = current;
            out.push(Action::Shares { epoch, shares });
        }
    }
}
