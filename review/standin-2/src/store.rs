//! The platform's store: objects, lists, watches and writes, as PROTOCOL.md describes them.
//!
//! Each VM has a listener of its own, so that the record tells which VM made a call.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json::field;

struct Change {
    revision: u64,
    kind: String,
    object: String,
    deleted: bool,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    live: BTreeMap<(String, String), (u64, String)>,
    history: Vec<Change>,
}

/// When a VM last made the calls that matter to the cases.
#[derive(Clone, Copy, Default)]
pub struct LastCalls {
    /// The last heartbeat, a list of the quarantined requests.
    pub heartbeat: Option<Instant>,
    /// The last watch of the servers that waits, or waited until its time was over.
    pub servers_watch: Option<Instant>,
}

pub struct Store {
    objects: Mutex<Objects>,
    changed: Condvar,
    /// Connections that were accepted before the last silence have a smaller number.
    silences: AtomicU64,
    last: Mutex<Vec<LastCalls>>,
    /// Whether a VM is cut off from the store: its calls are neither answered nor refused.
    cut_off: Vec<AtomicBool>,
}

impl Store {
    pub fn new(vms: usize) -> Arc<Self> {
        Arc::new(Self {
            objects: Mutex::default(),
            changed: Condvar::new(),
            silences: AtomicU64::new(0),
            last: Mutex::new(vec![LastCalls::default(); vms]),
            cut_off: (0..vms).map(|_| AtomicBool::new(false)).collect(),
        })
    }

    /// Listens for the calls of one VM.
    pub fn listen(self: &Arc<Self>, vm: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let addr = listener.local_addr()?;
        let this = Arc::clone(self);
        thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let this = Arc::clone(&this);
                let number = this.silences.load(Ordering::SeqCst);
                thread::spawn(move || this.serve(Connection::new(tcp), vm, number));
            }
        });
        Ok(addr)
    }

    /// Makes all open connections silent for good; none is reset or closed, and new ones work.
    pub fn silence_open_connections(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
        self.changed.notify_all();
    }

    /// Cuts a VM off from the store, or ends its cut; what is lost in a cut is not answered after it either.
    pub fn set_cut_off(&self, vm: usize, is_cut_off: bool) {
        self.cut_off[vm].store(is_cut_off, Ordering::SeqCst);
        self.changed.notify_all();
    }

    pub fn last_calls(&self) -> Vec<LastCalls> {
        self.last.lock().unwrap().clone()
    }

    /// Writes an object in place of the operator or a server.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        put(&mut self.objects.lock().unwrap(), kind, name, spec);
        self.changed.notify_all();
    }

    pub fn delete(&self, kind: &str, name: &str) -> bool {
        let deleted = delete(&mut self.objects.lock().unwrap(), kind, name);
        self.changed.notify_all();
        deleted
    }

    fn serve(&self, mut conn: Connection, vm: usize, number: u64) {
        let is_silent = || {
            self.silences.load(Ordering::SeqCst) > number || self.cut_off[vm].load(Ordering::SeqCst)
        };
        while let Ok(call) = conn.read() {
            if is_silent() {
                return keep_silent(conn);
            }
            let (status, body) = self.answer(&call, vm, &is_silent);
            if is_silent() {
                return keep_silent(conn);
            }
            let headers = [("Content-Type", "application/json".to_owned())];
            if conn
                .write(&format!("HTTP/1.1 {status} X"), &headers, body.as_bytes())
                .is_err()
            {
                return;
            }
        }
        if is_silent() {
            keep_silent(conn);
        }
    }

    fn answer(&self, call: &Message, vm: usize, is_silent: &dyn Fn() -> bool) -> (u16, String) {
        let target = call.target().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let path = path.trim_start_matches("/api/objects/");
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let param = |key: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(k, _)| *k == key).map(|(_, v)| v.to_owned())
        };
        let number = |key: &str| param(key).and_then(|v| v.parse::<u64>().ok());
        if let Some(after) = number("watch") {
            let wait = Duration::from_millis(number("poll_timeout_ms").unwrap_or(30_000));
            return self.watch(kind, after, wait, vm, is_silent);
        }
        if kind == "gentiansill-quarantine" && call.method() == "GET" {
            self.last.lock().unwrap()[vm].heartbeat = Some(Instant::now());
        }
        let mut objects = self.objects.lock().unwrap();
        let body = String::from_utf8_lossy(&call.body).into_owned();
        let spec = field(&body, "spec").unwrap_or("null").to_owned();
        let result = match call.method() {
            "GET" if name.is_empty() => (200, list(&objects, kind)),
            "GET" => match objects.live.get(&(kind.to_owned(), name.to_owned())) {
                Some((revision, spec)) => (200, object(name, *revision, spec)),
                None => (404, "{}".to_owned()),
            },
            "POST" => {
                let meta = field(&body, "meta").unwrap_or("{}");
                let name = field(meta, "name")
                    .unwrap_or("")
                    .trim_matches('"')
                    .to_owned();
                match objects.live.contains_key(&(kind.to_owned(), name.clone())) {
                    true => (409, "{}".to_owned()),
                    false => (201, put(&mut objects, kind, &name, &spec)),
                }
            }
            "PUT" => match objects
                .live
                .contains_key(&(kind.to_owned(), name.to_owned()))
            {
                true => (200, put(&mut objects, kind, name, &spec)),
                false => (404, "{}".to_owned()),
            },
            "DELETE" => {
                let key = (kind.to_owned(), name.to_owned());
                let revision = objects.live.get(&key).map(|(revision, _)| *revision);
                match (revision, number("revision")) {
                    (None, _) => (404, "{}".to_owned()),
                    (Some(is), Some(wanted)) if is != wanted => (409, "{}".to_owned()),
                    _ => {
                        delete(&mut objects, kind, name);
                        (200, "{}".to_owned())
                    }
                }
            }
            _ => (405, "{}".to_owned()),
        };
        drop(objects);
        self.changed.notify_all();
        result
    }

    fn watch(
        &self,
        kind: &str,
        after: u64,
        wait: Duration,
        vm: usize,
        is_silent: &dyn Fn() -> bool,
    ) -> (u16, String) {
        let until = Instant::now() + wait;
        if kind == "servers" {
            self.last.lock().unwrap()[vm].servers_watch = Some(Instant::now());
        }
        let mut objects = self.objects.lock().unwrap();
        loop {
            let new = objects
                .history
                .iter()
                .filter(|c| c.kind == kind && c.revision > after);
            let events: Vec<String> = new
                .map(|c| format!(r#"{{"object":{},"deleted":{}}}"#, c.object, c.deleted))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || is_silent() {
                let at = objects.revision;
                return (
                    200,
                    format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(",")),
                );
            }
            objects = self.changed.wait_timeout(objects, left).unwrap().0;
        }
    }
}

