//! Answers queries of the peers that follow this VM.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use gs_follow::RegisterSource;
use gs_types::prelude::*;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use serde::Serialize;
use tokio::time::Instant;

use crate::directory::DirectoryKind;
use crate::register::Register;
use crate::register::as_millis;
use crate::register::cache::Objects;
use crate::register::wire::PLATFORM_STATUS;
use crate::register::wire::PeerListing;
use crate::register::wire::PeerObjects;
use crate::register::wire::PeerVmListing;
use crate::register::wire::PlatformStatus;
use crate::register::wire::REGISTER_PATH;
use crate::register::wire::VMS;

/// The longest that a query waits for a change.
const CHANGES_WAIT_MAX: Duration = Duration::from_secs(5);

/// The revision after which a peer asks for changes.
#[derive(Clone, Copy)]
struct ChangesAfter {
    /// `None` from a release that knows no eras.
    era: Option<StoreEra>,
    number: u64,
}

/// A query of a peer that follows this VM.
enum PeerQuery {
    /// All objects of a kind.
    List(DirectoryKind),
    /// The changes of a kind after a revision, once there are any or after the given time.
    Changes(DirectoryKind, ChangesAfter, Duration),
    /// The VMs that are announced.
    Vms,
    /// Whether this VM reaches the platform.
    PlatformStatus,
}

impl PeerQuery {
    /// Parses a query; returns `None` if it is malformed.
    fn parse(uri: &Uri) -> Option<Self> {
        let kind = match uri.path().strip_prefix(REGISTER_PATH)? {
            VMS => return Some(Self::Vms),
            PLATFORM_STATUS => return Some(Self::PlatformStatus),
            name => [DirectoryKind::Routes, DirectoryKind::Servers]
                .into_iter()
                .find(|kind| kind.to_string() == name)?,
        };
        let Some(query) = uri.query() else {
            return Some(Self::List(kind));
        };
        let value = |key: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut values = pairs.filter(|(k, _)| *k == key).map(|(_, v)| v);
            values.next()?.parse::<u64>().ok()
        };
        let wait = Duration::from_millis(value("wait-ms")?).min(CHANGES_WAIT_MAX);
        let after = ChangesAfter {
            era: value("era").map(StoreEra),
            number: value("after")?,
        };
        Some(Self::Changes(kind, after, wait))
    }
}

impl Register {
    /// Answers a query.
    pub(crate) async fn answer(&self, uri: &Uri) -> Response<Full<Bytes>> {
        let Some(query) = PeerQuery::parse(uri) else {
            log::warn!("event=register-question-unreadable uri=\"{uri:.80}\"");
            return empty_response(StatusCode::BAD_REQUEST);
        };
        // A VM that itself follows a peer does not answer: contents would arrive later with each VM that they pass.
        if *self.source.borrow() != RegisterSource::Register {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        match query {
            PeerQuery::List(kind) => self.answer_list(kind),
            PeerQuery::Changes(kind, after, wait) => self.answer_changes(kind, after, wait).await,
            PeerQuery::Vms => {
                let listing = self.if_platform_reachable(self.cache.vms());
                json_response(&listing.map_or(PeerVmListing::NotYet, PeerVmListing::from))
            }
            PeerQuery::PlatformStatus => {
                self.probe_if_overdue().await;
                let verdicts = self.cache.verdicts();
                json_response(&PlatformStatus {
                    is_in_touch: self.is_platform_reachable.load(Ordering::Relaxed),
                    heard_ms: self.last_contact_ms(),
                    quarantined: verdicts.iter().map(|v| v.request).collect(),
                    verdicts,
                })
            }
        }
    }

    /// Answers a list query, only while the platform is reachable: a peer that lists needs the present contents, as it
    /// has missed changes.
    fn answer_list(&self, kind: DirectoryKind) -> Response<Full<Bytes>> {
        let known = self.if_platform_reachable(self.cache.all(kind));
        json_response(&known.map_or(PeerListing::NotYet, |o| {
            PeerListing::All(self.peer_objects(o))
        }))
    }

    fn peer_objects(&self, objects: Objects) -> PeerObjects {
        PeerObjects {
            era: objects.at.era,
            at: objects.at.number,
            items: objects.items,
            heard_ms: self.last_contact_ms(),
            stable_ms: as_millis(self.stable_for()),
        }
    }

    /// Returns `known` if the platform answered its last call, else `None`.
    fn if_platform_reachable<T>(&self, known: Option<T>) -> Option<T> {
        known.filter(|_| self.is_platform_reachable.load(Ordering::Relaxed))
    }

    /// Answers a query for changes once there are any, or with none after `wait` or once this VM becomes overdue.
    async fn answer_changes(
        &self,
        kind: DirectoryKind,
        after: ChangesAfter,
        wait: Duration,
    ) -> Response<Full<Bytes>> {
        let start = Instant::now();
        let until = start + wait;
        let mut revision = self.cache.subscribe(kind);
        let era = after.era.unwrap_or(revision.borrow().era);
        let after = Revision::new(era, after.number);
        loop {
            revision.mark_unchanged();
            let Some(changed) = self.cache.changes_since(kind, after) else {
                return empty_response(StatusCode::GONE);
            };
            // A VM that is overdue already as the query arrives has told the peer so before.
            let overdue_at = Some(self.overdue_at()).filter(|at| *at > start);
            let end = overdue_at.map_or(until, |at| at.min(until));
            if !changed.items.is_empty() || Instant::now() >= end {
                return json_response(&self.peer_objects(changed));
            }
            // After the timeout the answer is empty, unless the platform has answered this VM meanwhile.
            drop(tokio::time::timeout_at(end, revision.changed()).await);
        }
    }
}

fn json_response<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    match serde_json::to_vec(value) {
        Ok(body) => Response::new(Full::new(Bytes::from(body))),
        Err(e) => {
            log::error!("event=register-unwritable error=\"{e}\"");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res
}
