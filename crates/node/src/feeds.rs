//! The ways into every decision of the process.

use gs_actor::Feed;

/// The feeds of the four decisions; cheap to clone.
#[derive(Clone)]
pub(crate) struct Feeds {
    pub(crate) engine: Feed<gs_query::Event>,
    pub(crate) book: Feed<gs_conf::Event>,
    pub(crate) member: Feed<gs_member::Event>,
    pub(crate) once: Feed<gs_once::Event>,
}
