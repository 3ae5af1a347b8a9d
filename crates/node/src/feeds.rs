//! The event queues of the state machines of a process.

use gs_actor::Feed;

/// The feeds of the four state machines; cheap to clone.
#[derive(Clone)]
pub(crate) struct Feeds {
    pub(crate) engine: Feed<gs_query::Event>,
    pub(crate) config_manager: Feed<gs_conf::Event>,
    pub(crate) membership: Feed<gs_member::Event>,
    pub(crate) once: Feed<gs_once::Event>,
}
