//! The state machine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use gs_types::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::action::Action;
use crate::event::Event;
use crate::gossip::Gossip;
use crate::heartbeat::Heartbeat;
use crate::holding::Holding;
use crate::keeper::Call;
use crate::keeper::Keeper;
use crate::seats::SeatTable;
use crate::settings::MemberSettings;
use crate::share::ServerLimit;
use crate::view::View;
use crate::vm;

/// Most VMs told at once of what cannot wait for the next heartbeat.
const URGENT_MAX: usize = 16;

/// Decides membership, duties and shares; see the crate's page.
#[derive(Debug)]
pub struct Membership {
    cfg: MemberSettings,
    gossip: Gossip,
    holding: Holding,
    keeper: Keeper,
    servers: Vec<ServerLimit>,
    view: Arc<View>,
    addresses: Vec<(VmId, SocketAddr)>,
    shares: Option<(crate::Epoch, Vec<(ServerName, Connections)>)>,
    /// Whether what the shares follow from has changed.
    stale: bool,
    next_period: Option<Instant>,
}

impl Membership {
    /// Starts with nothing known.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if the chart that is built in has a fault.
    pub fn new(cfg: MemberSettings) -> Result<Self> {
        let rng = ChaCha8Rng::seed_from_u64(cfg.seed);
        let gossip = Gossip::new(cfg.clone(), vm::chart()?, rng);
        Ok(Self {
            view: Arc::new(gossip.view()),
            gossip,
            holding: Holding::new(cfg.me.vm.clone(), cfg.incarnation),
            keeper: Keeper::new(cfg.clone()),
            servers: Vec::new(),
            addresses: Vec::new(),
            shares: None,
            stale: false,
            next_period: None,
            cfg,
        })
    }

