//! The object service over HTTP.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bon::Builder;
use bytes::Bytes;
use gs_clock::Clock;
use gs_types::prelude::*;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use serde::de::DeserializeOwned;

use crate::backoff::Backoff;
use crate::budget::Budget;
use crate::budget::CallCounts;
use crate::budget::Ended;
use crate::budget::Kind;
use crate::object::Listing;
use crate::object::OBJECT_MAX_BYTES;
use crate::object::Object;
use crate::object::Version;
use crate::object::WatchReply;
use crate::platform::Platform;

/// The largest answer that is read: a list of many objects, or one object, in bytes.
const ANSWER_MAX: usize = 8 << 20;
/// Idle connections kept.
const IDLE_MAX: usize = 4;
/// How long an idle connection is kept.
const IDLE_FOR: Duration = Duration::from_secs(20);
/// The longest wait between two tries of a read.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// How to reach the platform.
#[derive(Builder, Clone)]
pub struct HttpPlatformOptions {
    /// Where the platform listens.
    pub addr: SocketAddr,
    /// The address to call from; the machine's choice unless given.
    pub source: Option<IpAddr>,
    /// Seeds the jitter; different on every VM.
    pub seed: u64,
    /// Tells the time.
    pub clock: Arc<dyn Clock>,
    /// How long one call may take, beside the wait of a watch.
    #[builder(default = Duration::from_secs(2))]
    pub timeout: Duration,
    /// How often a read is tried.
    #[builder(default = 3)]
    pub tries: u32,
    /// The wait before the second try; doubled, with jitter, for each later one.
    #[builder(default = Duration::from_millis(50))]
    pub backoff: Duration,
    /// This VM's share of the platform's reads, lists and watches.
    #[builder(default = PerSecond(200.0))]
    pub reads: PerSecond,
    /// This VM's share of the platform's writes and deletes.
    #[builder(default = PerSecond(30.0))]
    pub writes: PerSecond,
}

/// The platform's object service over HTTP.
pub struct HttpPlatform {
    options: HttpPlatformOptions,
    client: Client<HttpConnector, Full<Bytes>>,
    budget: Budget,
}

/// One call.
struct Call<'a> {
    step: &'static str,
    kind: Kind,
    method: Method,
    uri: String,
    if_version: Option<Version>,
    content: Bytes,
    timeout: Duration,
    /// What is read or written, for errors.
    what: &'a str,
}

