//! HTTP client of the platform's object service.

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
use crate::budget::CallBudget;
use crate::budget::CallCounts;
use crate::budget::CallEnd;
use crate::budget::CallKind;
use crate::object::Listing;
use crate::object::OBJECT_MAX_BYTES;
use crate::object::Object;
use crate::object::Version;
use crate::object::WatchReply;
use crate::platform::Platform;

/// Maximum size of a reply's body, which holds a list of many objects or one object.
const REPLY_MAX_BYTES: usize = 8 << 20;
/// Maximum number of idle connections.
const IDLE_CONNECTIONS_MAX: usize = 4;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum delay between two tries of a read.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Options of an [`HttpPlatform`].
#[derive(Builder, Clone)]
pub struct HttpPlatformOptions {
    /// Address at which the platform listens.
    pub addr: SocketAddr,
    /// Local address to call from; the operating system chooses it if not given.
    pub source: Option<IpAddr>,
    /// Seed of the backoff's jitter; it must differ between VMs.
    pub seed: u64,
    /// Source of the time for the call budget.
    pub clock: Arc<dyn Clock>,
    /// Timeout of a call, to which a watch adds its own wait.
    #[builder(default = Duration::from_secs(2))]
    pub timeout: Duration,
    /// Maximum number of tries of a read.
    #[builder(default = 3)]
    pub tries_max: u32,
    /// Upper bound of the delay before the second try; doubled for each later one, with jitter.
    #[builder(default = Duration::from_millis(50))]
    pub backoff: Duration,
    /// This VM's share of the platform's rate of reads, lists and watches.
    #[builder(default = PerSecond(200.0))]
    pub reads: PerSecond,
    /// This VM's share of the platform's rate of writes and deletes.
    #[builder(default = PerSecond(30.0))]
    pub writes: PerSecond,
}

/// Client of the platform's object service over HTTP.
pub struct HttpPlatform {
    options: HttpPlatformOptions,
    client: Client<HttpConnector, Full<Bytes>>,
    budget: CallBudget,
}

/// Call to make.
struct Call<'a> {
    step: &'static str,
    kind: CallKind,
    method: Method,
    uri: String,
    if_version: Option<Version>,
    content: Bytes,
    timeout: Duration,
    /// What is read or written, for error messages.
    subject: &'a str,
}

