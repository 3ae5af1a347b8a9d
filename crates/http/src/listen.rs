//! Opens a listener on an address of this VM.

use std::net::SocketAddr;

use gs_types::prelude::*;
use tokio::net::TcpListener;

/// Listens on an address; an error names the `purpose`, such as `callers`.
///
/// # Errors
///
/// [`ErrorKind::Io`] if the address cannot be bound.
pub async fn listen(addr: SocketAddr, purpose: &str) -> Result<TcpListener> {
    TcpListener::bind(addr).await.map_err(|e| {
        Error::new(ErrorKind::Io, e.to_string())
            .at(format!("listen for {purpose}"))
            .from_peer(addr.to_string())
            .with_hint("check that the address is this VM's and that no other process uses it")
    })
}
