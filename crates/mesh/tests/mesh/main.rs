//! Tests of the mesh, by feature.

mod frame;
mod link;
mod local;
mod replay;