impl HttpPlatform {
    /// Sets the client up; nothing is connected yet.
    #[must_use]
    pub fn new(options: HttpPlatformOptions) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_local_address(options.source);
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(options.timeout));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_FOR)
            .pool_max_idle_per_host(IDLE_MAX)
            .build(connector);
        let budget = Budget::new(options.reads, options.writes, options.clock.now());
        Self {
            options,
            client,
            budget,
        }
    }

    fn call<'a>(&self, step: &'static str, kind: Kind, what: &'a str, uri: String) -> Call<'a> {
        Call {
            step,
            kind,
            method: Method::GET,
            uri,
            if_version: None,
            content: Bytes::new(),
            timeout: self.options.timeout,
            what,
        }
    }

    /// Tries a call that changes nothing until it is answered or the tries are used up.
    async fn ask(&self, call: Call<'_>) -> Result<Response<Bytes>> {
        let mut backoff = Backoff::new(self.options.backoff, BACKOFF_MAX, self.seed_of(call.what));
        let mut tries = self.options.tries.max(1);
        loop {
            tries -= 1;
            let e = match self.once(&call).await {
                Ok(reply) => return Ok(reply),
                Err(e) => e,
            };
            if tries == 0 {
                return Err(e);
            }
            tokio::time::sleep(backoff.next_delay()).await;
        }
    }

    /// Makes a call once. An answer of 429 or 5xx is an error; other statuses are the caller's.
    async fn once(&self, call: &Call<'_>) -> Result<Response<Bytes>> {
        let clock = &self.options.clock;
        if !self.budget.take(call.kind, clock.now()) {
            let hint = "raise the VM's share of the platform's calls, or find what calls so often";
            return Err(self
                .error(call, ErrorKind::TooMuch, "the call budget is used up")
                .with_hint(hint));
        }
        let result = self.exchange(call).await;
        let ended = match &result {
            Ok(_) => Ended::Answered,
            Err(e) if e.kind() == ErrorKind::TooMuch => Ended::Limited,
            Err(_) => Ended::Failed,
        };
        self.budget.ended(ended, clock.now());
        result
    }

    async fn exchange(&self, call: &Call<'_>) -> Result<Response<Bytes>> {
        let req = self.request(call)?;
        let exchange = async {
            let reply = self
                .client
                .request(req)
                .await
                .map_err(|e| self.lost(call, &e))?;
            let (parts, body) = reply.into_parts();
            let body = Limited::new(body, ANSWER_MAX).collect().await;
            let body = body.map_err(|e| self.error(call, self.lost_kind(call), &e.to_string()))?;
            Ok(Response::from_parts(parts, body.to_bytes()))
        };
        let reply = match tokio::time::timeout(call.timeout, exchange).await {
            Ok(reply) => reply?,
            Err(_) => {
                let text = format!("no answer within {:?}", call.timeout);
                return Err(self.error(call, self.lost_kind(call), &text));
            }
        };
        match reply.status() {
            StatusCode::TOO_MANY_REQUESTS => {
                Err(self.error(call, ErrorKind::TooMuch, "over the platform's rate"))
            }
            StatusCode::SERVICE_UNAVAILABLE => {
                Err(self.error(call, ErrorKind::Unavailable, "the platform is away"))
            }
            s if s.is_server_error() => {
                Err(self.error(call, self.lost_kind(call), &format!("answered {s}")))
            }
            _ => Ok(reply),
        }
    }

    fn request(&self, call: &Call<'_>) -> Result<Request<Full<Bytes>>> {
        let uri = format!("http://{}{}", self.options.addr, call.uri);
        let mut req = Request::builder().method(call.method.clone()).uri(uri);
        if let Some(v) = call.if_version {
            req = req.header("if-version", v.0);
        }
        req.body(Full::new(call.content.clone()))
            .map_err(|e| self.error(call, ErrorKind::BadInput, &e.to_string()))
    }

    /// A call without an answer. Only one that never had a connection surely did nothing.
    fn lost(&self, call: &Call<'_>, e: &hyper_util::client::legacy::Error) -> Error {
        let kind = match e.is_connect() {
            true => ErrorKind::Unavailable,
            false => self.lost_kind(call),
        };
        let cause = std::error::Error::source(e).map_or_else(String::new, |c| format!(": {c}"));
        self.error(call, kind, &format!("{e}{cause}"))
    }

    fn lost_kind(&self, call: &Call<'_>) -> ErrorKind {
        match call.kind {
            Kind::Write | Kind::Delete => ErrorKind::Unknown,
            _ => ErrorKind::Unavailable,
        }
    }

    fn error(&self, call: &Call<'_>, kind: ErrorKind, text: &str) -> Error {
        Error::new(kind, format!("{}: {text}", call.what))
            .at(call.step)
            .from_peer(self.options.addr.to_string())
    }

    fn unexpected(&self, call_step: &'static str, what: &str, status: StatusCode) -> Error {
        Error::new(
            ErrorKind::BadInput,
            format!("{what}: unexpected answer {status}"),
        )
        .at(call_step)
        .from_peer(self.options.addr.to_string())
    }

    fn json<T: DeserializeOwned>(
        &self,
        step: &'static str,
        what: &str,
        r: &Response<Bytes>,
    ) -> Result<T> {
        if r.status() != StatusCode::OK {
            return Err(self.unexpected(step, what, r.status()));
        }
        serde_json::from_slice(r.body()).map_err(|e| {
            Error::new(ErrorKind::BadInput, format!("{what}: {e}"))
                .at(step)
                .from_peer(self.options.addr.to_string())
        })
    }

    fn version(&self, step: &'static str, what: &str, reply: &Response<Bytes>) -> Result<Version> {
        let header = reply.headers().get("x-version");
        header
            .and_then(|v| v.to_str().ok()?.parse().ok())
            .map(Version)
            .ok_or_else(|| {
                Error::new(ErrorKind::BadInput, format!("{what}: no `x-version`"))
                    .at(step)
                    .from_peer(self.options.addr.to_string())
            })
    }

    fn seed_of(&self, what: &str) -> u64 {
        self.options.seed ^ Fingerprint::of(&[what]).0
    }
}

