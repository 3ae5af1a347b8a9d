//! Follows the platform: configuration, shard maps, the seat table and the list of VMs.

use std::sync::Arc;
use std::time::Duration;

use gs_conf::CURRENT_PATH;
use gs_conf::ConfigManager;
use gs_member::SeatTable;
use gs_store::HeldPredicate;
use gs_store::Platform;
use gs_store::Update;
use gs_store::WatchOptions;
use gs_store::Watcher;
use gs_types::prelude::*;

use crate::board::Board;
use crate::book_shell::found;
use crate::calls::stored;
use crate::feeds::Feeds;
use crate::first_groups;
use crate::spread::Spread;
use gs_actor::Shared;
use gs_actor::lock;

/// Where shard maps are kept.
pub(crate) const GROUPS: &str = "groups/";

/// Time between two reads of the list of VMs.
const VMS_EVERY: Duration = Duration::from_secs(1);

/// How long a change of the configuration is left to peers before it is read from the platform, which
/// counts every call.
const PEERS_FIRST: Duration = Duration::from_millis(50);

/// What following the platform needs.
#[derive(Clone)]
pub(crate) struct Follower {
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) feeds: Feeds,
    pub(crate) board: Arc<Board>,
    pub(crate) spread: Spread,
    pub(crate) seed: u64,
    /// How long a watch waits for a change.
    pub(crate) wait: Duration,
    /// Tells which configuration is held already.
    pub(crate) book: Shared<ConfigManager>,
}

impl Follower {
    /// Starts every task that follows the platform.
    pub(crate) fn start(self) {
        let book = Arc::clone(&self.book);
        let held: HeldPredicate =
            Arc::new(move |_, version| lock(&book).summary().object >= version.0);
        self.watch(CURRENT_PATH, Some(held), |f, u| {
            f.feeds.book.push(gs_conf::Event::Read(found(Ok(u.object))));
        });
        self.watch(GROUPS, None, |f, u| f.group_changed(&u));
        self.watch(SeatTable::PATH, None, |f, u| {
            let table = u.object.map(stored);
            f.feeds.member.push(gs_member::Event::TableRead(Ok(table)));
        });
        tokio::spawn(self.clone().follow_vms());
        tokio::spawn(first_groups::load(self));
    }

    /// Watches a prefix; what `holds` says is held already is neither read nor handed over.
    fn watch(
        &self,
        prefix: &'static str,
        holds: Option<HeldPredicate>,
        on: impl Fn(&Self, Update) + Send + 'static,
    ) {
        let this = self.clone();
        let options = WatchOptions::builder()
            .prefix(prefix)
            .seed(self.seed)
            .wait(self.wait)
            .read_delay(if holds.is_some() {
                PEERS_FIRST
            } else {
                Duration::ZERO
            })
            .maybe_is_held(holds)
            .build();
        tokio::spawn(async move {
            let (_watcher, mut rx) = Watcher::start(Arc::clone(&this.platform), options);
            while let Some(u) = rx.recv().await {
                on(&this, u);
            }
        });
    }

    fn group_changed(&self, u: &Update) {
        self.board.set_group_read(&u.path);
        let Some(o) = &u.object else {
            log::warn!("event=group-removed path={}", u.path);
            return;
        };
        match serde_json::from_slice::<GroupMap>(&o.content) {
            Ok(map) => self.take_group(&Arc::new(map)),
            Err(e) => log::error!("event=group-refused path={} error=\"{e}\"", u.path),
        }
    }

    /// Takes a shard map from the platform or a peer; an older one is ignored.
    pub(crate) fn take_group(&self, map: &Arc<GroupMap>) {
        self.board.take_group(map, |declared| {
            log::info!("event=group group={} revision={}", map.group, map.revision);
            self.feeds
                .engine
                .push(gs_query::Event::Group(Arc::clone(map)));
            let names = declared.groups.keys().cloned().collect();
            self.feeds.book.push(gs_conf::Event::Groups(names));
            let limits = declared.servers.values().map(|s| limit_of(s)).collect();
            self.feeds.member.push(gs_member::Event::Servers(limits));
        });
    }

    async fn follow_vms(self) {
        loop {
            match self.platform.vms().await {
                Ok(list) => {
                    // A VM on its way out learns of a patch like every other, but may be gone before it can
                    // acknowledge one, while the lagging list still shows it.
                    let staying = list.iter().filter(|v| !v.leaving);
                    let names = staying.map(|v| v.vm.clone()).collect();
                    self.feeds.book.push(gs_conf::Event::Members(names));
                    self.feeds.member.push(gs_member::Event::List(list));
                }
                Err(e) => log::debug!("event=vm-list-away error=\"{e}\""),
            }
            tokio::time::sleep(VMS_EVERY).await;
        }
    }
}

fn limit_of(s: &ServerDecl) -> gs_member::ServerLimit {
    gs_member::ServerLimit {
        server: s.name.clone(),
        data_centre: s.data_centre.clone(),
        connections: s.connections,
    }
}
