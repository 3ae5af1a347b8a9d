//! A client of the administration API: one request on one connection.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use gs_types::prelude::*;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Bytes as Buf;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::runtime;
use tokio::time;

use crate::input;

/// The timeout of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest response body, in bytes; the dump of a fleet is the largest response.
const RESPONSE_MAX_BYTES: usize = 64 << 20;

/// A response: its status and its JSON body.
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) body: Value,
    peer: SocketAddr,
}

/// A client of one process's administration API.
pub(crate) struct Client {
    addr: SocketAddr,
    /// The credentials, as `team:key`. They are read from a file and never given on the command
    /// line, which other users of the machine can list.
    key: Option<String>,
    timeout: Duration,
}

impl Client {
    /// Creates a client; the key file holds one line, `team:key`.
    pub(crate) fn new(addr: SocketAddr, key: Option<&Path>, timeout: Duration) -> Result<Self> {
        let key = key.map(read_key).transpose()?;
        Ok(Self { addr, key, timeout })
    }

    /// Sends a GET request, and returns the body of a successful response.
    pub(crate) fn get(&self, path: &str) -> Result<Value> {
        self.send(Method::GET, path, Buf::new())
            .and_then(Response::into_ok)
    }

    /// Sends a POST request, and returns the response whatever its status.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unavailable`] if nothing was sent, [`ErrorKind::Unknown`] if no response was
    /// received after sending.
    pub(crate) fn post(&self, path: &str, body: String) -> Result<Response> {
        self.send(Method::POST, path, body.into())
    }

    fn send(&self, method: Method, path: &str, body: Buf) -> Result<Response> {
        let rt = runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| Error::new(ErrorKind::Io, e.to_string()).at("start client"))?;
        rt.block_on(self.exchange(method, path, body))
            .map_err(|e| e.from_peer(self.addr.to_string()))
    }

    async fn exchange(&self, method: Method, path: &str, body: Buf) -> Result<Response> {
        let stream = self.connect().await?;
        let (mut tx, conn) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| unavailable(e.to_string()))?;
        let conn = tokio::spawn(conn);
        let is_read_only = method == Method::GET;
        let req = self.build_request(method, path, body)?;
        let response = time::timeout(self.timeout, send_request(&mut tx, req)).await;
        conn.abort();
        let response = match response {
            Ok(Ok((status, buf))) => self.parse_response(status, &buf),
            Ok(Err(text)) => Err(text),
            Err(_) => Err(format!("no answer within {:?}", self.timeout)),
        };
        response.map_err(|text| match is_read_only {
            true => unavailable(text),
            // The request may have been sent, so it may take effect although there is no response.
            false => Error::new(ErrorKind::Unknown, text).at("await answer"),
        })
    }

    fn parse_response(&self, status: StatusCode, buf: &[u8]) -> Result<Response, String> {
        let body = serde_json::from_slice(buf)
            .map_err(|e| format!("the response with status {status} is not valid JSON: {e}"))?;
        Ok(Response {
            status,
            body,
            peer: self.addr,
        })
    }

    async fn connect(&self) -> Result<TcpStream> {
        match time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(e)) => Err(unavailable(e.to_string())),
            Err(_) => Err(unavailable(format!(
                "no connection within {CONNECT_TIMEOUT:?}"
            ))),
        }
    }

    fn build_request(&self, method: Method, path: &str, body: Buf) -> Result<Request<Full<Buf>>> {
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.addr.to_string())
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(key) = &self.key {
            req = req.header(header::AUTHORIZATION, format!("Bearer {key}"));
        }
        req.body(Full::new(body))
            .map_err(|e| Error::new(ErrorKind::BadInput, e.to_string()).at("build request"))
    }
}

/// Sends a request and reads the complete response; the error is a description.
async fn send_request(
    tx: &mut SendRequest<Full<Buf>>,
    req: Request<Full<Buf>>,
) -> Result<(StatusCode, Buf), String> {
    let res = tx.send_request(req).await.map_err(|e| e.to_string())?;
    let status = res.status();
    let body = Limited::new(res.into_body(), RESPONSE_MAX_BYTES);
    let body = body.collect().await.map_err(|e| e.to_string())?;
    Ok((status, body.to_bytes()))
}

/// Returns the error of a process that could not be reached.
fn unavailable(text: String) -> Error {
    Error::new(ErrorKind::Unavailable, text)
        .at("ask the process")
        .with_hint("check that it runs and that `--admin` is its `listen.admin`")
}

/// Reads a key file and checks its form; errors never contain its text.
fn read_key(path: &Path) -> Result<String> {
    let text = input::read_text(path, "read key")?;
    let key = text.trim_end();
    let (team, secret) = key.split_once(':').unwrap_or((key, ""));
    let visible = secret.bytes().all(|b| b.is_ascii_graphic());
    if secret.is_empty() || !visible || team.parse::<TeamName>().is_err() {
        let text = format!("{} does not hold a team's key", path.display());
        return Err(Error::new(ErrorKind::BadInput, text)
            .at("read key")
            .with_hint("write one line into it: the team's name, `:` and its key"));
    }
    Ok(key.to_owned())
}

impl Response {
    /// Returns the body of a successful response, or its error.
    pub(crate) fn into_ok(self) -> Result<Value> {
        match self.status.is_success() {
            true => Ok(self.body),
            false => Err(self.into_error()),
        }
    }

    /// Returns the error in the response's body, or else an error made from its status.
    pub(crate) fn into_error(self) -> Error {
        let status = || format!("status {}", self.status);
        let text = self.text("error").map_or_else(status, str::to_owned);
        // The text ends with its step and peer, which the new error adds to its own text.
        let suffix = self.error("").to_string();
        let text = text.strip_suffix(&suffix).unwrap_or(&text);
        let e = self.error(text).from_peer(self.peer.to_string());
        match (self.text("hint"), self.status) {
            (_, StatusCode::UNAUTHORIZED) => e.with_hint("give the team's key by `--key-file`"),
            (Some(hint), _) => e.with_hint(hint),
            (None, _) => e,
        }
    }

    /// Returns an error with the kind, the step and the peer named in the response.
    fn error(&self, text: &str) -> Error {
        let kind = self.text("kind").and_then(|k| k.parse().ok());
        let mut e = Error::new(kind.unwrap_or_else(|| kind_of(self.status)), text);
        if let Some(step) = self.text("step") {
            e = e.at(step);
        }
        if let Some(peer) = self.text("peer") {
            e = e.from_peer(peer);
        }
        e
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.body.get(name).and_then(Value::as_str)
    }
}

/// Returns the kind of error that a status stands for.
fn kind_of(status: StatusCode) -> ErrorKind {
    match status {
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => ErrorKind::Forbidden,
        StatusCode::NOT_FOUND => ErrorKind::NotFound,
        StatusCode::CONFLICT => ErrorKind::Conflict,
        StatusCode::PAYLOAD_TOO_LARGE => ErrorKind::TooMuch,
        s if s.is_server_error() => ErrorKind::Unavailable,
        _ => ErrorKind::BadInput,
    }
}