impl HttpPlatform {
    /// Creates the client without connecting.
    #[must_use]
    pub fn new(options: HttpPlatformOptions) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_local_address(options.source);
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(options.timeout));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(IDLE_CONNECTIONS_MAX)
            .build(connector);
        let budget = CallBudget::new(options.reads, options.writes, options.clock.now());
        Self {
            options,
            client,
            budget,
        }
    }

    /// Returns a GET call with the usual timeout.
    fn new_call<'a>(
        &self,
        step: &'static str,
        kind: CallKind,
        subject: &'a str,
        uri: String,
    ) -> Call<'a> {
        Call {
            step,
            kind,
            method: Method::GET,
            uri,
            if_version: None,
            content: Bytes::new(),
            timeout: self.options.timeout,
            subject,
        }
    }

    /// Makes a call that changes nothing, with retries until it is answered or the tries are used up.
    async fn call_with_retries(&self, call: Call<'_>) -> Result<Response<Bytes>> {
        let mut backoff = Backoff::new(
            self.options.backoff,
            BACKOFF_MAX,
            self.backoff_seed(call.subject),
        );
        let mut tries_left = self.options.tries_max.max(1);
        loop {
            tries_left -= 1;
            let e = match self.call_once(&call).await {
                Ok(reply) => return Ok(reply),
                Err(e) => e,
            };
            if tries_left == 0 {
                return Err(e);
            }
            tokio::time::sleep(backoff.next_delay()).await;
        }
    }

    /// Makes a call once. A status of 429 or 5xx is an error; other statuses are left to the caller.
    async fn call_once(&self, call: &Call<'_>) -> Result<Response<Bytes>> {
        let clock = &self.options.clock;
        if !self.budget.try_take(call.kind, clock.now()) {
            let hint =
                "raise the VM's share of the platform's calls, or find out what makes so many";
            return Err(self
                .error(call, ErrorKind::TooMuch, "this VM's call budget is used up")
                .with_hint(hint));
        }
        let result = self.exchange(call).await;
        let end = match &result {
            Ok(_) => CallEnd::Answered,
            Err(e) if e.kind() == ErrorKind::TooMuch => CallEnd::Limited,
            Err(_) => CallEnd::Failed,
        };
        self.budget.on_call_end(end, clock.now());
        result
    }

    /// Sends a call and reads the reply within the timeout and the size limit.
    async fn exchange(&self, call: &Call<'_>) -> Result<Response<Bytes>> {
        let req = self.request(call)?;
        let exchange = async {
            let reply = self
                .client
                .request(req)
                .await
                .map_err(|e| self.transport_error(call, &e))?;
            let (parts, body) = reply.into_parts();
            let body = Limited::new(body, REPLY_MAX_BYTES).collect().await;
            let body =
                body.map_err(|e| self.error(call, self.no_reply_kind(call), &e.to_string()))?;
            Ok(Response::from_parts(parts, body.to_bytes()))
        };
        let reply = match tokio::time::timeout(call.timeout, exchange).await {
            Ok(reply) => reply?,
            Err(_) => {
                let text = format!("no answer within {:?}", call.timeout);
                return Err(self.error(call, self.no_reply_kind(call), &text));
            }
        };
        match reply.status() {
            StatusCode::TOO_MANY_REQUESTS => Err(self.error(
                call,
                ErrorKind::TooMuch,
                "over the platform's rate limit (429)",
            )),
            StatusCode::SERVICE_UNAVAILABLE => Err(self.error(
                call,
                ErrorKind::Unavailable,
                "the platform is unavailable (503)",
            )),
            s if s.is_server_error() => Err(self.error(
                call,
                self.no_reply_kind(call),
                &format!("unexpected status {s}"),
            )),
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

    /// Returns the error of a call without a complete reply. Only a call that never had a connection certainly had no
    /// effect.
    fn transport_error(&self, call: &Call<'_>, e: &hyper_util::client::legacy::Error) -> Error {
        let kind = match e.is_connect() {
            true => ErrorKind::Unavailable,
            false => self.no_reply_kind(call),
        };
        let cause = std::error::Error::source(e).map_or_else(String::new, |c| format!(": {c}"));
        self.error(call, kind, &format!("{e}{cause}"))
    }

    /// Returns the kind of error if a call that was sent gets no valid reply: a write or delete may have taken effect.
    fn no_reply_kind(&self, call: &Call<'_>) -> ErrorKind {
        match call.kind {
            CallKind::Write | CallKind::Delete => ErrorKind::Unknown,
            _ => ErrorKind::Unavailable,
        }
    }

    fn error(&self, call: &Call<'_>, kind: ErrorKind, text: &str) -> Error {
        Error::new(kind, format!("{}: {text}", call.subject))
            .at(call.step)
            .from_peer(self.options.addr.to_string())
    }

    fn unexpected_status(&self, step: &'static str, subject: &str, status: StatusCode) -> Error {
        Error::new(
            ErrorKind::BadInput,
            format!("{subject}: unexpected status {status}"),
        )
        .at(step)
        .from_peer(self.options.addr.to_string())
    }

    /// Parses the body of a successful reply.
    fn parse_json<T: DeserializeOwned>(
        &self,
        step: &'static str,
        subject: &str,
        reply: &Response<Bytes>,
    ) -> Result<T> {
        if reply.status() != StatusCode::OK {
            return Err(self.unexpected_status(step, subject, reply.status()));
        }
        serde_json::from_slice(reply.body()).map_err(|e| {
            Error::new(
                ErrorKind::BadInput,
                format!("{subject}: malformed reply: {e}"),
            )
            .at(step)
            .from_peer(self.options.addr.to_string())
        })
    }

    /// Returns the version from the header of a reply.
    fn parse_version(
        &self,
        step: &'static str,
        subject: &str,
        reply: &Response<Bytes>,
    ) -> Result<Version> {
        let header = reply.headers().get("x-version");
        header
            .and_then(|v| v.to_str().ok()?.parse().ok())
            .map(Version)
            .ok_or_else(|| {
                Error::new(
                    ErrorKind::BadInput,
                    format!("{subject}: the header `x-version` is missing or not a number"),
                )
                .at(step)
                .from_peer(self.options.addr.to_string())
            })
    }

    fn backoff_seed(&self, subject: &str) -> u64 {
        self.options.seed ^ Fingerprint::of(&[subject]).0
    }
}

/// Checks that a path needs no escaping in a URI, so that it cannot change which call is made.
pub(crate) fn check_path(path: &str) -> Result<()> {
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
        let call = self.new_call(STEP, CallKind::Read, path, format!("/v1/objects/{path}"));
        let reply = self.call_with_retries(call).await?;
        match reply.status() {
            StatusCode::OK => Ok(Some(Object {
                version: self.parse_version(STEP, path, &reply)?,
                content: reply.into_body(),
            })),
            StatusCode::NOT_FOUND => Ok(None),
            s => Err(self.unexpected_status(STEP, path, s)),
        }
    }

    async fn write(&self, path: &str, if_version: Version, content: Bytes) -> Result<Version> {
        const STEP: &str = "write object";
        check_path(path)?;
        let mut call = self.new_call(STEP, CallKind::Write, path, format!("/v1/objects/{path}"));
        if content.len() > OBJECT_MAX_BYTES {
            let text = format!(
                "{} bytes exceed the maximum of {OBJECT_MAX_BYTES} bytes",
                content.len()
            );
            return Err(self.error(&call, ErrorKind::TooMuch, &text));
        }
        call.method = Method::PUT;
        call.if_version = Some(if_version);
        call.content = content;
        let reply = self.call_once(&call).await?;
        match reply.status() {
            // The write took effect, but the object must be read back to learn its version.
            StatusCode::OK => self
                .parse_version(STEP, path, &reply)
                .map_err(|e| Error::new(ErrorKind::Unknown, e.to_string())),
            StatusCode::CONFLICT => {
                Err(self.error(&call, ErrorKind::Conflict, "the object has another version"))
            }
            StatusCode::PAYLOAD_TOO_LARGE => Err(self.error(
                &call,
                ErrorKind::TooMuch,
                "too large for the platform (413)",
            )),
            s => Err(self.unexpected_status(STEP, path, s)),
        }
    }

    async fn delete(&self, path: &str, if_version: Version) -> Result<bool> {
        const STEP: &str = "delete object";
        check_path(path)?;
        let mut call = self.new_call(STEP, CallKind::Delete, path, format!("/v1/objects/{path}"));
        call.method = Method::DELETE;
        call.if_version = Some(if_version);
        let reply = self.call_once(&call).await?;
        match reply.status() {
            StatusCode::OK => Ok(true),
            StatusCode::NOT_FOUND => Ok(false),
            StatusCode::CONFLICT => {
                Err(self.error(&call, ErrorKind::Conflict, "the object has another version"))
            }
            s => Err(self.unexpected_status(STEP, path, s)),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Listing> {
        const STEP: &str = "list objects";
        check_path(prefix)?;
        let uri = format!("/v1/list?prefix={prefix}");
        let reply = self
            .call_with_retries(self.new_call(STEP, CallKind::List, prefix, uri))
            .await?;
        self.parse_json(STEP, prefix, &reply)
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<WatchReply> {
        const STEP: &str = "watch objects";
        check_path(prefix)?;
        let wait_ms = wait.as_millis();
        let uri = format!("/v1/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let mut call = self.new_call(STEP, CallKind::Watch, prefix, uri);
        call.timeout = wait + self.options.timeout;
        // No retries here: the watcher must know how long it has seen nothing.
        let reply = self.call_once(&call).await?;
        if reply.status() == StatusCode::GONE {
            let text = format!("the changes after revision {after} are no longer kept");
            return Err(self
                .error(&call, ErrorKind::NotFound, &text)
                .with_hint("list the prefix again"));
        }
        self.parse_json(STEP, prefix, &reply)
    }

    async fn vms(&self) -> Result<Vec<VmEntry>> {
        const STEP: &str = "read VM list";
        let call = self.new_call(STEP, CallKind::Vms, "vms", "/v1/vms".into());
        let reply = self.call_with_retries(call).await?;
        self.parse_json(STEP, "vms", &reply)
    }

    fn call_counts(&self) -> CallCounts {
        self.budget.call_counts()
    }

    fn unreachable_for(&self) -> Option<Duration> {
        self.budget.unreachable_for(self.options.clock.now())
    }
}
