//! Stand-ins for development and tests; nothing here is part of the product.

pub mod platform;
