//! What VMs say to each other: a request with the shards that are wanted, and the page that comes of it.
//!
//! The caller's request goes on as it is, with headers of our own beside it. The peer answers with a
//! page of what came in time, or says that it has run nothing.

use std::net::SocketAddr;
use std::pin::Pin;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gs_actor::Shared;
use gs_actor::lock;
use gs_http::Handler;
use gs_http::Whole;
use gs_relay::AttemptEnd;
use gs_relay::CallerRequest;
use gs_relay::DelegatedParts;
use gs_relay::Dispatch;
use gs_relay::Missing;
use gs_relay::OpaqueRequest;
use gs_relay::Outcome;
use gs_relay::Page;
use gs_relay::PossibleServers;
use gs_relay::RefuseReason;
use gs_relay::Relay;
use gs_types::prelude::*;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::request::Parts;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::body::read_body;
use crate::desk::Desk;
use crate::register::REGISTER_PATH;
use crate::register::Register;
use crate::servers::ParsedReply;
use crate::servers::ServerCodec;
use crate::servers::opaque_request;

/// The caller's id of the request.
const ID: HeaderName = HeaderName::from_static("gs-id");
/// The host that the caller named.
const HOST: HeaderName = HeaderName::from_static("gs-host");
/// The route by its content at the VM that asks.
const ROUTE: HeaderName = HeaderName::from_static("gs-route");
/// The numbers of the shards wanted, with commas.
const SHARDS: HeaderName = HeaderName::from_static("gs-shards");
/// VMs that the request has passed.
const HOPS: HeaderName = HeaderName::from_static("gs-hops");
/// How long the caller still waits, in milliseconds.
const PATIENCE_MS: HeaderName = HeaderName::from_static("gs-patience-ms");
/// The time in which the page must leave the peer, in milliseconds.
const ON_TIME_MS: HeaderName = HeaderName::from_static("gs-on-time-ms");
/// The time in which it must leave to be of any use, in milliseconds.
const LATEST_MS: HeaderName = HeaderName::from_static("gs-latest-ms");
/// The fewest parts that are of use in time.
const LEAST: HeaderName = HeaderName::from_static("gs-least");
/// How long the peer had the request before it answered, in microseconds.
const HELD_US: HeaderName = HeaderName::from_static("gs-held-us");
/// The stamps of a page's parts, with commas.
const STAMPS: HeaderName = HeaderName::from_static("gs-stamps");
/// The shards that a page leaves out, with semicolons: the number, `=`, and the servers that may have run
/// the part, with commas, or `*` for any.
const LEFT_OUT: HeaderName = HeaderName::from_static("gs-left-out");
/// The headers beside the caller's own.
const OWN_HEADERS: [HeaderName; 9] = [
    ID,
    HOST,
    PATIENCE_MS,
    ON_TIME_MS,
    LATEST_MS,
    LEAST,
    ROUTE,
    SHARDS,
    HOPS,
];
/// Where a VM that starts asks what a peer knows.
pub(crate) const KNOWLEDGE_PATH: &str = "/knowledge";
/// Stands for servers that are not known.
const ANY: &str = "*";
/// When a request for which there is no room may come again, in milliseconds.
const RETRY_MS: HeaderName = HeaderName::from_static("gs-retry-ms");
/// The same if a peer does not say.
const RETRY_UNTOLD_MS: u64 = 500;
/// Why a request was not run.
const REASON: HeaderName = HeaderName::from_static("gs-reason");

/// Speaks with peers.
pub(crate) struct PeerCodec;

impl ServerCodec for PeerCodec {
    fn request(&self, d: &Dispatch, left: Duration) -> Result<Request<Full<Bytes>>> {
        let mut req = opaque_request(&d.content)?;
        let headers = req.headers_mut();
        headers.insert(ID, text_value(&d.id)?);
        headers.insert(PATIENCE_MS, millis(left));
        if let Some(h) = &d.delegation {
            headers.insert(HOST, text_value(&h.host)?);
            headers.insert(ROUTE, HeaderValue::from(h.route.0));
            headers.insert(SHARDS, text_value(&join(&h.shards))?);
            headers.insert(HOPS, HeaderValue::from(u16::from(h.hops)));
            headers.insert(ON_TIME_MS, millis(h.on_time));
            headers.insert(LATEST_MS, millis(h.latest));
            headers.insert(LEAST, HeaderValue::from(h.parts_wanted));
        }
        Ok(req)
    }

