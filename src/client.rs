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

/// The longest that connecting may take.
const CONNECT: Duration = Duration::from_secs(2);
/// The largest answer read; a fleet's dump is the longest.
const ANSWER_MAX: usize = 64 << 20;

/// An answer: its status and its JSON.
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) body: Value,
    peer: SocketAddr,
}

/// Talks to one process's administration API.
pub(crate) struct Client {
    addr: SocketAddr,
    /// `team:key`, from a file and never from the command line, which other users can list.
    key: Option<String>,
    timeout: Duration,
}

impl Client {
    /// Prepares a client; the key file holds one line, `team:key`.
    pub(crate) fn new(addr: SocketAddr, key: Option<&Path>, timeout: Duration) -> Result<Self> {
        let key = key.map(read_key).transpose()?;
        Ok(Self { addr, key, timeout })
    }

    /// Reads a path.
    pub(crate) fn get(&self, path: &str) -> Result<Value> {
        self.call(Method::GET, path, Buf::new())
            .and_then(Reply::into_ok)
    }

    /// Sends a body to a path.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unavailable`] if nothing was sent, [`ErrorKind::Unknown`] if the answer is lost.
    pub(crate) fn post(&self, path: &str, body: String) -> Result<Reply> {
        self.call(Method::POST, path, body.into())
    }

    fn call(&self, method: Method, path: &str, body: Buf) -> Result<Reply> {
        let rt = runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| Error::new(ErrorKind::Io, e.to_string()).at("start client"))?;
        rt.block_on(self.exchange(method, path, body))
            .map_err(|e| e.from_peer(self.addr.to_string()))
    }

    async fn exchange(&self, method: Method, path: &str, body: Buf) -> Result<Reply> {
        let stream = self.connect().await?;
        let (mut tx, conn) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| unavailable(e.to_string()))?;
        let conn = tokio::spawn(conn);
        let changes_nothing = method == Method::GET;
        let req = self.request(method, path, body)?;
        let reply = time::timeout(self.timeout, send(&mut tx, req)).await;
        conn.abort();
        let reply = match reply {
            Ok(Ok((status, buf))) => self.reply(status, &buf),
            Ok(Err(text)) => Err(text),
            Err(_) => Err(format!("no answer within {:?}", self.timeout)),
        };
        reply.map_err(|text| match changes_nothing {
            true => unavailable(text),
            // The request is on its way, so it may take effect although no answer is seen.
            false => Error::new(ErrorKind::Unknown, text).at("await answer"),
        })
    }

    fn reply(&self, status: StatusCode, buf: &[u8]) -> Result<Reply, String> {
        let body = serde_json::from_slice(buf)
            .map_err(|e| format!("the answer, of status {status}, does not read: {e}"))?;
        Ok(Reply {
            status,
            body,
            peer: self.addr,
        })
    }

    async fn connect(&self) -> Result<TcpStream> {
        match time::timeout(CONNECT, TcpStream::connect(self.addr)).await {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(e)) => Err(unavailable(e.to_string())),
            Err(_) => Err(unavailable(format!("no connection within {CONNECT:?}"))),
        }
    }

    fn request(&self, method: Method, path: &str, body: Buf) -> Result<Request<Full<Buf>>> {
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

/// Sends a request and reads its whole answer; an error says in words why there is none.
async fn send(
    tx: &mut SendRequest<Full<Buf>>,
    req: Request<Full<Buf>>,
) -> Result<(StatusCode, Buf), String> {
    let res = tx.send_request(req).await.map_err(|e| e.to_string())?;
    let status = res.status();
    let body = Limited::new(res.into_body(), ANSWER_MAX);
    let body = body.collect().await.map_err(|e| e.to_string())?;
    Ok((status, body.to_bytes()))
}

fn unavailable(text: String) -> Error {
    Error::new(ErrorKind::Unavailable, text)
        .at("ask the process")
        .with_hint("check that it runs and that `--admin` is its `listen.admin`")
}

fn read_key(path: &Path) -> Result<String> {
    let text = input::text(path, "read key")?;
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

impl Reply {
    /// The body of a good answer.
    pub(crate) fn into_ok(self) -> Result<Value> {
        match self.status.is_success() {
            true => Ok(self.body),
            false => Err(self.into_error()),
        }
    }

    /// The error that the answer tells, or one made of its status.
    pub(crate) fn into_error(self) -> Error {
        let status = || format!("status {}", self.status);
        let text = self.text("error").map_or_else(status, str::to_owned);
        // The text ends with its step and peer, which the error made here shows by itself.
        let place = self.error("").to_string();
        let text = text.strip_suffix(&place).unwrap_or(&text);
        let e = self.error(text).from_peer(self.peer.to_string());
        match (self.text("hint"), self.status) {
            (_, StatusCode::UNAUTHORIZED) => e.with_hint("give the team's key by `--key-file`"),
            (Some(hint), _) => e.with_hint(hint),
            (None, _) => e,
        }
    }

    /// An error of the kind, the step and the peer that the answer names.
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
