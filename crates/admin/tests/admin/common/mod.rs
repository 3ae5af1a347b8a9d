//! A stand-in for the process behind the interface, and an HTTP client.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gs_admin::AdminOptions;
use gs_admin::AdminServer;
use gs_admin::HistoryEntry;
use gs_admin::OperatorApi;
use gs_conf::DecidedPatch;
use gs_conf::Patch;
use gs_conf::PatchOutcome;
use gs_conf::VmConfigStatus;
use gs_conf::hash_team_key;
use gs_types::prelude::*;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// The `authorization` headers of the three teams.
pub const OPS: &str = "Bearer ops:key-of-ops";
pub const QUILL: &str = "Bearer quill:key-of-quill";
pub const LEDGER: &str = "Bearer ledger:key-of-ledger";

/// Process with two fronts, two teams and an admin team.
pub struct Process {
    pub config: Mutex<Option<Arc<Config>>>,
    pub outcome: Mutex<PatchOutcome>,
    pub proposed: Mutex<Vec<(TeamName, Patch, bool)>>,
    gate: Arc<Semaphore>,
}

fn team(name: &str, admin: bool, fronts: &[&str]) -> Team {
    Team {
        name: name.parse().expect("a name"),
        key_sha256: hash_team_key(&format!("key-of-{name}")),
        fronts: fronts.iter().map(|f| f.parse().expect("a name")).collect(),
        admin,
    }
}

fn front(name: &str) -> Front {
    let lookup = Lookup {
        name: "quote".parse().expect("a name"),
        group: "bulletin-desk".parse().expect("a name"),
        scope: Scope::Scatter,
        promise: Promise::Urgent,
        deadline: Duration::from_millis(250),
        page: 20,
        enough_at: None,
    };
    Front {
        name: name.parse().expect("a name"),
        lookups: vec![lookup],
    }
}

pub fn accepted() -> PatchOutcome {
    PatchOutcome::Accepted {
        version: ConfVersion(8),
        in_force: vec!["vm-1".parse().expect("a name")],
        awaiting: Vec::new(),
        warnings: Vec::new(),
    }
}

impl Process {
    pub fn new() -> Arc<Self> {
        let config = Config {
            version: ConfVersion(7),
            patch: None,
            teams: vec![
                team("ops", true, &[]),
                team("quill", false, &["archive"]),
                team("ledger", false, &["statements"]),
            ],
            fronts: vec![front("archive"), front("statements")],
        };
        Arc::new(Self {
            config: Mutex::new(Some(Arc::new(config))),
            outcome: Mutex::new(accepted()),
            proposed: Mutex::new(Vec::new()),
            gate: Arc::new(Semaphore::new(1)),
        })
    }

    /// Makes proposals wait for their outcome until the returned permit is dropped.
    pub fn hold(&self) -> OwnedSemaphorePermit {
        self.gate
            .clone()
            .try_acquire_owned()
            .expect("no other permit is held")
    }
}

#[async_trait]
impl OperatorApi for Process {
    async fn propose(&self, team: TeamName, patch: Patch, dry_run: bool) -> PatchOutcome {
        self.proposed
            .lock()
            .expect("not poisoned")
            .push((team, patch, dry_run));
        let _permit = self.gate.acquire().await.expect("never closed");
        self.outcome.lock().expect("not poisoned").clone()
    }

    fn config(&self) -> Option<Arc<Config>> {
        self.config.lock().expect("not poisoned").clone()
    }

    async fn version(&self, version: ConfVersion) -> Result<Option<Arc<Config>>> {
        Ok(self.config().filter(|c| c.version == version))
    }

    fn decided_patches(&self) -> Vec<DecidedPatch> {
        let one = |id: &str, team: &str| DecidedPatch {
            id: id.parse().expect("a name"),
            digest: 1,
            team: team.parse().expect("a name"),
            proposer: "vm-1".parse().expect("a name"),
            version: Some(ConfVersion(7)),
            reason: None,
        };
        vec![one("p-quill", "quill"), one("p-ledger", "ledger")]
    }

    async fn history(&self) -> Result<Vec<HistoryEntry>> {
        Ok(vec![HistoryEntry {
            version: ConfVersion(6),
        }])
    }

    fn fleet(&self) -> Vec<VmConfigStatus> {
        vec![VmConfigStatus {
            vm: "vm-1".parse().expect("a name"),
            version: Some(ConfVersion(7)),
            heard: Some(Duration::ZERO),
        }]
    }

    fn status(&self) -> Value {
        json!({"vm": "vm-1"})
    }

    fn dump(&self) -> Value {
        json!({"dump": 1})
    }

    async fn fleet_dump(&self) -> Value {
        json!({"vm-1": {"dump": 1}})
    }

    fn metrics(&self) -> String {
        "gs_up 1\n".into()
    }

    fn is_ready(&self) -> bool {
        self.config().is_some()
    }
}

/// Serves the interface with short limits on a free port.
pub async fn serve(process: Arc<Process>) -> AdminServer {
    let options = AdminOptions::builder()
        .addr(([127, 0, 0, 1], 0).into())
        .api(process)
        .body_max(4_096)
        .head_max(8_192)
        .read_timeout(Duration::from_millis(200))
        .connections_max(4)
        .build();
    AdminServer::start(options).await.expect("a free port")
}

/// Answer: its status and its body as JSON, or as text if it is not JSON.
pub type Answer = (u16, Value);

async fn read(reply: Response<hyper::body::Incoming>) -> Answer {
    let status = reply.status().as_u16();
    let body = reply.into_body().collect().await.expect("a body");
    let body = body.to_bytes();
    let text = String::from_utf8_lossy(&body).into_owned();
    let json = serde_json::from_str(&text);
    (status, json.unwrap_or(Value::String(text)))
}

async fn send(req: Request<Full<Bytes>>) -> Answer {
    let client = Client::builder(TokioExecutor::new()).build_http();
    read(client.request(req).await.expect("an answer")).await
}

/// Sends a GET request.
pub async fn get(addr: SocketAddr, path: &str, key: Option<&str>) -> Answer {
    let mut req = Request::get(format!("http://{addr}{path}"));
    if let Some(key) = key {
        req = req.header("authorization", key);
    }
    send(req.body(Full::default()).expect("a request")).await
}

/// Sends a POST request with a JSON body.
pub async fn post(addr: SocketAddr, path: &str, key: &str, body: impl Into<Bytes>) -> Answer {
    let req = Request::post(format!("http://{addr}{path}"))
        .header("authorization", key)
        .header("content-type", "application/json");
    send(req.body(Full::new(body.into())).expect("a request")).await
}

/// Sends bytes as they are and reads until the connection is closed.
pub async fn raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("connected");
    stream.write_all(bytes).await.expect("sent");
    let mut buf = Vec::new();
    let read = stream.read_to_end(&mut buf);
    let ended = tokio::time::timeout(Duration::from_secs(20), read).await;
    let _ = ended.expect("the server closes the connection");
    String::from_utf8_lossy(&buf).into_owned()
}