    fn reply(&self, _: &Dispatch, whole: Whole) -> ParsedReply {
        let end = match whole.status {
            StatusCode::OK => {
                let held = number(&whole.headers, &HELD_US).map(Duration::from_micros);
                page(whole).map_or(AttemptEnd::Garbled, |page| {
                    AttemptEnd::Paged(Box::new(page), held)
                })
            }
            StatusCode::TOO_MANY_REQUESTS => {
                let retry_ms = number(&whole.headers, &RETRY_MS).unwrap_or(RETRY_UNTOLD_MS);
                AttemptEnd::Overloaded(Duration::from_millis(retry_ms))
            }
            // Nothing was run there: it leaves, has no routes yet, or others than this VM, or it cannot read
            // what another version of the program says.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::BAD_REQUEST => AttemptEnd::Shed(None),
            _ => AttemptEnd::Garbled,
        };
        ParsedReply {
            end,
            is_connection_reusable: true,
            idle_max: None,
        }
    }
}

/// A page as a peer sends it; `None` if it is none.
fn page(whole: Whole) -> Option<Page> {
    let stamps = whole.headers.get(STAMPS)?.as_bytes();
    let stamps = stamps.split(|b| *b == b',').filter(|s| !s.is_empty());
    Some(Page {
        stamps: stamps.map(Bytes::copy_from_slice).collect(),
        missing: left_out(whole.headers.get(LEFT_OUT)?.to_str().ok()?)?,
        body: whole.body,
    })
}

/// What a page says of a shard that it leaves out.
fn told(missing: &Missing) -> String {
    let names = missing
        .possible_servers
        .servers()
        .iter()
        .map(ServerName::as_str);
    let names: Vec<&str> = names.collect();
    let asked = match missing.possible_servers {
        PossibleServers::Unknown => ANY.to_owned(),
        PossibleServers::None | PossibleServers::Servers(_) => names.join(","),
    };
    format!("{}={asked}", missing.shard)
}

/// Reads the shards that a page leaves out; `None` if one cannot be read.
fn left_out(text: &str) -> Option<SmallVec<[Missing; 4]>> {
    let each = text.split(';').filter(|m| !m.is_empty());
    each.map(|m| {
        let (shard, asked) = m.split_once('=')?;
        Some(Missing {
            shard: shard.parse().ok()?,
            possible_servers: asked_of(asked)?,
        })
    })
    .collect()
}

fn asked_of(text: &str) -> Option<PossibleServers> {
    match text {
        "" => Some(PossibleServers::None),
        ANY => Some(PossibleServers::Unknown),
        names => {
            let names = names.split(',').map(|n| n.parse().ok());
            names.collect::<Option<_>>().map(PossibleServers::Servers)
        }
    }
}

/// Runs what peers hand over, and tells those that start what is known here.
pub(crate) struct Peers {
    pub(crate) desk: Desk,
    pub(crate) relay: Shared<Relay>,
    pub(crate) register: Arc<Register>,
}

impl Peers {
    async fn answer(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        // A hand-over has the caller's id beside the caller's own path.
        if req.uri().path() == KNOWLEDGE_PATH && !req.headers().contains_key(ID) {
            return self.knowledge();
        }
        if req.uri().path().starts_with(REGISTER_PATH) && !req.headers().contains_key(ID) {
            return self.register.answer(req.uri()).await;
        }
        let begun = Instant::now();
        let (head, body) = req.into_parts();
        let body = read_body(body, self.desk.body_max()).await;
        let (req, handed) = match body.and_then(|body| read(head, body)) {
            Ok(read) => read,
            Err(e) => {
                log::warn!("event=hand-over-unreadable error=\"{e}\"");
                return said(StatusCode::BAD_REQUEST, "unreadable");
            }
        };
        if !self.desk.is_ready() {
            return said(StatusCode::SERVICE_UNAVAILABLE, "leaving");
        }
        match self.desk.ask(req, Some(handed)).await {
            Outcome::Page(page) => write(*page, begun.elapsed()),
            Outcome::Refused(RefuseReason::Overload, retry) => {
                let mut res = said(StatusCode::TOO_MANY_REQUESTS, "overload");
                let retry = retry.unwrap_or(Duration::from_millis(RETRY_UNTOLD_MS));
                res.headers_mut().insert(RETRY_MS, millis(retry));
                res
            }
            Outcome::Refused(reason, _) => said(StatusCode::SERVICE_UNAVAILABLE, reason.into()),
            Outcome::Failed(_) | Outcome::Relayed(_) => said(StatusCode::BAD_GATEWAY, "failed"),
        }
    }
}

