//! Mirrors the directory's routes or servers into the relay, across outages of any length.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use gs_actor::Feed;
use gs_relay::CoalesceDelay;
use gs_relay::Event;
use gs_store::Backoff;
use gs_types::prelude::*;
use tokio::time::Instant;

use crate::directory::Directory;
use crate::directory::DirectoryKind;
use crate::directory::Item;
use crate::directory::ItemContent;
use crate::directory::Origin;
use crate::directory_reachability::DirectoryReachability;
use crate::shared_state::SharedState;

/// How long a watch waits before it ends without changes; the register makes shorter calls meanwhile.
const WATCH_WAIT: Duration = Duration::from_secs(29);

/// The number of changes in a full page. More changes may be waiting after one: a delay before each page would leave
/// this VM seconds behind after a burst of changes.
const FULL_PAGE_LEN: usize = 200;

/// The names of the kinds in log lines, by [`DirectoryKind`].
const KIND_NAMES: [&str; 2] = ["routes", "servers"];

/// The first backoff after a failed call.
const BACKOFF_MIN: Duration = Duration::from_millis(100);

/// The longest backoff during an outage; short, as the time limit for applying changes also runs meanwhile.
const BACKOFF_MAX: Duration = Duration::from_millis(800);

/// Mirrors one kind of the directory's objects into the relay.
pub(crate) struct DirectoryWatcher {
    pub(crate) kind: DirectoryKind,
    pub(crate) directory: Arc<dyn Directory>,
    pub(crate) feed: Feed<Event>,
    pub(crate) shared_state: Arc<SharedState>,
    pub(crate) reachability: Arc<DirectoryReachability>,
    pub(crate) coalesce_delay: CoalesceDelay,
    pub(crate) seed: u64,
}

/// The progress of the mirror of one kind.
struct WatchState {
    /// The names of the objects known.
    names: BTreeSet<String>,
    /// The revision to watch from; `None` if a list is needed first.
    at: Option<Revision>,
    /// The delays between watches, which batch changes.
    coalesce_delay: CoalesceDelay,
}

impl DirectoryWatcher {
    /// Lists and watches until the process ends.
    pub(crate) async fn run(self) {
        let mut backoff = Backoff::new(BACKOFF_MIN, BACKOFF_MAX, self.seed);
        let mut state = WatchState {
            names: BTreeSet::new(),
            at: None,
            coalesce_delay: self.coalesce_delay,
        };
        let mut outage_ends = self.reachability.outage_ends();
        let started = Instant::now();
        loop {
            // A watch that began before an outage may wait on a dead connection, so the end of an outage cancels it. A
            // list then takes fewer calls than the changes that have accumulated, which come in pages.
            let result = tokio::select! {
                result = self.list_or_watch(&mut state, started) => result,
                _ = outage_ends.changed() => {
                    state.at = None;
                    continue;
                }
            };
            match result {
                Ok(()) => {
                    self.reachability.on_success(KIND_NAMES[self.kind as usize]);
                    backoff.reset();
                    tokio::time::sleep(state.coalesce_delay.delay()).await;
                }
                Err(e) if e.kind() == ErrorKind::NotFound => {
                    log::info!("event=directory-forgot kind={} error=\"{e}\"", self.kind);
                    state.at = None;
                }
                Err(e) => {
                    self.reachability
                        .on_failure(KIND_NAMES[self.kind as usize], &e);
                    tokio::time::sleep(backoff.next_delay()).await;
                }
            }
        }
    }

    /// Makes one call: a list if none has succeeded yet, else a watch.
    async fn list_or_watch(&self, state: &mut WatchState, started: Instant) -> Result<()> {
        match state.at {
            None => self.list(state).await,
            Some(after) => self.watch(state, after, started).await,
        }
    }

    async fn list(&self, state: &mut WatchState) -> Result<()> {
        let listing = self.directory.list(self.kind).await?;
        self.reachability.on_era(listing.at.era);
        if self.kind == DirectoryKind::Routes {
            self.shared_state.wait_for_version_min().await;
        }
        if self.kind == DirectoryKind::Servers {
            state.names.extend(self.shared_state.on_servers_listed());
        }
        let found: BTreeSet<String> = listing.items.iter().map(|i| i.name.clone()).collect();
        let removed: Vec<String> = state.names.difference(&found).cloned().collect();
        log::info!(
            "event=directory-listed kind={} at={} objects={} gone={}",
            self.kind,
            listing.at,
            found.len(),
            removed.len()
        );
        for name in removed {
            let content = ItemContent::Removed;
            self.apply(state, Item { name, content }, &listing.origin);
        }
        for item in listing.items {
            self.apply(state, item, &listing.origin);
        }
        state.at = Some(listing.at);
        state.coalesce_delay.reset();
        Ok(())
    }

    async fn watch(&self, state: &mut WatchState, after: Revision, started: Instant) -> Result<()> {
        let watch_start = Instant::now();
        let changes = self.directory.watch(self.kind, after, WATCH_WAIT).await?;
        let is_full_page = changes.items.len() >= FULL_PAGE_LEN;
        let is_from_peer = changes.origin.peer.is_some();
        if changes.items.is_empty() || is_full_page || is_from_peer {
            state.coalesce_delay.reset();
        } else {
            state
                .coalesce_delay
                .on_changes(watch_start.elapsed(), started.elapsed());
        }
        for item in changes.items {
            self.apply(state, item, &changes.origin);
        }
        state.at = Some(changes.at);
        Ok(())
    }

    fn apply(&self, state: &mut WatchState, item: Item, origin: &Origin) {
        let Item { name, content } = item;
        match content {
            ItemContent::Removed => {
                state.names.remove(&name);
                if let Some(server) = self.server_name(&name) {
                    log::info!("event=server-unlisted name={server} {origin}");
                    self.feed
                        .push(Event::EntryRemoved(server, origin.stable_for));
                }
                return;
            }
            ItemContent::Routes(table) => {
                let is_new = self.shared_state.apply_table(&table);
                log::info!("event=routes version={} taken={is_new}", table.version());
                if is_new {
                    self.feed.push(Event::Table(table));
                }
            }
            ItemContent::Server(entry) => {
                log::debug!(
                    "event=server name={} service={} state={} addr={}",
                    entry.name,
                    entry.service,
                    entry.availability,
                    entry.addr
                );
                self.feed.push(Event::Server(entry));
            }
            ItemContent::Unreadable(_) => {
                // Its earlier content no longer holds, and the present one is not known.
                if let Some(server) = self.server_name(&name) {
                    self.feed.push(Event::EntryMissing(server));
                }
            }
        }
        state.names.insert(name);
    }

    /// Returns the server that an object with this name stands for; `None` for other kinds.
    fn server_name(&self, name: &str) -> Option<ServerName> {
        let is_server = self.kind == DirectoryKind::Servers;
        name.parse().ok().filter(|_| is_server)
    }
}
