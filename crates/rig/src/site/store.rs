//! The stand-in of the platform's store, with injected faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use gs_types::prelude::*;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use serde_json::Value;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::http::RequestHandler;
use super::http::listen;
use super::http::response;
use super::http::serve;
use super::objects::LostWrite;
use super::objects::Objects;
use super::old_reads::OldReads;
use crate::body::Body;

/// A character that answers have a byte in place of which is no text, as if another program had written it.
pub const UNREADABLE: char = '\u{e000}';

/// A character that encloses the text of a [`raw`] value.
const RAW: char = '\u{e001}';

/// The header of every answer that counts how often the store was restored from a copy.
const STORE_ERA: &str = "store-era";

/// The prefix of the kinds that VMs write; all others are written by operators and servers.
const VM_KINDS_PREFIX: &str = "gentiansill-";

/// An injected fault of the store, the same for every client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// It answers 503.
    Busy,
    /// It answers 429.
    Limited,
    /// It accepts calls and does not answer.
    Silent,
    /// It accepts calls for objects of these kinds and does not answer them.
    SilentTo(&'static [&'static str]),
    /// It accepts calls and answers neither them nor the watches that wait already.
    Mute,
    /// It executes the call and closes the connection without an answer.
    Lost,
    /// It delays every answer by this duration.
    Slow(Duration),
}

/// A copy of the store's objects, from which it can be restored.
#[derive(Clone)]
pub struct StoreCopy(Objects);

impl StoreCopy {
    /// Removes all objects of a kind, as if the copy had been made before they were written.
    pub fn forget(&mut self, kind: &str) {
        self.0.forget(kind);
    }
}

/// The running stand-in of the platform's store; stops when dropped.
pub struct Store {
    addr: SocketAddr,
    inner: Arc<Inner>,
    task: JoinHandle<()>,
}

struct Inner {
    objects: Mutex<Objects>,
    old_reads: Mutex<OldReads>,
    era: AtomicU64,
    changed: Notify,
    fault: Mutex<StoreFault>,
    calls: Mutex<BTreeMap<String, u64>>,
    serializable_calls: Mutex<BTreeMap<String, u64>>,
}

impl Store {
    /// Starts an empty store on a free loopback port.
    ///
    /// # Errors
    ///
    /// If it cannot listen.
    pub async fn start() -> Result<Self> {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let addr = listener
            .local_addr()
            .map_err(|e| Error::new(ErrorKind::Io, e.to_string()))?;
        let inner = Arc::new(Inner {
            objects: Mutex::default(),
            old_reads: Mutex::default(),
            era: AtomicU64::new(1),
            changed: Notify::new(),
            fault: Mutex::default(),
            calls: Mutex::default(),
            serializable_calls: Mutex::default(),
        });
        let task = serve(listener, Arc::<Inner>::clone(&inner));
        Ok(Self { addr, inner, task })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Writes an object directly, in place of operators and servers.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.writer().put(kind, name, spec);
    }

    /// Removes an object directly.
    pub fn delete(&self, kind: &str, name: &str) {
        self.writer().delete(kind, name);
    }

    /// Returns a handle that writes objects directly.
    #[must_use]
    pub fn writer(&self) -> StoreWriter {
        StoreWriter(Arc::clone(&self.inner))
    }

    /// Returns the content of an object.
    #[must_use]
    pub fn spec(&self, kind: &str, name: &str) -> Option<Value> {
        let objects = lock(&self.inner.objects);
        objects.get(kind, name).map(|o| o["spec"].clone())
    }

    /// Returns the names of the objects of a kind.
    #[must_use]
    pub fn names(&self, kind: &str) -> Vec<String> {
        let listed = lock(&self.inner.objects).list(kind, "");
        let items = listed["items"].as_array().cloned().unwrap_or_default();
        let names = items.iter().filter_map(|o| o["meta"]["name"].as_str());
        names.map(str::to_owned).collect()
    }

    /// Drops the change history; waiting watches get status 410.
    pub fn drop_history(&self) {
        lock(&self.inner.objects).drop_history();
        self.inner.changed.notify_waiters();
    }

