//! Follows the platform's configuration, shard maps, seat table and list of VMs.

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

use crate::config_manager_shell::read_result;
use crate::feeds::Feeds;
use crate::group_loading;
use crate::peer_sender::PeerSender;
use crate::platform_calls::to_stored;
use crate::shared_state::SharedState;
use gs_actor::Shared;
use gs_actor::lock;

/// The path prefix of the shard maps' objects.
pub(crate) const GROUPS_PREFIX: &str = "groups/";

/// The time between two reads of the list of VMs.
const VM_LIST_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// How long a changed configuration may take to arrive from peers before it is read from the platform. The delay saves
/// calls, because the platform counts each of them.
const CONFIG_READ_DELAY: Duration = Duration::from_millis(50);

/// Follows the platform and passes its changes to the state machines.
#[derive(Clone)]
pub(crate) struct PlatformWatcher {
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) feeds: Feeds,
    pub(crate) state: Arc<SharedState>,
    pub(crate) peer_sender: PeerSender,
    pub(crate) seed: u64,
    /// How long one call of a watch waits for a change.
    pub(crate) watch_wait: Duration,
    /// Provides the version of the configuration that is already known.
    pub(crate) config_manager: Shared<ConfigManager>,
}

impl PlatformWatcher {
    /// Starts all tasks that follow the platform.
    pub(crate) fn start(self) {
        let config_manager = Arc::clone(&self.config_manager);
        let held: HeldPredicate =
            Arc::new(move |_, version| lock(&config_manager).summary().object >= version.0);
        self.watch(CURRENT_PATH, Some(held), |watcher, update| {
            watcher
                .feeds
                .config_manager
                .push(gs_conf::Event::Read(read_result(Ok(update.object))));
        });
        self.watch(GROUPS_PREFIX, None, |watcher, update| {
            watcher.on_group_changed(&update)
        });
        self.watch(SeatTable::PATH, None, |watcher, update| {
            let table = update.object.map(to_stored);
            watcher
                .feeds
                .membership
                .push(gs_member::Event::TableRead(Ok(table)));
        });
        tokio::spawn(self.clone().poll_vm_list());
        tokio::spawn(group_loading::wait_for_groups(self));
    }

    /// Watches a prefix; objects that are already known according to `is_held` are neither read nor passed to
    /// `on_update`.
    fn watch(
        &self,
        prefix: &'static str,
        is_held: Option<HeldPredicate>,
        on_update: impl Fn(&Self, Update) + Send + 'static,
    ) {
        let this = self.clone();
        let options = WatchOptions::builder()
            .prefix(prefix)
            .seed(self.seed)
            .wait(self.watch_wait)
            .read_delay(if is_held.is_some() {
                CONFIG_READ_DELAY
            } else {
                Duration::ZERO
            })
            .maybe_is_held(is_held)
            .build();
        tokio::spawn(async move {
            let (_watcher, mut rx) = Watcher::start(Arc::clone(&this.platform), options);
            while let Some(update) = rx.recv().await {
                on_update(&this, update);
            }
        });
    }

    /// Applies the changed object of a shard map; after a removal or an invalid change, the known map stays.
    fn on_group_changed(&self, update: &Update) {
        self.state.set_group_read(&update.path);
        let Some(o) = &update.object else {
            log::warn!("event=group-removed path={}", update.path);
            return;
        };
        match serde_json::from_slice::<GroupMap>(&o.content) {
            Ok(map) => self.apply_group(&Arc::new(map)),
            Err(e) => log::error!("event=group-refused path={} error=\"{e}\"", update.path),
        }
    }

    /// Applies a shard map from the platform or a peer; an older one is ignored.
    pub(crate) fn apply_group(&self, map: &Arc<GroupMap>) {
        self.state.apply_group(map, |declared| {
            log::info!("event=group group={} revision={}", map.group, map.revision);
            self.feeds
                .engine
                .push(gs_query::Event::Group(Arc::clone(map)));
            let names = declared.groups.keys().cloned().collect();
            self.feeds
                .config_manager
                .push(gs_conf::Event::Groups(names));
            let limits = declared.servers.values().map(|s| server_limit(s)).collect();
            self.feeds
                .membership
                .push(gs_member::Event::Servers(limits));
        });
    }

    /// Polls the list of VMs.
    async fn poll_vm_list(self) {
        loop {
            match self.platform.vms().await {
                Ok(list) => {
                    // Leaving VMs are not passed on as members: they receive patches like all others, but may exit
                    // before they acknowledge one, while the list, which lags, still contains them.
                    let staying = list.iter().filter(|v| !v.leaving);
                    let names = staying.map(|v| v.vm.clone()).collect();
                    self.feeds
                        .config_manager
                        .push(gs_conf::Event::Members(names));
                    self.feeds.membership.push(gs_member::Event::List(list));
                }
                Err(e) => log::debug!("event=vm-list-away error=\"{e}\""),
            }
            tokio::time::sleep(VM_LIST_POLL_INTERVAL).await;
        }
    }
}

fn server_limit(s: &ServerDecl) -> gs_member::ServerLimit {
    gs_member::ServerLimit {
        server: s.name.clone(),
        data_centre: s.data_centre.clone(),
        connections: s.connections,
    }
}
