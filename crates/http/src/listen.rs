//! Listens on an address of this VM.

use std::net::SocketAddr;

use gs_types::prelude::*;
use tokio::net::TcpListener;

/// Listens on an address; `whom` it is for is told with an error.
///
/// # Errors
///
/// [`ErrorKind::Io`] if the address is not to be had.
pub async fn listen(addr: SocketAddr, whom: &str) -> Result<TcpListener> {
    TcpListener::bind(addr).await.map_err(|e| {
        Error::new(ErrorKind::Io, e.to_string())
            .at(format!("listen for {whom}"))
            .from_peer(addr.to_string())
            .with_hint("check that the address is this VM's and that no other process uses it")
    })
}
