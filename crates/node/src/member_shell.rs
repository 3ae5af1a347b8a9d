//! Carries out what the membership asks for.

use std::sync::Arc;
use std::time::Duration;

use gs_http::Pool;
use gs_member::Action;
use gs_member::Event;
use gs_member::Membership;
use gs_member::SeatTable;
use gs_member::View;
use gs_mesh::Mesh;
use gs_types::prelude::*;

use crate::board::Board;
use crate::calls::Calls;
use crate::calls::failure;
use crate::calls::stored;
use crate::feeds::Feeds;
use crate::message::Message;
use crate::spread::Spread;
use gs_actor::EventTime;
use gs_actor::Feed;
use gs_actor::Machine;
use gs_actor::Shell;

/// How often it is looked whether the pool's connections are within lowered shares.
const LOWER_PAUSE: Duration = Duration::from_millis(5);

impl Machine<MemberShell> for Membership {
    type Event = Event;
    type Action = Action;

    fn on(&mut self, at: EventTime<'_>, ev: Event, out: &mut Vec<Action>) {
        Membership::on(self, at.now, ev, out);
    }

    fn tick_event() -> Event {
        Event::Tick
    }
}

/// Carries out what the membership asks for.
pub(crate) struct MemberShell {
    pub(crate) calls: Calls,
    pub(crate) feeds: Feeds,
    pub(crate) spread: Spread,
    pub(crate) mesh: Arc<dyn Mesh<Message>>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) board: Arc<Board>,
}

impl Shell<Membership> for MemberShell {
    fn perform(&mut self, action: Action, feed: &Feed<Event>) -> Option<Duration> {
        match action {
            Action::Send(vm, beat) => self.spread.send(&vm, &Message::Beat(beat)),
            Action::Peers(peers) => self.mesh.peers(&peers),
            Action::Shares { epoch, shares } => self.share(epoch, shares, feed.clone()),
            Action::View(view) => self.view(view),
            Action::ReadTable => {
                let feed = feed.clone();
                self.calls.read(SeatTable::PATH.to_owned(), move |r| {
                    let r = r.map(|o| o.map(stored)).map_err(|e| failure(&e));
                    feed.push(Event::TableRead(r));
                });
            }
            Action::WriteTable {
                if_version,
                content,
            } => {
                let feed = feed.clone();
                self.calls
                    .write(SeatTable::PATH.to_owned(), if_version, content, move |r| {
                        feed.push(Event::TableWrote(r.map(|v| v.0).map_err(|e| failure(&e))));
                    });
            }
            Action::Wake(after) => return Some(after),
        }
        None
    }
}

impl MemberShell {
    fn view(&self, view: Arc<View>) {
        log::info!(
            "event=view live={} known={}",
            view.live().count(),
            view.vms.len()
        );
        self.feeds
            .once
            .push(gs_once::Event::Members(Arc::clone(&view)));
        self.board.set_view(view);
    }

    /// Applies shares and says so once the open connections are within them.
    fn share(
        &self,
        epoch: gs_member::Epoch,
        shares: Vec<(ServerName, Connections)>,
        feed: Feed<Event>,
    ) {
        if !shares.is_empty() {
            self.board.set_shares_given();
        }
        self.pool.set_shares(&shares);
        self.feeds.engine.push(gs_query::Event::Shares(shares));
        let pool = Arc::clone(&self.pool);
        tokio::spawn(async move {
            while !pool.within_shares() {
                tokio::time::sleep(LOWER_PAUSE).await;
            }
            feed.push(Event::Lowered(epoch));
        });
    }
}