    /// Copies all objects.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(lock(&self.inner.objects).clone())
    }

    /// Restores the objects of a copy, in a new era.
    ///
    /// A waiting watch gets status 410 unless writes that follow at once give its revision out again.
    ///
    /// Returns what operators and servers wrote since the copy, which they write again.
    pub fn restore(&self, copy: StoreCopy) -> Vec<LostWrite> {
        let mut objects = lock(&self.inner.objects);
        let lost = objects.written_since(&copy.0);
        *objects = copy.0;
        self.inner.era.fetch_add(1, Ordering::Relaxed);
        lock(&self.inner.old_reads).restart(&objects);
        drop(objects);
        self.inner.changed.notify_waiters();
        let by_others = |w: &LostWrite| !w.kind.starts_with(VM_KINDS_PREFIX);
        lost.into_iter().filter(by_others).collect()
    }

    /// Writes again what a restored store has lost.
    pub fn rewrite(&self, lost: Vec<LostWrite>) {
        for LostWrite { kind, name, spec } in lost {
            match spec {
                Some(spec) => self.put(&kind, &name, spec),
                None => self.delete(&kind, &name),
            }
        }
    }

    /// Sets the fault that applies from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        *lock(&self.inner.fault) = fault;
        self.inner.changed.notify_waiters();
    }

    /// Sets the age of the state from which `serializable` reads are answered; zero for the present state.
    pub fn set_read_age(&self, age: Duration) {
        let objects = lock(&self.inner.objects);
        lock(&self.inner.old_reads).set_age(age, &objects);
    }

    /// Returns the number of calls so far, by method and path without the query.
    #[must_use]
    pub fn calls(&self) -> BTreeMap<String, u64> {
        lock(&self.inner.calls).clone()
    }

    /// Returns how many of [`Store::calls`] may be answered from an old state, which costs a tenth of the price.
    #[must_use]
    pub fn serializable_calls(&self) -> BTreeMap<String, u64> {
        lock(&self.inner.serializable_calls).clone()
    }
}

/// Writes objects in place of servers, from tasks of their own.
#[derive(Clone)]
pub struct StoreWriter(Arc<Inner>);

impl StoreWriter {
    /// Writes an object directly.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut objects = lock(&self.0.objects);
        objects.put(kind, name, spec);
        self.0.on_change(&objects);
    }

    /// Removes an object directly.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut objects = lock(&self.0.objects);
        objects.delete(kind, name);
        self.0.on_change(&objects);
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[async_trait::async_trait]
impl RequestHandler for Inner {
    async fn respond(&self, req: Request<Bytes>) -> Option<Response<Body>> {
        self.count_call(&req);
        let fault = *lock(&self.fault);
        match fault {
            StoreFault::Busy => return Some(self.with_era(response(503, "busy"))),
            StoreFault::Limited => return Some(self.with_era(response(429, "limited"))),
            StoreFault::Silent | StoreFault::Mute => std::future::pending().await,
            StoreFault::SilentTo(kinds) if kinds.contains(&kind_and_name(&req).0) => {
                std::future::pending().await
            }
            StoreFault::Slow(by) => tokio::time::sleep(by).await,
            StoreFault::None | StoreFault::SilentTo(_) | StoreFault::Lost => {}
        }
        let res = self.handle(&req).await;
        if *lock(&self.fault) == StoreFault::Mute {
            std::future::pending::<()>().await;
        }
        (fault != StoreFault::Lost).then(|| self.with_era(res))
    }
}

impl Inner {
    fn with_era(&self, mut res: Response<Body>) -> Response<Body> {
        let era = self.era.load(Ordering::Relaxed);
        res.headers_mut().insert(STORE_ERA, era.into());
        res
    }

    fn count_call(&self, req: &Request<Bytes>) {
        let call = format!("{} {}", req.method(), req.uri().path());
        if is_serializable(req) {
            *lock(&self.serializable_calls)
                .entry(call.clone())
                .or_default() += 1;
        }
        *lock(&self.calls).entry(call).or_default() += 1;
    }

