//! One process of gentiansill.
mod actor;
