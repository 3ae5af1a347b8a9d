//! A digest of the actions of a step, for the comparison of a replay with its recording.

use gs_query::Action;

/// A checksum over the actions of a step, in their order.
#[derive(Clone, Default)]
pub(crate) struct ActionDigest(crc32fast::Hasher);

impl ActionDigest {
    /// Adds an action.
    pub(crate) fn add(&mut self, action: &Action) {
        // An action that postcard cannot encode adds nothing, in the recording and in the replay.
        let buf = postcard::to_stdvec(action).unwrap_or_default();
        self.0.update(&buf);
    }

    /// Returns the digest of the added actions.
    pub(crate) fn finish(self) -> u32 {
        self.0.finalize()
    }

    /// Returns the digest of `actions`.
    pub(crate) fn of(actions: &[Action]) -> u32 {
        let mut d = Self::default();
        actions.iter().for_each(|a| d.add(a));
        d.finish()
    }
}
