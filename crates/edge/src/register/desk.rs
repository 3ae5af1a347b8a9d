//! Answers to peers that follow this VM.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use gs_follow::RegisterSource;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use serde::Serialize;
use tokio::time::Instant;

use crate::directory::DirectoryKind;
use crate::register::Register;
use crate::register::book::Objects;
use crate::register::wire::REGISTER_PATH;
use crate::register::wire::TOUCH;
use crate::register::wire::Told;
use crate::register::wire::ToldList;
use crate::register::wire::ToldVms;
use crate::register::wire::Touch;
use crate::register::wire::VMS;

/// The longest that a question may wait for a change.
const WAIT_MAX: Duration = Duration::from_secs(5);

/// What a peer that follows this VM asks.
enum Question {
    /// Everything of a kind.
    List(DirectoryKind),
    /// What changed of a kind after a revision, once something has or after this time.
    Changes(DirectoryKind, u64, Duration),
    /// The VMs that are announced.
    Vms,
    /// Whether this VM is in touch with the platform.
    Touch,
}

impl Question {
    /// Reads a question; `None` if it is none.
    fn read(uri: &Uri) -> Option<Self> {
        let kind = match uri.path().strip_prefix(REGISTER_PATH)? {
            VMS => return Some(Self::Vms),
            TOUCH => return Some(Self::Touch),
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
        let wait = Duration::from_millis(value("wait-ms")?).min(WAIT_MAX);
        Some(Self::Changes(kind, value("after")?, wait))
    }
}

impl Register {
    /// Answers a peer.
    pub(crate) async fn answer(&self, uri: &Uri) -> Response<Full<Bytes>> {
        let Some(question) = Question::read(uri) else {
            log::warn!("event=register-question-unreadable uri=\"{uri:.80}\"");
            return bare(StatusCode::BAD_REQUEST);
        };
        // One that follows another would tell what it was told, later each time.
        if *self.source.borrow() != RegisterSource::Register {
            return bare(StatusCode::SERVICE_UNAVAILABLE);
        }
        match question {
            Question::List(kind) => self.answer_list(kind),
            Question::Changes(kind, after, wait) => self.answer_changes(kind, after, wait).await,
            Question::Vms => {
                let told = self.in_touch(self.book.vms());
                whole(&told.map_or(ToldVms::NotYet, ToldVms::from))
            }
            Question::Touch => whole(&Touch {
                is_in_touch: self.is_in_touch.load(Ordering::Relaxed),
                heard_ms: self.heard_ms(),
                quarantined: self.book.quarantined(),
            }),
        }
    }

    /// Lists only what the platform says now: a peer that lists has lost the thread.
    fn answer_list(&self, kind: DirectoryKind) -> Response<Full<Bytes>> {
        let known = self.in_touch(self.book.all(kind));
        whole(&known.map_or(ToldList::NotYet, |o| ToldList::All(self.told(o))))
    }

    fn told(&self, objects: Objects) -> Told {
        Told {
            at: objects.at,
            items: objects.items,
            heard_ms: self.heard_ms(),
        }
    }

    /// What is known, if the platform answered when it was last asked.
    fn in_touch<T>(&self, known: Option<T>) -> Option<T> {
        known.filter(|_| self.is_in_touch.load(Ordering::Relaxed))
    }

    async fn answer_changes(
        &self,
        kind: DirectoryKind,
        after: u64,
        wait: Duration,
    ) -> Response<Full<Bytes>> {
        let until = Instant::now() + wait;
        let mut at = self.book.changes(kind);
        loop {
            at.mark_unchanged();
            let Some(changed) = self.book.since(kind, after) else {
                return bare(StatusCode::GONE);
            };
            if !changed.items.is_empty() || Instant::now() >= until {
                return whole(&self.told(changed));
            }
            // Past the time the answer is empty.
            drop(tokio::time::timeout_at(until, at.changed()).await);
        }
    }
}

fn whole<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    match serde_json::to_vec(value) {
        Ok(body) => Response::new(Full::new(Bytes::from(body))),
        Err(e) => {
            log::error!("event=register-unwritable error=\"{e}\"");
            bare(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn bare(status: StatusCode) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res
}