/// Checks that a path can stand in a URI as it is, and so cannot name another call.
fn check_path(path: &str) -> Result<()> {
    let ok = !path.is_empty()
        && path.len() <= 512
        && path
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_./".contains(&b));
    if ok {
        return Ok(());
    }
    Err(Error::new(
        ErrorKind::BadInput,
        format!("`{path:.80}` is not an object path"),
    )
    .at("check path")
    .with_hint("use 1 to 512 of a-z, A-Z, 0-9, `-`, `_`, `.` and `/`"))
}

#[async_trait]
impl Platform for HttpPlatform {
    async fn read(&self, path: &str) -> Result<Option<Object>> {
        const STEP: &str = "read object";
        check_path(path)?;
        let call = self.call(STEP, Kind::Read, path, format!("/v1/objects/{path}"));
        let reply = self.ask(call).await?;
        match reply.status() {
            StatusCode::OK => Ok(Some(Object {
                version: self.version(STEP, path, &reply)?,
                content: reply.into_body(),
            })),
            StatusCode::NOT_FOUND => Ok(None),
            s => Err(self.unexpected(STEP, path, s)),
        }
    }

    async fn write(&self, path: &str, if_version: Version, content: Bytes) -> Result<Version> {
        const STEP: &str = "write object";
        check_path(path)?;
        let mut call = self.call(STEP, Kind::Write, path, format!("/v1/objects/{path}"));
        if content.len() > OBJECT_MAX_BYTES {
            let text = format!("{} bytes is over the size of an object", content.len());
            return Err(self.error(&call, ErrorKind::TooMuch, &text));
        }
        call.method = Method::PUT;
        call.if_version = Some(if_version);
        call.content = content;
        let reply = self.once(&call).await?;
        match reply.status() {
            // It took effect, but without a version it must be read back.
            StatusCode::OK => self
                .version(STEP, path, &reply)
                .map_err(|e| Error::new(ErrorKind::Unknown, e.to_string())),
            StatusCode::CONFLICT => {
                Err(self.error(&call, ErrorKind::Conflict, "another write was first"))
            }
            StatusCode::PAYLOAD_TOO_LARGE => {
                Err(self.error(&call, ErrorKind::TooMuch, "too large for the platform"))
            }
            s => Err(self.unexpected(STEP, path, s)),
        }
    }

    async fn delete(&self, path: &str, if_version: Version) -> Result<bool> {
        const STEP: &str = "delete object";
        check_path(path)?;
        let mut call = self.call(STEP, Kind::Delete, path, format!("/v1/objects/{path}"));
        call.method = Method::DELETE;
        call.if_version = Some(if_version);
        let reply = self.once(&call).await?;
        match reply.status() {
            StatusCode::OK => Ok(true),
            StatusCode::NOT_FOUND => Ok(false),
            StatusCode::CONFLICT => {
                Err(self.error(&call, ErrorKind::Conflict, "another write was first"))
            }
            s => Err(self.unexpected(STEP, path, s)),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Listing> {
        const STEP: &str = "list objects";
        check_path(prefix)?;
        let uri = format!("/v1/list?prefix={prefix}");
        let reply = self.ask(self.call(STEP, Kind::List, prefix, uri)).await?;
        self.json(STEP, prefix, &reply)
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<WatchReply> {
        const STEP: &str = "watch objects";
        check_path(prefix)?;
        let wait_ms = wait.as_millis();
        let uri = format!("/v1/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let mut call = self.call(STEP, Kind::Watch, prefix, uri);
        call.timeout = wait + self.options.timeout;
        // Not tried again here: whoever watches must know how long it saw nothing.
        let reply = self.once(&call).await?;
        if reply.status() == StatusCode::GONE {
            let text = format!("revision {after} is forgotten");
            return Err(self
                .error(&call, ErrorKind::NotFound, &text)
                .with_hint("list again"));
        }
        self.json(STEP, prefix, &reply)
    }

    async fn vms(&self) -> Result<Vec<VmEntry>> {
        const STEP: &str = "read VM list";
        let call = self.call(STEP, Kind::Vms, "vms", "/v1/vms".into());
        let reply = self.ask(call).await?;
        self.json(STEP, "vms", &reply)
    }

    fn call_counts(&self) -> CallCounts {
        self.budget.call_counts()
    }

    fn unreachable_for(&self) -> Option<Duration> {
        self.budget.unreachable_for(self.options.clock.now())
    }
}
