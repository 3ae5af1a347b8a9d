//! The protocol between VMs: a request delegated with the shards that are wanted, and the page returned for it.
//!
//! The caller's request is forwarded unchanged, with `gs-` headers added. The peer answers with a page of the parts
//! that were ready in time, or reports that it has run nothing.

use std::net::SocketAddr;
use std::pin::Pin;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gs_actor::Shared;
use gs_actor::lock;
use gs_http::CompleteReply;
use gs_http::Handler;
use gs_relay::AttemptEnd;
use gs_relay::CallerRequest;
use gs_relay::DelegatedParts;
use gs_relay::Dispatch;
use gs_relay::MissingPart;
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
use serde::Serialize;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::body::closing;
use crate::body::read_body;
use crate::crash_news::CRASHES_PATH;
use crate::register::PeerClient;
use crate::register::REGISTER_PATH;
use crate::register::Register;
use crate::relay_client::RelayClient;
use crate::servers::ParsedReply;
use crate::servers::ServerCodec;
use crate::servers::opaque_request;

/// The request id that the caller gave.
const ID: HeaderName = HeaderName::from_static("gs-id");
/// The host that the caller addressed.
const HOST: HeaderName = HeaderName::from_static("gs-host");
/// The fingerprint of the route's content at the sending VM.
const ROUTE: HeaderName = HeaderName::from_static("gs-route");
/// The numbers of the wanted shards, separated by commas.
const SHARDS: HeaderName = HeaderName::from_static("gs-shards");
/// How many times the request has been delegated.
const HOPS: HeaderName = HeaderName::from_static("gs-hops");
/// How long the caller still waits, in milliseconds.
const CALLER_TIMEOUT_MS: HeaderName = HeaderName::from_static("gs-patience-ms");
/// The time within which the peer should send the page, in milliseconds.
const ON_TIME_MS: HeaderName = HeaderName::from_static("gs-on-time-ms");
/// The time within which the page is still of use, in milliseconds.
const LATEST_MS: HeaderName = HeaderName::from_static("gs-latest-ms");
/// The fewest parts that are of use to the sending VM in time.
const PARTS_WANTED: HeaderName = HeaderName::from_static("gs-least");
/// The time from the request's arrival at the peer to its answer, in microseconds.
const HELD_US: HeaderName = HeaderName::from_static("gs-held-us");
/// The stamps of a page's parts, separated by commas.
const STAMPS: HeaderName = HeaderName::from_static("gs-stamps");
/// The shards missing from a page, separated by semicolons: the number, `=`, and the servers that may have run the
/// part, separated by commas, or `*` if they are unknown.
const MISSING_SHARDS: HeaderName = HeaderName::from_static("gs-left-out");
/// The headers of a delegated request that are added to the caller's own.
const DELEGATION_HEADERS: [HeaderName; 9] = [
    ID,
    HOST,
    CALLER_TIMEOUT_MS,
    ON_TIME_MS,
    LATEST_MS,
    PARTS_WANTED,
    ROUTE,
    SHARDS,
    HOPS,
];
/// The path at which a starting VM fetches the state of a peer.
pub(crate) const SEED_STATE_PATH: &str = "/knowledge";
/// The path at which a starting VM fetches the version of the routes that a peer has in force.
pub(crate) const ROUTES_VERSION_PATH: &str = "/knowledge/version";
/// Stands for servers that are not known.
const UNKNOWN_SERVERS: &str = "*";
/// The time after which a request rejected for overload may be retried, in milliseconds.
const RETRY_MS: HeaderName = HeaderName::from_static("gs-retry-ms");
/// The time before such a retry if the peer gives none, in milliseconds.
const DEFAULT_RETRY_MS: u64 = 500;
/// The reason why a request was not run.
const REASON: HeaderName = HeaderName::from_static("gs-reason");

/// The protocol of peers, for the sending VM.
pub(crate) struct PeerCodec;

