//! An operator's client of the VMs' administration API.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use gs_types::prelude::*;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;

use crate::deploy::Shape;
use crate::deploy::TEAM_KEY;
use crate::deploy::config;

/// The path for patches.
const PATCHES_PATH: &str = "/admin/v1/patches";

/// The path of a process's short status.
const STATUS_PATH: &str = "/admin/v1/status";

/// The path of a process's complete state dump.
const DUMP_PATH: &str = "/admin/v1/dump";

/// The timeout of a call.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// A client of the administration API with the key of the rig's team.
#[derive(Clone, Debug)]
pub struct Operator {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Operator {
    fn default() -> Self {
        Self::new()
    }
}

impl Operator {
    /// Creates a client without connections.
    #[must_use]
    pub fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a patch to the VM with this administration address and returns its outcome as JSON.
    ///
    /// # Errors
    ///
    /// If there is no answer, or it is not JSON.
    pub async fn propose(&self, admin: SocketAddr, patch: &Value) -> Result<Value> {
        self.call(Method::POST, admin, PATCHES_PATH, patch.to_string())
            .await
    }

    /// Returns a VM's short status.
    ///
    /// # Errors
    ///
    /// If there is no answer, or it is not JSON.
    pub async fn status(&self, admin: SocketAddr) -> Result<Value> {
        self.call(Method::GET, admin, STATUS_PATH, String::new())
            .await
    }

    /// Returns the complete state dump of a VM's process.
    ///
    /// # Errors
    ///
    /// If there is no answer, or it is not JSON.
    pub async fn dump(&self, admin: SocketAddr) -> Result<Value> {
        self.call(Method::GET, admin, DUMP_PATH, String::new())
            .await
    }

    /// Returns the configuration version in force at a VM; 0 if it reports none.
    pub async fn version(&self, admin: SocketAddr) -> u64 {
        let status = self.status(admin).await;
        status.map_or(0, |s| s["config"].as_u64().unwrap_or(0))
    }

    async fn call(
        &self,
        method: Method,
        admin: SocketAddr,
        path: &str,
        body: String,
    ) -> Result<Value> {
        let failed = |e: String| {
            Error::new(ErrorKind::Unavailable, e)
                .at("call the administration API")
                .from_peer(admin.to_string())
        };
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{admin}{path}"))
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer operators:{TEAM_KEY}"))
            .body(Full::from(body))
            .map_err(|e| failed(e.to_string()))?;
        let exchange = async {
            let resp = self.client.request(req).await;
            let resp = resp.map_err(|e| failed(format!("{e:?}")))?;
            let body = resp.into_body().collect().await;
            Ok(body.map_err(|e| failed(e.to_string()))?.to_bytes())
        };
        let body = tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await;
        let body = body.map_err(|_| failed("no answer".to_owned()))??;
        serde_json::from_slice(&body).map_err(|e| failed(e.to_string()))
    }
}

/// Returns a patch that sets a lookup's page size and leaves the rest as declared.
///
/// # Errors
///
/// If the deployment has no such lookup.
pub fn page_patch(shape: &Shape, id: &str, against: u64, lookup: &str, page: u32) -> Result<Value> {
    let declared = config(shape)?;
    let found = declared.fronts[0]
        .lookups
        .iter()
        .find(|l| l.name.as_str() == lookup);
    let mut changed = found
        .cloned()
        .ok_or_else(|| Error::new(ErrorKind::NotFound, "no such lookup"))?;
    changed.page = page;
    let change = json!({"put-lookup": {"front": shape.front, "lookup": changed}});
    Ok(json!({"id": id, "against": against, "changes": [change]}))
}
