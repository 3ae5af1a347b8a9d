//! Tests of the in-process mesh.

use std::sync::Arc;

use gs_mesh::LocalHub;
use gs_mesh::Mesh;
use gs_mesh::Received;
use gs_mesh::SendError;
use gs_types::prelude::*;

#[test]
fn a_message_names_its_sender() {
    let hub = Arc::new(LocalHub::<u32>::default());
    let (a, b): (VmId, VmId) = ("a".parse().expect("a name"), "b".parse().expect("a name"));
    let (mesh, _rx) = hub.join(a.clone(), Incarnation(1));
    let (_mesh, mut rx) = hub.join(b.clone(), Incarnation(2));
    assert_eq!(mesh.send(&b, &7), Ok(()));
    let expected = Received {
        from: a,
        incarnation: Incarnation(1),
        msg: 7,
    };
    assert_eq!(rx.try_recv(), Ok(expected));
    let nobody = "c".parse().expect("a name");
    assert_eq!(mesh.send(&nobody, &7), Err(SendError::NoSuchPeer));
}
