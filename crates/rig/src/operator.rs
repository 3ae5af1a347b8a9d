//! An operator at the administration API of the VMs.

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

/// Where patches go.
const PATCHES: &str = "/admin/v1/patches";

/// Where a process tells its state in short.
const STATUS: &str = "/admin/v1/status";

/// Where a process tells its whole state.
const DUMP: &str = "/admin/v1/dump";

/// How long an operator waits for an answer.
const PATIENCE: Duration = Duration::from_secs(20);

/// Asks the administration API with the key of the rig's team.
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
    /// Starts without connections.
    #[must_use]
    pub fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a patch to the VM whose operators' address this is; gives the verdict as it stands.
    ///
    /// # Errors
    ///
    /// If no answer comes, or none that is JSON.
    pub async fn propose(&self, admin: SocketAddr, patch: &Value) -> Result<Value> {
        self.call(Method::POST, admin, PATCHES, patch.to_string())
            .await
    }

    /// What a VM tells of itself.
    ///
    /// # Errors
    ///
    /// If no answer comes, or none that is JSON.
    pub async fn status(&self, admin: SocketAddr) -> Result<Value> {
        self.call(Method::GET, admin, STATUS, String::new()).await
    }

    /// The whole state of a VM's process.
    ///
    /// # Errors
    ///
    /// If no answer comes, or none that is JSON.
    pub async fn dump(&self, admin: SocketAddr) -> Result<Value> {
        self.call(Method::GET, admin, DUMP, String::new()).await
    }

    /// The configuration version in force at a VM; 0 if it does not tell one.
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
                .at("ask the administration API")
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
        let body = tokio::time::timeout(PATIENCE, exchange).await;
        let body = body.map_err(|_| failed("no answer".to_owned()))??;
        serde_json::from_slice(&body).map_err(|e| failed(e.to_string()))
    }
}

/// A patch that sets a lookup's page size and leaves the rest as declared.
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
