//! Keeps routes and servers mirrored, through outages short and long.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use gs_actor::Feed;
use gs_relay::CoalesceDelay;
use gs_relay::Event;
use gs_store::Backoff;
use gs_types::prelude::*;
use tokio::time::Instant;

use crate::contact::Contact;
use crate::directory::Directory;
use crate::directory::DirectoryKind;
use crate::directory::Item;
use crate::directory::ItemContent;
use crate::directory::Origin;
use crate::directory::Revision;
use crate::state::State;

/// How long one watch waits; platforms allow 30 s at the most. Each one is a call that is paid for; a
/// connection that went silent is noticed by its own probes.
const WATCH_WAIT: Duration = Duration::from_secs(29);

/// So many changes at once are a page, and more may be waiting: a pause before each of them would leave
/// this VM seconds behind after a storm.
const FULL_PAGE: usize = 200;

/// The kinds, for the log.
const KINDS: [&str; 2] = ["routes", "servers"];

/// The first wait after a failure.
const BACKOFF: Duration = Duration::from_millis(100);

/// The longest wait between tries during an outage; the bound on changes runs on.
const BACKOFF_MAX: Duration = Duration::from_millis(800);

/// Keeps one kind of the directory mirrored.
pub(crate) struct Follower {
    pub(crate) kind: DirectoryKind,
    pub(crate) directory: Arc<dyn Directory>,
    pub(crate) feed: Feed<Event>,
    pub(crate) state: Arc<State>,
    pub(crate) contact: Arc<Contact>,
    pub(crate) settle: CoalesceDelay,
    pub(crate) seed: u64,
}

/// What is known of a kind.
struct Known {
    /// The names of the objects that are there.
    names: BTreeSet<String>,
    /// The state to watch from; `None` to list first.
    at: Option<Revision>,
    /// The pauses between watches.
    settle: CoalesceDelay,
}

impl Follower {
    /// Follows until the process ends.
    pub(crate) async fn run(self) {
        let mut backoff = Backoff::new(BACKOFF, BACKOFF_MAX, self.seed);
        let mut known = Known {
            names: BTreeSet::new(),
            at: None,
            settle: self.settle,
        };
        let mut outage_ends = self.contact.ends();
        let begun = Instant::now();
        loop {
            // A watch that began before an outage may wait on a connection that brings nothing more, and
            // hear of nothing to the end of its time; so the end of an outage ends it. A list then is
            // fewer calls than what has gathered, which comes in pages.
            let step = tokio::select! {
                step = self.step(&mut known, begun) => step,
                _ = outage_ends.changed() => {
                    known.at = None;
                    continue;
                }
            };
            match step {
                Ok(()) => {
                    self.contact.seen(KINDS[self.kind as usize]);
                    backoff.reset();
                    tokio::time::sleep(known.settle.delay()).await;
                }
                Err(e) if e.kind() == ErrorKind::NotFound => {
                    log::info!("event=directory-forgot kind={} error=\"{e}\"", self.kind);
                    known.at = None;
                }
                Err(e) => {
                    self.contact.lost(KINDS[self.kind as usize], &e);
                    tokio::time::sleep(backoff.wait()).await;
                }
            }
        }
    }

    async fn step(&self, known: &mut Known, begun: Instant) -> Result<()> {
        match known.at {
            None => self.list(known).await,
            Some(after) => self.watch(known, after, begun).await,
        }
    }

    async fn list(&self, known: &mut Known) -> Result<()> {
        let listing = self.directory.list(self.kind).await?;
        if self.kind == DirectoryKind::Servers {
            known.names.extend(self.state.set_listed());
        }
        let found: BTreeSet<String> = listing.items.iter().map(|i| i.name.clone()).collect();
        let gone: Vec<String> = known.names.difference(&found).cloned().collect();
        log::info!(
            "event=directory-listed kind={} at={} objects={} gone={}",
            self.kind,
            listing.at,
            found.len(),
            gone.len()
        );
        for name in gone {
            self.take(
                known,
                Item {
                    name,
                    content: ItemContent::Removed,
                },
            );
        }
        for item in listing.items {
            self.take(known, item);
        }
        known.at = Some(listing.at);
        known.settle.reset();
        Ok(())
    }

    async fn watch(&self, known: &mut Known, after: Revision, started: Instant) -> Result<()> {
        let begun = Instant::now();
        let changes = self.directory.watch(self.kind, after, WATCH_WAIT).await?;
        let is_page = changes.items.len() >= FULL_PAGE;
        let is_free = changes.origin == Origin::Peer;
        if changes.items.is_empty() || is_page || is_free {
            known.settle.reset();
        } else {
            known.settle.on_changes(begun.elapsed(), started.elapsed());
        }
        for item in changes.items {
            self.take(known, item);
        }
        known.at = Some(changes.at);
        Ok(())
    }

    fn take(&self, known: &mut Known, item: Item) {
        let Item { name, content } = item;
        match content {
            ItemContent::Removed => {
                known.names.remove(&name);
                self.gone(&name);
                return;
            }
            ItemContent::Routes(table) => {
                let is_new = self.state.take_table(&table);
                log::info!("event=routes version={} taken={is_new}", table.version());
                self.feed.push(Event::Table(table));
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
            ItemContent::Unreadable(e) => {
                log::warn!(
                    "event=object-unreadable kind={} name={name} error=\"{e}\"",
                    self.kind
                );
                // What it said before no longer holds, and what it says now is not known.
                self.gone(&name);
            }
        }
        known.names.insert(name);
    }

    fn gone(&self, name: &str) {
        if self.kind == DirectoryKind::Servers
            && let Ok(server) = name.parse::<ServerName>()
        {
            log::debug!("event=server-unlisted name={server}");
            self.feed.push(Event::ServerGone(server));
        }
    }
}