impl ServerCodec for PeerCodec {
    fn request(&self, d: &Dispatch, left: Duration) -> Result<Request<Full<Bytes>>> {
        let mut req = opaque_request(&d.content)?;
        let headers = req.headers_mut();
        headers.insert(ID, text_value(&d.id)?);
        headers.insert(CALLER_TIMEOUT_MS, millis(left));
        if let Some(h) = &d.delegation {
            headers.insert(HOST, text_value(&h.host)?);
            headers.insert(ROUTE, HeaderValue::from(h.route.0));
            headers.insert(SHARDS, text_value(&join_numbers(&h.shards))?);
            headers.insert(HOPS, HeaderValue::from(u16::from(h.hops)));
            headers.insert(ON_TIME_MS, millis(h.on_time));
            headers.insert(LATEST_MS, millis(h.latest));
            headers.insert(PARTS_WANTED, HeaderValue::from(h.parts_wanted));
        }
        Ok(req)
    }

    fn reply(&self, _: &Dispatch, complete_reply: CompleteReply) -> ParsedReply {
        let end = match complete_reply.status {
            StatusCode::OK => {
                let held =
                    parse_number(&complete_reply.headers, &HELD_US).map(Duration::from_micros);
                parse_page(complete_reply).map_or(AttemptEnd::Garbled, |page| {
                    AttemptEnd::Paged(Box::new(page), held)
                })
            }
            StatusCode::TOO_MANY_REQUESTS => {
                let retry_ms =
                    parse_number(&complete_reply.headers, &RETRY_MS).unwrap_or(DEFAULT_RETRY_MS);
                AttemptEnd::Overloaded(Duration::from_millis(retry_ms))
            }
            // Nothing was run there: the peer is shutting down, has no routes yet or other routes than this VM, or
            // cannot read what another version of the program sent.
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

/// Parses the page in a peer's reply; returns `None` if it is malformed.
fn parse_page(complete_reply: CompleteReply) -> Option<Page> {
    let stamps = complete_reply.headers.get(STAMPS)?.as_bytes();
    let stamps = stamps.split(|b| *b == b',').filter(|s| !s.is_empty());
    Some(Page {
        stamps: stamps.map(Bytes::copy_from_slice).collect(),
        missing: parse_missing(complete_reply.headers.get(MISSING_SHARDS)?.to_str().ok()?)?,
        body: complete_reply.body,
    })
}

/// Formats a missing shard for [`MISSING_SHARDS`].
fn format_missing(missing: &MissingPart) -> String {
    let names = missing
        .possible_servers
        .servers()
        .iter()
        .map(ServerName::as_str);
    let names: Vec<&str> = names.collect();
    let servers = match missing.possible_servers {
        PossibleServers::Unknown => UNKNOWN_SERVERS.to_owned(),
        PossibleServers::None | PossibleServers::Servers(_) => names.join(","),
    };
    format!("{}={servers}", missing.shard)
}

/// Parses the shards missing from a page; returns `None` if one is malformed.
fn parse_missing(text: &str) -> Option<SmallVec<[MissingPart; 4]>> {
    let each = text.split(';').filter(|m| !m.is_empty());
    each.map(|m| {
        let (shard, servers) = m.split_once('=')?;
        Some(MissingPart {
            shard: shard.parse().ok()?,
            possible_servers: parse_possible_servers(servers)?,
        })
    })
    .collect()
}

/// Parses the servers that may have run a part; returns `None` if one is malformed.
fn parse_possible_servers(text: &str) -> Option<PossibleServers> {
    match text {
        "" => Some(PossibleServers::None),
        UNKNOWN_SERVERS => Some(PossibleServers::Unknown),
        names => {
            let names = names.split(',').map(|n| n.parse().ok());
            names.collect::<Option<_>>().map(PossibleServers::Servers)
        }
    }
}

/// Runs requests that peers delegate, answers followers' queries about the register, and sends starting peers this
/// VM's state.
pub(crate) struct PeerHandler {
    pub(crate) relay_client: RelayClient,
    pub(crate) relay: Shared<Relay>,
    pub(crate) register: Arc<Register>,
    pub(crate) peers: Arc<PeerClient>,
}

impl PeerHandler {
    async fn answer(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        // A delegated request carries the caller's own path, which may equal one of these paths, but always has an id
        // header.
        if req.uri().path() == SEED_STATE_PATH && !req.headers().contains_key(ID) {
            return self.seed_state();
        }
        if req.uri().path() == ROUTES_VERSION_PATH && !req.headers().contains_key(ID) {
            return self.routes_version();
        }
        if req.uri().path().starts_with(REGISTER_PATH) && !req.headers().contains_key(ID) {
            return self.register.answer(req.uri()).await;
        }
        if req.uri().path().starts_with(CRASHES_PATH) && !req.headers().contains_key(ID) {
            return self.answer_crash_news(req).await;
        }
        let start = Instant::now();
        let (head, body) = req.into_parts();
        let client = &self.relay_client;
        let body = read_body(body, client.body_max(), &client.bodies).await;
        let (req, delegated) = match body.and_then(|body| parse_delegation(head, body)) {
            Ok(parsed) => parsed,
            Err(e) if e.kind() == ErrorKind::Unavailable => {
                log::warn!("event=hand-over-refused error=\"{e}\"");
                return closing(empty_response(
                    StatusCode::TOO_MANY_REQUESTS,
                    RefuseReason::Overload.into(),
                ));
            }
            Err(e) => {
                log::warn!("event=hand-over-unreadable error=\"{e}\"");
                return empty_response(StatusCode::BAD_REQUEST, "unreadable");
            }
        };
        if !self.relay_client.is_ready() {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE, "leaving");
        }
        match self.relay_client.submit(req, Some(delegated)).await {
            Outcome::Page(page) => page_response(*page, start.elapsed()),
            Outcome::Refused(RefuseReason::Overload, retry) => {
                let mut res = empty_response(StatusCode::TOO_MANY_REQUESTS, "overload");
                let retry = retry.unwrap_or(Duration::from_millis(DEFAULT_RETRY_MS));
                res.headers_mut().insert(RETRY_MS, millis(retry));
                res
            }
            Outcome::Refused(reason, _) => {
                empty_response(StatusCode::SERVICE_UNAVAILABLE, reason.into())
            }
            Outcome::Failed(_) | Outcome::Relayed(_) => {
                empty_response(StatusCode::BAD_GATEWAY, "failed")
            }
        }
    }
}

impl PeerHandler {
    /// Returns everything that a starting VM must know in order to serve.
    fn seed_state(&self) -> Response<Full<Bytes>> {
        self.if_ready(lock(&self.relay).seed_state())
    }

    /// Returns the version of the routes in force.
    fn routes_version(&self) -> Response<Full<Bytes>> {
        self.if_ready(Some(lock(&self.relay).version()))
    }

    /// Returns what a starting VM asks for; nothing while this VM is not ready itself.
    fn if_ready<T: Serialize>(&self, known: Option<T>) -> Response<Full<Bytes>> {
        let Some(known) = known.filter(|_| self.relay_client.is_ready()) else {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE, "not-ready");
        };
        json_response(&known)
    }
}

pub(crate) fn json_response<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    match serde_json::to_vec(value) {
        Ok(body) => Response::new(Full::new(Bytes::from(body))),
        Err(e) => {
            log::error!("event=knowledge-unwritable error=\"{e}\"");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR, "unwritable")
        }
    }
}