    /// Takes one event at `now`.
    pub fn on(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::List(list) => self.list(now, &list),
            Event::Heartbeat {
                from,
                incarnation,
                heartbeat,
            } => self.heard(now, &from, incarnation, heartbeat, out),
            Event::Servers(servers) => {
                self.servers = servers;
                self.stale = true;
            }
            Event::TableRead(result) => self.table_read(now, result, out),
            Event::TableWrote(result) => self.table_wrote(now, result, out),
            Event::Lowered(epoch) => self.lowered(epoch, out),
            Event::Leave => self.leave(out),
            Event::Released => {
                self.holding.release();
                self.stale = true;
            }
            Event::Tick => {}
        }
        self.period(now, out);
        self.publish_view(out);
        let leaving = self.gossip.is_leaving();
        if self.keeper.is_due(now, leaving, &self.holding) {
            self.keeper.call = Call::Read;
            out.push(Action::ReadTable);
        }
        if std::mem::take(&mut self.stale) {
            self.publish_shares(out);
        }
        let next = self.next_period.unwrap_or(now);
        out.push(Action::Wake(next.saturating_duration_since(now)));
    }

    /// The view as last told.
    #[must_use]
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// The seat table that this VM goes by.
    #[must_use]
    pub fn table(&self) -> Option<&SeatTable> {
        self.holding.table()
    }

    /// The epochs that this VM has read and lowered to.
    #[must_use]
    pub fn table_epochs(&self) -> crate::TableEpochs {
        self.holding.table_epochs()
    }

    fn list(&mut self, now: Instant, list: &[VmEntry]) {
        let me = &self.cfg.me.vm;
        if list.iter().any(|e| e.vm == *me && e.leaving) && !self.gossip.is_leaving() {
            self.gossip.leave();
        }
        self.gossip.list(now, list);
        self.keeper.list(now, list, &self.holding);
    }

    fn heard(
        &mut self,
        now: Instant,
        from: &VmId,
        run: Incarnation,
        heartbeat: Heartbeat,
        out: &mut Vec<Action>,
    ) {
        let entry = heartbeat.entry.as_deref();
        self.gossip.hear(now, from, run, entry, heartbeat.leaving);
        self.gossip.note_known(from, heartbeat.knows_receiver);
        self.stale |= self.holding.hear(from, heartbeat.table_epochs.lowered);
        for r in &heartbeat.rumours {
            self.gossip.rumour(now, r);
            self.stale |= self.holding.hear(&r.vm, r.lowered);
        }
        if let Some((version, content)) = heartbeat.table {
            self.adopt(version, &content);
        }
        let behind = heartbeat.table_epochs.read < self.holding.table_epochs().read;
        if heartbeat.wants_answer || behind {
            self.send(from, false, behind, out);
        }
    }

    fn period(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.next_period.is_some_and(|t| now < t) {
            return;
        }
        self.next_period = Some(now + self.cfg.heartbeat_interval);
        self.gossip.judge(now);
        for vm in self.gossip.asked(now) {
            self.send(&vm, true, false, out);
        }
    }

    fn send(&mut self, to: &VmId, wants_answer: bool, table: bool, out: &mut Vec<Action>) {
        let peer = self.gossip.peer(to);
        let met = peer.is_some_and(|p| p.heard.is_some());
        // A new run of a known peer may know nobody, as it has no list of VMs while the platform is
        // away: it answers whoever asks it, but cannot ask anybody without this entry.
        let known_there = peer.is_some_and(|p| p.knows_us);
        let table_epochs = self.holding.table_epochs();
        let holding = &self.holding;
        let me = &self.cfg.me.vm;
        let rumours = self.gossip.rumours(|vm| match vm == me {
            true => table_epochs.lowered,
            false => holding.lowered_of(vm),
        });
        let heartbeat = Heartbeat {
            wants_answer,
            leaving: self.gossip.is_leaving(),
            knows_receiver: met,
            entry: (!met || !known_there).then(|| Box::new(self.cfg.me.clone())),
            table_epochs,
            rumours,
            table: table.then(|| self.encoded_table()).flatten(),
        };
        out.push(Action::Send(to.clone(), heartbeat));
    }

    fn encoded_table(&self) -> Option<(u64, Vec<u8>)> {
        let content = self.holding.table()?.encode().ok()?;
        Some((self.holding.version(), content))
    }

    /// Tells some VMs at once, with the table or only that this VM has lowered to it.
    fn tell(&mut self, table: bool, out: &mut Vec<Action>) {
        for vm in self.gossip.some_live(URGENT_MAX) {
            self.send(&vm, false, table, out);
        }
    }

    fn adopt(&mut self, version: u64, content: &[u8]) {
        match SeatTable::decode(content) {
            Ok(table) => self.stale |= self.holding.adopt(version, table),
            Err(e) => log::warn!("event=seat-table-refused version={version} error=\"{e}\""),
        }
    }

    fn table_read(
        &mut self,
        now: Instant,
        result: Result<Option<Stored>, StoreError>,
        out: &mut Vec<Action>,
    ) {
        if matches!(self.keeper.call, Call::Read) {
            self.keeper.call = Call::None;
        }
        match result {
            Ok(stored) => {
                self.keeper.look(now);
                let if_version = stored.as_ref().map_or(0, |s| s.version);
                if let Some(s) = stored {
                    self.adopt(s.version, &s.content);
                }
                self.improve(now, if_version, out);
            }
            Err(_) => self.rest(now),
        }
    }

    /// Writes a better table, if what was read is the newest known.
    fn improve(&mut self, now: Instant, if_version: u64, out: &mut Vec<Action>) {
        let newest = if_version == self.holding.version();
        if !newest || !matches!(self.keeper.call, Call::None) {
            return;
        }
        let better = self.keeper.improve(now, &self.gossip, &self.holding);
        let Some((table, content)) = better.and_then(|t| t.encode().ok().map(|c| (t, c))) else {
            return;
        };
        let moves = self.holding.table().is_some_and(|t| {
            let me = &self.cfg.me.vm;
            t.seat_of(me).map(|h| h.seat) != table.seat_of(me).map(|h| h.seat)
        });
        if moves {
            self.holding.bar();
        }
        self.keeper.call = Call::Write(table);
        out.push(Action::WriteTable {
            if_version,
            content,
        });
    }

    fn table_wrote(
        &mut self,
        now: Instant,
        result: Result<u64, StoreError>,
        out: &mut Vec<Action>,
    ) {
        let call = std::mem::replace(&mut self.keeper.call, Call::None);
        match (result, call) {
            (Ok(version), Call::Write(table)) => {
                self.stale |= self.holding.adopt(version, table);
                self.tell(true, out);
            }
            (Err(StoreError::Conflict), _) => {
                self.keeper.call = Call::Read;
                out.push(Action::ReadTable);
            }
            // A lost write may have taken effect or may yet: what to write next is worked out from
            // the table as it is read then, and the version written against settles which one counts.
            _ => self.rest(now),
        }
    }

    fn rest(&mut self, now: Instant) {
        let time = self.gossip.jitter(self.cfg.platform_backoff);
        self.keeper.rest(now, time);
    }

    fn lowered(&mut self, epoch: crate::Epoch, out: &mut Vec<Action>) {
        let before = self.holding.table_epochs().lowered;
        self.holding.lower(epoch);
        if self.holding.table_epochs().lowered > before {
            self.stale = true;
            self.tell(false, out);
        }
    }

    fn leave(&mut self, out: &mut Vec<Action>) {
        if !self.gossip.is_leaving() {
            self.gossip.leave();
            self.tell(false, out);
        }
    }

    fn publish_view(&mut self, out: &mut Vec<Action>) {
        if !self.gossip.take_changed() {
            return;
        }
        self.view = Arc::new(self.gossip.view());
        self.keeper.on_duty = self.view.holds(SeatTable::PATH);
        out.push(Action::View(Arc::clone(&self.view)));
        let addresses = self.gossip.addresses();
        if addresses != self.addresses {
            self.addresses = addresses;
            out.push(Action::Peers(self.addresses.clone()));
        }
    }

    fn publish_shares(&mut self, out: &mut Vec<Action>) {
        let epoch = self.holding.table_epochs().read;
        let shares = self.holding.shares(&self.servers);
        let told = Some((epoch, shares.clone()));
        if told != self.shares {
            self.shares = told;
            out.push(Action::Shares { epoch, shares });
        }
    }
}
