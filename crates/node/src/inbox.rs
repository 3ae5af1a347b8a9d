//! Hands messages from other VMs to the decisions they are for.

use std::sync::Arc;

use gs_mesh::Received;
use gs_query::NoticeSource;
use gs_types::prelude::*;
use tokio::sync::mpsc;

use crate::dumps::Dumps;
use crate::message::Message;
use crate::watch::Follower;

/// Takes messages until the mesh ends.
pub(crate) async fn run(
    mut rx: mpsc::Receiver<Received<Message>>,
    follower: Follower,
    dumps: Arc<Dumps>,
) {
    while let Some(r) = rx.recv().await {
        take(r, &follower, &dumps);
    }
}

fn take(r: Received<Message>, f: &Follower, dumps: &Dumps) {
    let Received {
        from,
        incarnation,
        msg,
    } = r;
    match msg {
        Message::Beat(heartbeat) => {
            f.feeds.member.push(gs_member::Event::Heartbeat {
                from,
                incarnation,
                heartbeat,
            });
        }
        Message::Conf(msg) => f.feeds.book.push(gs_conf::Event::Message(from, msg)),
        Message::Claim(msg) => f.feeds.once.push(gs_once::Event::Peer(from, msg)),
        Message::Sign(sign) => {
            f.feeds
                .engine
                .push(gs_query::Event::Sign(sign, NoticeSource::Peer));
        }
        Message::WantGroups => send_groups(f, &from),
        Message::Group(map) => f.take_group(&map),
        Message::WantDump(id) => f.spread.send(&from, &Message::Dump(id, dumps.own_text())),
        Message::Dump(id, text) => dumps.arrived(id, from, &text),
    }
}

fn send_groups(f: &Follower, to: &VmId) {
    for map in f.board.groups() {
        f.spread.send(to, &Message::Group(map));
    }
}
