//! A digest of what a step did, to tell whether a replay did the same.

use gs_query::Action;

/// The digest of a step's actions, in their order.
#[derive(Clone, Default)]
pub(crate) struct ActionDigest(crc32fast::Hasher);

impl ActionDigest {
    /// Adds an action.
    pub(crate) fn add(&mut self, action: &Action) {
        // An action that postcard cannot write would be left out on both sides alike.
        let buf = postcard::to_stdvec(action).unwrap_or_default();
        self.0.update(&buf);
    }

    /// The digest of what was added.
    pub(crate) fn finish(self) -> u32 {
        self.0.finalize()
    }

    /// The digest of these actions.
    pub(crate) fn of(actions: &[Action]) -> u32 {
        let mut d = Self::default();
        actions.iter().for_each(|a| d.add(a));
        d.finish()
    }
}