/// Keeps a connection open without reading or writing.
fn keep_silent(conn: Connection) {
    thread::sleep(Duration::from_secs(600));
    drop(conn);
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        r#"{{"meta":{{"name":"{name}","revision":{revision},"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
    )
}

fn list(objects: &Objects, kind: &str) -> String {
    let of_kind = objects.live.iter().filter(|((k, _), _)| k == kind);
    let items: Vec<String> = of_kind.map(|((_, n), (r, s))| object(n, *r, s)).collect();
    let at = objects.revision;
    format!(
        r#"{{"items":[{}],"has_more":false,"at":{at}}}"#,
        items.join(",")
    )
}

fn put(objects: &mut Objects, kind: &str, name: &str, spec: &str) -> String {
    let key = (kind.to_owned(), name.to_owned());
    if let Some((revision, old)) = objects.live.get(&key)
        && old == spec
    {
        return object(name, *revision, old);
    }
    objects.revision += 1;
    let revision = objects.revision;
    objects.live.insert(key, (revision, spec.to_owned()));
    let written = object(name, revision, spec);
    let change = Change {
        revision,
        kind: kind.to_owned(),
        object: written.clone(),
        deleted: false,
    };
    objects.history.push(change);
    written
}

fn delete(objects: &mut Objects, kind: &str, name: &str) -> bool {
    let Some((_, spec)) = objects.live.remove(&(kind.to_owned(), name.to_owned())) else {
        return false;
    };
    objects.revision += 1;
    let revision = objects.revision;
    let object = object(name, revision, &spec);
    objects.history.push(Change {
        revision,
        kind: kind.to_owned(),
        object,
        deleted: true,
    });
    true
}
