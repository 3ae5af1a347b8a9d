//! The I/O driver (shell) of the membership: performs its actions.

use std::sync::Arc;
use std::time::Duration;

use gs_http::ConnectionPools;
use gs_member::Action;
use gs_member::Event;
use gs_member::Membership;
use gs_member::MembershipView;
use gs_member::SeatTable;
use gs_mesh::Mesh;
use gs_types::prelude::*;

use crate::feeds::Feeds;
use crate::message::Message;
use crate::peer_sender::PeerSender;
use crate::platform_calls::PlatformCalls;
use crate::platform_calls::store_error;
use crate::platform_calls::to_stored;
use crate::shared_state::SharedState;
use gs_actor::EventTime;
use gs_actor::Feed;
use gs_actor::Machine;
use gs_actor::Shell;

/// The time between two checks whether the pool's open connections are within lowered shares.
const SHARES_CHECK_INTERVAL: Duration = Duration::from_millis(5);

impl Machine<MembershipShell> for Membership {
    type Event = Event;
    type Action = Action;

    fn on(&mut self, at: EventTime<'_>, ev: Event, out: &mut Vec<Action>) {
        Membership::on(self, at.now, ev, out);
    }

    fn tick_event() -> Event {
        Event::Tick
    }
}

/// The I/O driver (shell) of the membership: performs its actions.
pub(crate) struct MembershipShell {
    pub(crate) calls: PlatformCalls,
    pub(crate) feeds: Feeds,
    pub(crate) peer_sender: PeerSender,
    pub(crate) mesh: Arc<dyn Mesh<Message>>,
    pub(crate) pool: Arc<ConnectionPools>,
    pub(crate) state: Arc<SharedState>,
}

impl Shell<Membership> for MembershipShell {
    fn perform(&mut self, action: Action, feed: &Feed<Event>) -> Option<Duration> {
        match action {
            Action::Send(vm, heartbeat) => self.peer_sender.send(&vm, &Message::Beat(heartbeat)),
            Action::Peers(peers) => self.mesh.set_peers(&peers),
            Action::Shares { epoch, shares } => self.apply_shares(epoch, shares, feed.clone()),
            Action::View(view) => self.on_view(view),
            Action::ReadTable => {
                let feed = feed.clone();
                self.calls.read(SeatTable::PATH.to_owned(), move |r| {
                    let r = r.map(|o| o.map(to_stored)).map_err(|e| store_error(&e));
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
                        feed.push(Event::TableWrote(
                            r.map(|v| v.0).map_err(|e| store_error(&e)),
                        ));
                    });
            }
            Action::Wake(after) => return Some(after),
        }
        None
    }
}

impl MembershipShell {
    /// Publishes a new view of the VMs.
    fn on_view(&self, view: Arc<MembershipView>) {
        log::info!(
            "event=view live={} known={}",
            view.live_vms().count(),
            view.vms.len()
        );
        self.feeds
            .once
            .push(gs_once::Event::Members(Arc::clone(&view)));
        self.state.set_view(view);
    }

    /// Applies shares, and reports to the membership once the open connections are within them.
    fn apply_shares(
        &self,
        epoch: gs_member::Epoch,
        shares: Vec<(ServerName, Connections)>,
        feed: Feed<Event>,
    ) {
        if !shares.is_empty() {
            self.state.set_shares_received();
        }
        self.pool.set_shares(&shares);
        self.feeds.engine.push(gs_query::Event::Shares(shares));
        let pool = Arc::clone(&self.pool);
        tokio::spawn(async move {
            while !pool.is_within_shares() {
                tokio::time::sleep(SHARES_CHECK_INTERVAL).await;
            }
            feed.push(Event::Lowered(epoch));
        });
    }
}
