//! A client of the entry VMs over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use gs_types::prelude::*;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde_json::json;

use super::mix::LookupRequest;

/// The timeout of a request, longer than any deadline; after it the request counts as cut.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// An answer in its wire format.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct CallerAnswer {
    /// The id that the VM assigned to the request.
    pub request_id: String,
    /// The front that answered.
    pub front: String,
    /// The lookup that answered.
    pub lookup: String,
    /// The outcome of the lookup.
    #[serde(flatten)]
    pub outcome: Outcome,
}

/// The reply to one request, or the failure to get one.
#[derive(Clone, Debug)]
pub enum Reply {
    /// A lookup's outcome.
    Outcome {
        /// The HTTP status.
        status: u16,
        /// Whether it has a `retry-after` header.
        retry_after: bool,
        /// The answer.
        answer: Box<CallerAnswer>,
    },
    /// An HTTP response that is not a lookup's outcome.
    Other {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: String,
    },
    /// The connection to the VM failed: nothing was sent.
    Unreachable,
    /// The connection broke after the request was sent.
    Cut(String),
}

impl Reply {
    /// Returns the outcome, if the reply is one.
    #[must_use]
    pub fn outcome(&self) -> Option<&Outcome> {
        match self {
            Self::Outcome { answer, .. } => Some(&answer.outcome),
            _ => None,
        }
    }

    /// Returns the page, if the reply has one.
    #[must_use]
    pub fn page(&self) -> Option<&Answer> {
        match self.outcome() {
            Some(Outcome::Answered(a)) => Some(a),
            _ => None,
        }
    }

    /// Returns the refusal, if the reply is one.
    #[must_use]
    pub fn refusal(&self) -> Option<&Refusal> {
        match self.outcome() {
            Some(Outcome::NotRun(r) | Outcome::Unknown(r)) => Some(r),
            _ => None,
        }
    }
}

/// A client of entry VMs that reuses its connections.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

impl Caller {
    /// Creates a caller without connections.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(5))
            .build(connector);
        Self { client }
    }

    /// Sends one lookup to the VM at this address.
    pub async fn request(&self, vm: SocketAddr, request: &LookupRequest) -> Reply {
        let req = match build_request(vm, request) {
            Ok(req) => req,
            Err(e) => return Reply::Cut(e.to_string()),
        };
        match tokio::time::timeout(REQUEST_TIMEOUT, self.send(req)).await {
            Ok(reply) => reply,
            Err(_) => Reply::Cut("no answer".to_owned()),
        }
    }

    /// Gets a path from a VM and returns the status and the body.
    ///
    /// # Errors
    ///
    /// If the VM cannot be reached or the connection fails.
    pub async fn get(&self, addr: SocketAddr, path: &str) -> Result<(u16, String)> {
        let failed = |e: String| {
            Error::new(ErrorKind::Unavailable, e)
                .at("get")
                .from_peer(addr.to_string())
        };
        let req = Request::get(format!("http://{addr}{path}"))
            .body(Full::default())
            .map_err(|e| failed(e.to_string()))?;
        let resp = self.client.request(req).await;
        let (head, body) = resp.map_err(|e| failed(e.to_string()))?.into_parts();
        let body = body.collect().await.map_err(|e| failed(e.to_string()))?;
        let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        Ok((head.status.as_u16(), text))
    }

    async fn send(&self, req: Request<Full<Bytes>>) -> Reply {
        let resp = match self.client.request(req).await {
            Ok(resp) => resp,
            Err(e) if e.is_connect() => return Reply::Unreachable,
            Err(e) => return Reply::Cut(format!("{e:?}")),
        };
        let (head, body) = resp.into_parts();
        let body = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(e) => return Reply::Cut(e.to_string()),
        };
        let status = head.status.as_u16();
        match serde_json::from_slice(&body) {
            Ok(answer) => Reply::Outcome {
                status,
                retry_after: head.headers.contains_key(hyper::header::RETRY_AFTER),
                answer: Box::new(answer),
            },
            Err(_) => Reply::Other {
                status,
                body: String::from_utf8_lossy(&body).into_owned(),
            },
        }
    }
}

fn build_request(vm: SocketAddr, request: &LookupRequest) -> Result<Request<Full<Bytes>>> {
    let mut body = json!({ "query": request.query });
    if let Some(key) = &request.key {
        body["key"] = json!(key);
    }
    if let Some(d) = request.deadline {
        body["deadline"] = json!(humantime::format_duration(d).to_string());
    }
    if let Some(floor) = request.floor {
        body["floor"] = json!(floor);
    }
    let path = format!(
        "/v1/fronts/{}/lookups/{}",
        request.front, request.lookup.name
    );
    let mut req =
        Request::post(format!("http://{vm}{path}")).header("content-type", "application/json");
    if let Some(key) = &request.idempotency_key {
        req = req.header("idempotency-key", key);
    }
    req.body(Full::from(body.to_string()))
        .map_err(|e| Error::new(ErrorKind::BadInput, e.to_string()).at("build a request"))
}
