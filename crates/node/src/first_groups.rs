//! Waits at the start until the shard maps are known.

use std::time::Duration;

use crate::message::Message;
use crate::watch::Follower;
use crate::watch::GROUPS;

/// Time between two looks at which shard maps are known.
const LOOK_EVERY: Duration = Duration::from_millis(300);

/// After so many looks the maps are listed anew, and peers are asked for those that they hold.
const LOOKS_A_ROUND: u32 = 5;

/// Waits until this VM knows the shard maps, then notes that on the board.
///
/// With the platform away, those that peers hold have to do. Otherwise each listed map has to be
/// held. Guards against a VM that never takes lookups because of one map that is never held: it may
/// have been removed since it was listed, so the list is read anew; and it may be unreadable, so
/// peers are asked for the last good one, and after that it is enough that its object was read.
pub(crate) async fn load(f: Follower) {
    let mut listed: Option<Vec<String>> = None;
    let mut looks: u32 = 0;
    loop {
        let anew = looks > 0 && looks.is_multiple_of(LOOKS_A_ROUND);
        if anew || listed.is_none() {
            match f.platform.list(GROUPS).await {
                Ok(l) => listed = Some(l.objects.into_iter().map(|o| o.path).collect()),
                Err(e) => log::debug!("event=group-list-away error=\"{e}\""),
            }
        }
        if anew || listed.is_none() {
            f.spread.broadcast(&Message::WantGroups);
        }
        if is_done(&f, listed.as_deref(), looks > LOOKS_A_ROUND) {
            f.board.set_groups_loaded();
            return;
        }
        tokio::time::sleep(LOOK_EVERY).await;
        looks = looks.saturating_add(1);
    }
}

/// Whether no map is missing; once peers were asked, an unreadable one is not.
fn is_done(f: &Follower, listed: Option<&[String]>, peers_asked: bool) -> bool {
    let Some(paths) = listed else {
        return !f.board.groups().is_empty();
    };
    paths.iter().all(|path| {
        let name = path.strip_prefix(GROUPS).unwrap_or(path);
        f.board.holds_group(name) || (peers_asked && f.board.is_group_read(path))
    })
}