impl Handler for PeerHandler {
    fn handle(
        self: Arc<Self>,
        _: SocketAddr,
        req: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Response<Full<Bytes>>> + Send>> {
        Box::pin(async move { self.answer(req).await })
    }
}

/// Splits a delegated request into the caller's request and the parts that the peer wants.
///
/// # Errors
///
/// [`ErrorKind::BadInput`] if a header is missing or malformed.
fn parse_delegation(mut head: Parts, body: Bytes) -> Result<(CallerRequest, DelegatedParts)> {
    let missing = |name: &HeaderName| {
        Error::new(
            ErrorKind::BadInput,
            format!("header `{name}` is missing or malformed"),
        )
        .at("read hand-over")
    };
    let h = &head.headers;
    let text = |name: &HeaderName| h.get(name).and_then(|v| v.to_str().ok());
    let id: Arc<str> = text(&ID).ok_or_else(|| missing(&ID))?.into();
    let host: Box<str> = text(&HOST).ok_or_else(|| missing(&HOST))?.into();
    let caller_timeout =
        parse_number(h, &CALLER_TIMEOUT_MS).ok_or_else(|| missing(&CALLER_TIMEOUT_MS))?;
    let on_time = parse_number(h, &ON_TIME_MS).ok_or_else(|| missing(&ON_TIME_MS))?;
    let latest = parse_number(h, &LATEST_MS).ok_or_else(|| missing(&LATEST_MS))?;
    let parts_wanted = parse_number(h, &PARTS_WANTED).ok_or_else(|| missing(&PARTS_WANTED))?;
    let route = parse_number(h, &ROUTE).ok_or_else(|| missing(&ROUTE))?;
    let shards = parse_numbers(h, &SHARDS).ok_or_else(|| missing(&SHARDS))?;
    let hops = parse_number(h, &HOPS).ok_or_else(|| missing(&HOPS))?;
    for name in DELEGATION_HEADERS {
        head.headers.remove(name);
    }
    // The length is set again for each server.
    head.headers.remove(http::header::CONTENT_LENGTH);
    let target = head.uri.path_and_query().map_or("/", |t| t.as_str());
    let req = CallerRequest {
        host,
        path: head.uri.path().into(),
        id,
        caller_timeout: Some(Duration::from_millis(caller_timeout)),
        content: Arc::new(OpaqueRequest {
            target: target.into(),
            method: head.method,
            headers: head.headers,
            body,
        }),
    };
    let delegated = DelegatedParts {
        route: Fingerprint(route),
        on_time: Duration::from_millis(on_time),
        latest: Duration::from_millis(latest),
        parts_wanted,
        shards,
        hops,
    };
    Ok((req, delegated))
}

/// Builds the response that carries a page; `held` is the time that this VM took for it.
fn page_response(page: Page, held: Duration) -> Response<Full<Bytes>> {
    let Ok(stamps) = HeaderValue::from_bytes(&page.stamps.join(&b","[..])) else {
        return empty_response(StatusCode::BAD_GATEWAY, "stamps");
    };
    let mut res = Response::new(Full::new(page.body));
    let missing: Vec<String> = page.missing.iter().map(format_missing).collect();
    let Ok(missing) = text_value(&missing.join(";")) else {
        return empty_response(StatusCode::BAD_GATEWAY, "left-out");
    };
    res.headers_mut().insert(STAMPS, stamps);
    res.headers_mut().insert(MISSING_SHARDS, missing);
    res.headers_mut().insert(HELD_US, micros(held));
    res
}

/// Builds a response without a body that gives the reason why there is no page.
pub(crate) fn empty_response(status: StatusCode, reason: &'static str) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res.headers_mut()
        .insert(REASON, HeaderValue::from_static(reason));
    res
}

fn parse_number<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Parses numbers separated by commas; an empty value gives no numbers.
fn parse_numbers(headers: &HeaderMap, name: &HeaderName) -> Option<Vec<u16>> {
    let text = headers.get(name)?.to_str().ok()?;
    let each = text.split(',').filter(|n| !n.is_empty());
    each.map(|n| n.parse().ok()).collect()
}

fn join_numbers(numbers: &[u16]) -> String {
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
