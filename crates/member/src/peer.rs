//! What this VM knows of one other.
