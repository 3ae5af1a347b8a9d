//! The platform's store, and how it misbehaves.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
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

use super::http::Answers;
use super::http::listen;
use super::http::plain;
use super::http::serve;
use super::objects::Objects;
use crate::body::Body;

/// How the store misbehaves towards all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// It does not.
    #[default]
    None,
    /// It answers 503.
    Busy,
    /// It answers 429.
    Limited,
    /// It takes calls and answers none.
    Silent,
    /// It takes calls for objects of these kinds and answers none.
    SilentTo(&'static [&'static str]),
    /// It does what is asked and ends the connection without an answer.
    Lost,
    /// It answers so much later.
    Slow(Duration),
}

/// The platform's store.
pub struct Store {
    addr: SocketAddr,
    inner: Arc<Inner>,
    task: JoinHandle<()>,
}

struct Inner {
    objects: Mutex<Objects>,
    changed: Notify,
    fault: Mutex<StoreFault>,
    calls: Mutex<BTreeMap<String, u64>>,
}

impl Store {
    /// Starts an empty store on an address of the loopback range.
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
            changed: Notify::new(),
            fault: Mutex::default(),
            calls: Mutex::default(),
        });
        let task = serve(listener, Arc::<Inner>::clone(&inner));
        Ok(Self { addr, inner, task })
    }

    /// Where it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Writes an object, as operators and servers do.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        lock(&self.inner.objects).put(kind, name, spec);
        self.inner.changed.notify_waiters();
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        lock(&self.inner.objects).delete(kind, name);
        self.inner.changed.notify_waiters();
    }

    /// The names of a kind's objects.
    #[must_use]
    pub fn names(&self, kind: &str) -> Vec<String> {
        let listed = lock(&self.inner.objects).list(kind, "");
        let items = listed["items"].as_array().cloned().unwrap_or_default();
        let names = items.iter().filter_map(|o| o["meta"]["name"].as_str());
        names.map(str::to_owned).collect()
    }

    /// Forgets all history and cuts the watches that wait.
    pub fn drop_history(&self) {
        lock(&self.inner.objects).forget();
        self.inner.changed.notify_waiters();
    }

    /// Misbehaves from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        *lock(&self.inner.fault) = fault;
        self.inner.changed.notify_waiters();
    }

    /// Calls made so far, by method and path without its query.
    #[must_use]
    pub fn calls(&self) -> BTreeMap<String, u64> {
        lock(&self.inner.calls).clone()
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[async_trait::async_trait]
impl Answers for Inner {
    async fn answer(&self, req: Request<Bytes>) -> Option<Response<Body>> {
        let call = format!("{} {}", req.method(), req.uri().path());
        *lock(&self.calls).entry(call).or_default() += 1;
        let fault = *lock(&self.fault);
        match fault {
            StoreFault::Busy => return Some(plain(503, "busy")),
            StoreFault::Limited => return Some(plain(429, "limited")),
            StoreFault::Silent => std::future::pending().await,
            StoreFault::SilentTo(kinds) if kinds.contains(&object_of(&req).0) => {
                std::future::pending().await
            }
            StoreFault::Slow(by) => tokio::time::sleep(by).await,
            StoreFault::None | StoreFault::SilentTo(_) | StoreFault::Lost => {}
        }
        let res = self.handle(&req).await;
        (fault != StoreFault::Lost).then_some(res)
    }
}

impl Inner {
    async fn handle(&self, req: &Request<Bytes>) -> Response<Body> {
        let (kind, name) = object_of(req);
        let query = req.uri().query().unwrap_or("");
        let asked = |key: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(k, _)| *k == key).map(|(_, v)| v.to_owned())
        };
        if let Some(after) = asked("watch") {
            let wait = asked("poll_timeout_ms").and_then(|w| w.parse().ok());
            let wait = Duration::from_millis(wait.unwrap_or(30_000));
            return self.watch(kind, after.parse().unwrap_or(0), wait).await;
        }
        match *req.method() {
            Method::GET if name.is_empty() => {
                let after = asked("after").unwrap_or_default();
                json(&lock(&self.objects).list(kind, &after))
            }
            Method::GET => match lock(&self.objects).get(kind, name) {
                Some(object) => json(object),
                None => plain(404, ""),
            },
            Method::POST => self.create(kind, req.body()),
            Method::PUT => self.replace(kind, name, req.body()),
            Method::DELETE => {
                let wanted = asked("revision").and_then(|r| r.parse().ok());
                self.remove(kind, name, wanted)
            }
            _ => plain(405, ""),
        }
    }

    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> Response<Body> {
        let until = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            match lock(&self.objects).changes(kind, after) {
                Err(()) => return plain(410, ""),
                Ok(Some(page)) => return json(&page),
                Ok(None) => {}
            }
            if tokio::time::timeout_at(until, changed).await.is_err() {
                let at = lock(&self.objects).revision();
                return json(&serde_json::json!({ "events": [], "at": at }));
            }
        }
    }

    fn create(&self, kind: &str, body: &Bytes) -> Response<Body> {
        let Ok(object) = serde_json::from_slice::<Value>(body) else {
            return plain(400, "");
        };
        let name = object["meta"]["name"].as_str().unwrap_or("").to_owned();
        let mut objects = lock(&self.objects);
        if objects.get(kind, &name).is_some() {
            return plain(409, "{}");
        }
        let made = objects.put(kind, &name, object["spec"].clone());
        drop(objects);
        self.changed.notify_waiters();
        json(&made)
    }

    fn remove(&self, kind: &str, name: &str, wanted: Option<u64>) -> Response<Body> {
        let mut objects = lock(&self.objects);
        let Some(object) = objects.get(kind, name) else {
            return plain(404, "{}");
        };
        if wanted.is_some_and(|r| object["meta"]["revision"] != r) {
            return plain(409, "{}");
        }
        objects.delete(kind, name);
        drop(objects);
        self.changed.notify_waiters();
        plain(200, "{}")
    }

    fn replace(&self, kind: &str, name: &str, body: &Bytes) -> Response<Body> {
        let Ok(object) = serde_json::from_slice::<Value>(body) else {
            return plain(400, "");
        };
        let mut objects = lock(&self.objects);
        if objects.get(kind, name).is_none() {
            return plain(404, "");
        }
        let made = objects.put(kind, name, object["spec"].clone());
        drop(objects);
        self.changed.notify_waiters();
        json(&made)
    }
}

/// The kind and the name that a call is about; the name is empty for all objects of the kind.
fn object_of(req: &Request<Bytes>) -> (&str, &str) {
    let path = req.uri().path().trim_start_matches("/api/objects/");
    path.split_once('/').unwrap_or((path, ""))
}

fn json(value: &Value) -> Response<Body> {
    plain(200, value.to_string())
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}
