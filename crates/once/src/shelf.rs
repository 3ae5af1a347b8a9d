//! The claims of one bucket and window as this VM knows them, and the writes to them.
