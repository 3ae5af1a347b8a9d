//! What is worth telling others.
