//! Tests of the mesh, one module per feature.

mod frame;
mod link;
mod local;
mod replay;
