//! Answers news of requests that crash servers from other VMs.

use std::time::Instant;

use bytes::Bytes;
use gs_actor::lock;
use gs_relay::CrashReport;
use gs_relay::Event;
use gs_relay::Verdict;
use gs_relay::VerdictOrigin;
use gs_types::prelude::*;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

use crate::body::read_body;
use crate::crash_news::REPORTS_PATH;
use crate::crash_news::VERDICTS_PATH;
use crate::peers::PeerHandler;
use crate::peers::empty_response;
use crate::peers::json_response;
use crate::verdict_spread::VerdictMessage;
use crate::verdict_spread::spread;

/// The largest message, in bytes: enough for the addresses of tens of thousands of VMs.
const MESSAGE_BYTES_MAX: usize = 1 << 20;

impl PeerHandler {
    /// Answers a report, a verdict, or a query for all verdicts.
    pub(crate) async fn answer_crash_news(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = req.into_parts();
        match (&head.method, head.uri.path()) {
            (&Method::GET, VERDICTS_PATH) => {
                json_response(&lock(&self.relay).verdicts(Instant::now()))
            }
            (&Method::POST, VERDICTS_PATH) => match self.read_message(body).await {
                Ok(message) => self.apply_verdict(message),
                Err(e) => unreadable(&e),
            },
            (&Method::POST, REPORTS_PATH) => match self.read_message(body).await {
                Ok(report) => self.apply_report(report),
                Err(e) => unreadable(&e),
            },
            _ => empty_response(StatusCode::NOT_FOUND, "no-such-path"),
        }
    }

    async fn read_message<T: DeserializeOwned>(&self, body: Incoming) -> Result<T> {
        let bodies = &self.relay_client.bodies;
        let body = read_body(body, Some(MESSAGE_BYTES_MAX), bodies).await?;
        serde_json::from_slice(&body)
            .map_err(|e| Error::new(ErrorKind::BadInput, e.to_string()).at("read crash news"))
    }

    fn apply_verdict(&self, message: VerdictMessage) -> Response<Full<Bytes>> {
        let VerdictMessage { verdict, spread_to } = message;
        spread(&self.peers, verdict.clone(), spread_to);
        let verdicts = vec![verdict];
        self.relay_client
            .push(Event::Verdicts(verdicts, VerdictOrigin::Peer));
        json_response(&())
    }

    /// Passes a report to the relay; the answer tells a verdict that the other VM may not know.
    fn apply_report(&self, report: CrashReport) -> Response<Full<Bytes>> {
        let verdict = lock(&self.relay).verdict(Instant::now(), report.request);
        self.relay_client.push(Event::CrashReported(report));
        let verdicts: Vec<Verdict> = verdict.into_iter().collect();
        json_response(&verdicts)
    }
}

fn unreadable(e: &Error) -> Response<Full<Bytes>> {
    log::warn!("event=crash-news-unreadable error=\"{e}\"");
    empty_response(StatusCode::BAD_REQUEST, "unreadable")
}
