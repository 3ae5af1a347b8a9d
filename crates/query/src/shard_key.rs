//! The mapping of keys to shards.

use gs_types::prelude::*;

/// Returns the shard of a keyed lookup's key in a snapshot with the given number of shards; `None`
/// if it has no shards.
///
/// Publishers' pipelines place a keyed record by the same rule: [`Fingerprint::of`] the key alone,
/// modulo the number of shards.
#[must_use]
pub fn shard_of_key(key: &str, shards: u32) -> Option<ShardId> {
    let n = Fingerprint::of(&[key]).0.checked_rem(u64::from(shards))?;
    u32::try_from(n).ok().map(ShardId)
}
