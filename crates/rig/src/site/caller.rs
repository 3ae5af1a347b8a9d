//! A caller that checks every answer.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use super::config::SiteRoute;
use super::records::part;
use super::traffic::Traffic;

/// The outcome of a request, as checked by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A right answer, with the number of missing shards.
    Right(usize),
    /// Refused as not run, with the time after which to retry, in milliseconds.
    NotRun(Option<u64>),
    /// Failed; it may have run.
    Failed(u16),
    /// The connection was refused or could not be opened.
    Unreached,
    /// No answer.
    Cut,
    /// A wrong answer, and how it is wrong.
    Wrong(String),
}

/// A request's id and outcome.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The caller's id of the request.
    pub id: String,
    /// Its outcome.
    pub outcome: CallOutcome,
}

/// How long a caller waits for an answer unless it says otherwise.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3);

/// The time after its deadline at which a caller gives up.
const GIVE_UP_MARGIN: Duration = Duration::from_millis(500);

/// A caller that reuses its connections.
#[derive(Clone)]
pub struct SiteCaller {
    client: Client<HttpConnector, Full<Bytes>>,
    deadline: Duration,
    traffic: Arc<Traffic>,
}

impl Default for SiteCaller {
    fn default() -> Self {
        Self::new()
    }
}

impl SiteCaller {
    /// Creates a caller without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::recording(Arc::default())
    }

    /// Creates a caller without connections that records its requests.
    pub(super) fn recording(traffic: Arc<Traffic>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            deadline: DEFAULT_DEADLINE,
            traffic,
        }
    }

    /// Sets how long it waits for an answer.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sends a request for a route to a VM and checks the answer.
    pub async fn request(&self, vm: SocketAddr, route: &SiteRoute, id: &str) -> Answer {
        let target = format!("{}{id}", route.prefix);
        self.traffic.record_sent(&route.services);
        let timeout_after = self.deadline + GIVE_UP_MARGIN;
        let response = tokio::time::timeout(timeout_after, self.try_send(vm, &target, id)).await;
        let outcome = match response {
            Ok(Ok(res)) => check_response(&res, route, &target, id),
            Ok(Err(outcome)) => outcome,
            Err(_) => CallOutcome::Cut,
        };
        Answer {
            id: id.to_owned(),
            outcome,
        }
    }

    /// Sends a request and returns the response unchecked.
    pub async fn send(&self, vm: SocketAddr, target: &str, id: &str) -> Option<Response<Bytes>> {
        self.try_send(vm, target, id).await.ok()
    }

    /// Sends a request and returns the response unchecked, or how it failed.
    async fn try_send(
        &self,
        vm: SocketAddr,
        target: &str,
        id: &str,
    ) -> Result<Response<Bytes>, CallOutcome> {
        let req = Request::get(format!("http://{vm}{target}"))
            .header("host", "site.example")
            .header("attempt-id", id)
            .header("deadline-ms", self.deadline.as_millis().to_string())
            .body(Full::default())
            .map_err(|e| CallOutcome::Wrong(e.to_string()))?;
        let failed = |e: hyper_util::client::legacy::Error| match e.is_connect() {
            true => CallOutcome::Unreached,
            false => CallOutcome::Cut,
        };
        let res = self.client.request(req).await.map_err(failed)?;
        let (head, body) = res.into_parts();
        let body = body.collect().await.map_err(|_| CallOutcome::Cut)?;
        Ok(Response::from_parts(head, body.to_bytes()))
    }
}

fn check_response(res: &Response<Bytes>, route: &SiteRoute, target: &str, id: &str) -> CallOutcome {
    let text = |name: &str| res.headers().get(name).and_then(|v| v.to_str().ok());
    match res.status() {
        StatusCode::OK => {}
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            let seconds: Option<f64> = text("retry-after").and_then(|s| s.parse().ok());
            return CallOutcome::NotRun(seconds.map(|s| (s * 1000.0) as u64));
        }
        s => return CallOutcome::Failed(s.as_u16()),
    }
    let wrong = |what: &str| CallOutcome::Wrong(format!("{what}: {res:?}"));
    let Some((page, share)) = route.page else {
        let service = &route.services[0];
        let stamped = text("answer-stamp").is_some_and(|s| is_stamp_of(s, service, id));
        let is_complete = res.body() == &part(service, target);
        return match stamped && is_complete {
            true => CallOutcome::Right(0),
            false => wrong("not the server's answer"),
        };
    };
    let stamps: Vec<&str> = text("part-stamps")
        .unwrap_or("")
        .split(',')
        .map(str::trim)
        .collect();
    let missing: usize = text("missing-parts")
        .and_then(|m| m.parse().ok())
        .unwrap_or(0);
    let present: BTreeSet<&String> = route
        .services
        .iter()
        .filter(|s| stamps.iter().any(|stamp| is_stamp_of(stamp, s, id)))
        .collect();
    if present.len() != stamps.len() || present.len() + missing != route.services.len() {
        return wrong("its stamps and its missing parts do not add up");
    }
    if (present.len() as f64) < share * route.services.len() as f64 - 1e-9 {
        return wrong("too few parts");
    }
    let mut records: Vec<[u8; 16]> = Vec::new();
    for service in present {
        records.extend(part(service, target).as_chunks::<16>().0);
    }
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(page);
    match res.body()[..] == records.concat() {
        true => CallOutcome::Right(missing),
        false => wrong("not the greatest records of its parts"),
    }
}

/// Whether a stamp was made by a server of this service for this request.
fn is_stamp_of(stamp: &str, service: &str, id: &str) -> bool {
    let mut it = stamp.splitn(3, '.');
    it.next() == Some(service) && it.next().is_some() && it.next() == Some(id)
}
