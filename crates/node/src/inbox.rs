//! Dispatches messages of other VMs to the state machines.

use std::sync::Arc;

use gs_mesh::Received;
use gs_query::NoticeSource;
use gs_types::prelude::*;
use tokio::sync::mpsc;

use crate::dumps::Dumps;
use crate::message::Message;
use crate::platform_watcher::PlatformWatcher;

/// Processes messages until the mesh is closed.
pub(crate) async fn run(
    mut rx: mpsc::Receiver<Received<Message>>,
    watcher: PlatformWatcher,
    dumps: Arc<Dumps>,
) {
    while let Some(r) = rx.recv().await {
        dispatch(r, &watcher, &dumps);
    }
}

fn dispatch(r: Received<Message>, watcher: &PlatformWatcher, dumps: &Dumps) {
    let Received {
        from,
        incarnation,
        msg,
    } = r;
    match msg {
        Message::Beat(heartbeat) => {
            watcher.feeds.membership.push(gs_member::Event::Heartbeat {
                from,
                incarnation,
                heartbeat,
            });
        }
        Message::Conf(msg) => watcher
            .feeds
            .config_manager
            .push(gs_conf::Event::Message(from, msg)),
        Message::Claim(msg) => watcher.feeds.once.push(gs_once::Event::Peer(from, msg)),
        Message::Sign(notice) => {
            watcher
                .feeds
                .engine
                .push(gs_query::Event::Sign(notice, NoticeSource::Peer));
        }
        Message::WantGroups => send_groups(watcher, &from),
        Message::Group(map) => watcher.apply_group(&map),
        Message::WantDump(id) => watcher
            .peer_sender
            .send(&from, &Message::Dump(id, dumps.own_state_text())),
        Message::Dump(id, text) => dumps.on_dump(id, from, &text),
    }
}

/// Sends all known shard maps to a peer.
fn send_groups(watcher: &PlatformWatcher, to: &VmId) {
    for map in watcher.state.groups() {
        watcher.peer_sender.send(to, &Message::Group(map));
    }
}