impl Peers {
    /// Everything that a VM must know to serve, for one that starts.
    fn knowledge(&self) -> Response<Full<Bytes>> {
        let known = lock(&self.relay).seed_state();
        let Some(known) = known.filter(|_| self.desk.is_ready()) else {
            return said(StatusCode::SERVICE_UNAVAILABLE, "not-ready");
        };
        match serde_json::to_vec(&known) {
            Ok(body) => Response::new(Full::new(Bytes::from(body))),
            Err(e) => {
                log::error!("event=knowledge-unwritable error=\"{e}\"");
                said(StatusCode::INTERNAL_SERVER_ERROR, "unwritable")
            }
        }
    }
}

impl Handler for Peers {
    fn handle(
        self: Arc<Self>,
        _: SocketAddr,
        req: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Response<Full<Bytes>>> + Send>> {
        Box::pin(async move { self.answer(req).await })
    }
}

fn read(mut head: Parts, body: Bytes) -> Result<(CallerRequest, DelegatedParts)> {
    let missing = |name: &HeaderName| {
        Error::new(ErrorKind::BadInput, format!("no `{name}`")).at("read hand-over")
    };
    let h = &head.headers;
    let text = |name: &HeaderName| h.get(name).and_then(|v| v.to_str().ok());
    let id: Arc<str> = text(&ID).ok_or_else(|| missing(&ID))?.into();
    let host: Box<str> = text(&HOST).ok_or_else(|| missing(&HOST))?.into();
    let patience = number(h, &PATIENCE_MS).ok_or_else(|| missing(&PATIENCE_MS))?;
    let on_time = number(h, &ON_TIME_MS).ok_or_else(|| missing(&ON_TIME_MS))?;
    let latest = number(h, &LATEST_MS).ok_or_else(|| missing(&LATEST_MS))?;
    let least = number(h, &LEAST).ok_or_else(|| missing(&LEAST))?;
    let route = number(h, &ROUTE).ok_or_else(|| missing(&ROUTE))?;
    let shards = numbers(h, &SHARDS).ok_or_else(|| missing(&SHARDS))?;
    let hops = number(h, &HOPS).ok_or_else(|| missing(&HOPS))?;
    for name in OWN_HEADERS {
        head.headers.remove(name);
    }
    // The length is set anew for each server.
    head.headers.remove(http::header::CONTENT_LENGTH);
    let target = head.uri.path_and_query().map_or("/", |t| t.as_str());
    let req = CallerRequest {
        host,
        path: head.uri.path().into(),
        id,
        caller_timeout: Some(Duration::from_millis(patience)),
        content: Arc::new(OpaqueRequest {
            target: target.into(),
            method: head.method,
            headers: head.headers,
            body,
        }),
    };
    let handed = DelegatedParts {
        route: Fingerprint(route),
        on_time: Duration::from_millis(on_time),
        latest: Duration::from_millis(latest),
        parts_wanted: least,
        shards,
        hops,
    };
    Ok((req, handed))
}

fn write(page: Page, held: Duration) -> Response<Full<Bytes>> {
    let Ok(stamps) = HeaderValue::from_bytes(&page.stamps.join(&b","[..])) else {
        return said(StatusCode::BAD_GATEWAY, "stamps");
    };
    let mut res = Response::new(Full::new(page.body));
    let left_out: Vec<String> = page.missing.iter().map(told).collect();
    let Ok(left_out) = text_value(&left_out.join(";")) else {
        return said(StatusCode::BAD_GATEWAY, "left-out");
    };
    res.headers_mut().insert(STAMPS, stamps);
    res.headers_mut().insert(LEFT_OUT, left_out);
    res.headers_mut().insert(HELD_US, micros(held));
    res
}

fn said(status: StatusCode, reason: &'static str) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res.headers_mut()
        .insert(REASON, HeaderValue::from_static(reason));
    res
}

fn number<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Numbers with commas; none for an empty value.
fn numbers(headers: &HeaderMap, name: &HeaderName) -> Option<Vec<u16>> {
    let text = headers.get(name)?.to_str().ok()?;
    let each = text.split(',').filter(|n| !n.is_empty());
    each.map(|n| n.parse().ok()).collect()
}

fn join(numbers: &[u16]) -> String {
    let texts: Vec<String> = numbers.iter().map(u16::to_string).collect();
    texts.join(",")
}

fn millis(d: Duration) -> HeaderValue {
    HeaderValue::from(u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

fn micros(d: Duration) -> HeaderValue {
    HeaderValue::from(u64::try_from(d.as_micros()).unwrap_or(u64::MAX))
}

fn text_value(text: &str) -> Result<HeaderValue> {
    HeaderValue::from_str(text).map_err(|e| Error::new(ErrorKind::BadInput, e.to_string()))
}