    async fn handle(&self, req: &Request<Bytes>) -> Response<Body> {
        let (kind, name) = kind_and_name(req);
        let query = req.uri().query().unwrap_or("");
        let param = |key: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(k, _)| *k == key).map(|(_, v)| v.to_owned())
        };
        let may_be_old = is_serializable(req);
        if let Some(after) = param("watch") {
            let wait = param("poll_timeout_ms").and_then(|w| w.parse().ok());
            let wait = Duration::from_millis(wait.unwrap_or(30_000));
            let after = after.parse().unwrap_or(0);
            return self.watch(kind, after, wait, may_be_old).await;
        }
        match *req.method() {
            Method::GET if name.is_empty() => {
                let after = param("after").unwrap_or_default();
                self.read(may_be_old, |objects| json(&objects.list(kind, &after)))
            }
            Method::GET => self.read(may_be_old, |objects| match objects.get(kind, name) {
                Some(object) => json(object),
                None => response(404, ""),
            }),
            Method::POST => self.create(kind, req.body()),
            Method::PUT => self.replace(kind, name, req.body()),
            Method::DELETE => {
                let if_revision = param("revision").and_then(|r| r.parse().ok());
                self.remove(kind, name, if_revision)
            }
            _ => response(405, ""),
        }
    }

    /// Records the state after a change, and wakes the waiting watches.
    fn on_change(&self, objects: &Objects) {
        lock(&self.old_reads).record(objects);
        self.changed.notify_waiters();
    }

    /// Returns what `f` reads from the present state, or from an old one if the call allows that.
    fn read<R>(&self, may_be_old: bool, f: impl FnOnce(&Objects) -> R) -> R {
        let objects = lock(&self.objects);
        let old_reads = lock(&self.old_reads);
        let old = old_reads.state().filter(|_| may_be_old);
        f(old.unwrap_or(&objects))
    }

    async fn watch(
        &self,
        kind: &str,
        after: u64,
        wait: Duration,
        may_be_old: bool,
    ) -> Response<Body> {
        let until = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let found = self.read(may_be_old, |objects| match objects.changes(kind, after) {
                // An old state does not know the later revision yet.
                Err(()) if may_be_old && after > objects.revision() => Ok(None),
                found => found,
            });
            match found {
                Err(()) => return response(410, ""),
                Ok(Some(page)) => return json(&page),
                Ok(None) => {}
            }
            if tokio::time::timeout_at(until, changed).await.is_err() {
                let at = self.read(may_be_old, Objects::revision);
                return json(&serde_json::json!({ "events": [], "at": at }));
            }
        }
    }

    fn create(&self, kind: &str, body: &Bytes) -> Response<Body> {
        let Ok(object) = serde_json::from_slice::<Value>(body) else {
            return response(400, "");
        };
        let name = object["meta"]["name"].as_str().unwrap_or("").to_owned();
        let mut objects = lock(&self.objects);
        if objects.get(kind, &name).is_some() {
            return response(409, "{}");
        }
        let stored = objects.put(kind, &name, object["spec"].clone());
        self.on_change(&objects);
        json(&stored)
    }

    fn remove(&self, kind: &str, name: &str, if_revision: Option<u64>) -> Response<Body> {
        let mut objects = lock(&self.objects);
        let Some(object) = objects.get(kind, name) else {
            return response(404, "{}");
        };
        if if_revision.is_some_and(|r| object["meta"]["revision"] != r) {
            return response(409, "{}");
        }
        objects.delete(kind, name);
        self.on_change(&objects);
        response(200, "{}")
    }

    fn replace(&self, kind: &str, name: &str, body: &Bytes) -> Response<Body> {
        let Ok(object) = serde_json::from_slice::<Value>(body) else {
            return response(400, "");
        };
        let mut objects = lock(&self.objects);
        if objects.get(kind, name).is_none() {
            return response(404, "");
        }
        let stored = objects.put(kind, name, object["spec"].clone());
        self.on_change(&objects);
        json(&stored)
    }
}

/// Returns the kind and the name in a call's path; the name is empty for all objects of the kind.
fn kind_and_name(req: &Request<Bytes>) -> (&str, &str) {
    let path = req.uri().path().trim_start_matches("/api/objects/");
    path.split_once('/').unwrap_or((path, ""))
}

/// Returns whether a call may be answered from an old state.
fn is_serializable(req: &Request<Bytes>) -> bool {
    let query = req.uri().query().unwrap_or("");
    query.split('&').any(|param| param == "serializable=1")
}

/// Returns a value in place of which answers have this text, which may be malformed JSON.
#[must_use]
pub fn raw(text: &str) -> Value {
    Value::String(format!("{RAW}{text}{RAW}"))
}

/// Returns a document in which [`raw`] values stand as their texts.
fn unquote_raw(document: &Value) -> String {
    let text = document.to_string();
    let (start, end) = (format!("\"{RAW}"), format!("{RAW}\""));
    let mut pieces = text.split(start.as_str());
    let mut unquoted = pieces.next().unwrap_or_default().to_owned();
    for piece in pieces {
        let (quoted, rest) = piece.split_once(end.as_str()).unwrap_or((piece, ""));
        let raw: Option<String> = serde_json::from_str(&format!("\"{quoted}\"")).ok();
        unquoted += &raw.unwrap_or_default();
        unquoted += rest;
    }
    unquoted
}

/// Returns a response with this document, in which a byte that is no text stands in place of [`UNREADABLE`].
fn json(value: &Value) -> Response<Body> {
    let text = unquote_raw(value);
    let parts: Vec<&[u8]> = text.split(UNREADABLE).map(str::as_bytes).collect();
    response(200, parts.join(&0xff))
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}
