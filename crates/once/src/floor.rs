//! The floor: the window up to which every key is expired for ever.

/// The platform object that holds the floor.
pub const FLOOR_PATH: &str = "claims/floor";
