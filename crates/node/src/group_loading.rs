//! Waits at the start of a process until the shard maps are known.

use std::time::Duration;

use crate::message::Message;
use crate::platform_watcher::GROUPS_PREFIX;
use crate::platform_watcher::PlatformWatcher;

/// The time between two checks which shard maps are known.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// The number of checks after which the maps are listed again and requested from peers.
const CHECKS_PER_REFRESH: u32 = 5;

/// Waits until this VM knows the shard maps, then records that in the shared state.
///
/// While the platform is unreachable and has not listed the maps, peers are queried for those that they
/// know, and one received map is sufficient. Once the maps are listed, each of them must be known.
/// A single map that never becomes known must not keep the VM from serving. Such a map may have been
/// removed since it was listed, so the list is read again. Or it may be unreadable, so peers are
/// queried for the last valid one; after that, it is enough that its object was read.
pub(crate) async fn wait_for_groups(watcher: PlatformWatcher) {
    let mut listed: Option<Vec<String>> = None;
    let mut checks: u32 = 0;
    loop {
        let is_refresh = checks > 0 && checks.is_multiple_of(CHECKS_PER_REFRESH);
        if is_refresh || listed.is_none() {
            match watcher.platform.list(GROUPS_PREFIX).await {
                Ok(l) => listed = Some(l.objects.into_iter().map(|o| o.path).collect()),
                Err(e) => log::debug!("event=group-list-away error=\"{e}\""),
            }
        }
        if is_refresh || listed.is_none() {
            watcher.peer_sender.broadcast(&Message::WantGroups);
        }
        if has_all_groups(&watcher, listed.as_deref(), checks > CHECKS_PER_REFRESH) {
            watcher.state.set_groups_loaded();
            return;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
        checks = checks.saturating_add(1);
    }
}

/// Returns whether no map is missing; once peers were queried, an unreadable map does not count as missing.
fn has_all_groups(
    watcher: &PlatformWatcher,
    listed: Option<&[String]>,
    peers_were_queried: bool,
) -> bool {
    let Some(paths) = listed else {
        return !watcher.state.groups().is_empty();
    };
    paths.iter().all(|path| {
        let name = path.strip_prefix(GROUPS_PREFIX).unwrap_or(path);
        watcher.state.has_group(name) || (peers_were_queried && watcher.state.is_group_read(path))
    })
}
