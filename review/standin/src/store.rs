//! A stand-in for the platform's store: objects by kind and name, lists, watches and conditional writes.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::http::message;
use crate::http::read_message;
use crate::http::write;

/// A change of an object; `spec` is `None` if it was removed.
#[derive(Clone)]
struct Change {
    revision: u64,
    kind: String,
    name: String,
    spec: Option<String>,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    live: BTreeMap<(String, String), (u64, String)>,
    history: Vec<Change>,
}

/// The store.
pub struct Store {
    pub addr: SocketAddr,
    objects: Mutex<Objects>,
    changed: Condvar,
}

impl Store {
    /// Starts the store on a loopback address.
    pub fn start() -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.2:0")?;
        let this = Arc::new(Self {
            addr: listener.local_addr()?,
            objects: Mutex::default(),
            changed: Condvar::new(),
        });
        let store = Arc::clone(&this);
        thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                thread::spawn(move || store.serve(tcp));
            }
        });
        Ok(this)
    }

    /// Creates or replaces an object.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut objects = self.objects.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        let key = (kind.to_owned(), name.to_owned());
        objects.live.insert(key, (revision, spec.to_owned()));
        objects.history.push(Change {
            revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            spec: Some(spec.to_owned()),
        });
        drop(objects);
        self.changed.notify_all();
    }

    fn remove(&self, kind: &str, name: &str) {
        let mut objects = self.objects.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if objects.live.remove(&key).is_some() {
            objects.revision += 1;
            let revision = objects.revision;
            objects.history.push(Change {
                revision,
                kind: key.0,
                name: key.1,
                spec: None,
            });
        }
        drop(objects);
        self.changed.notify_all();
    }

    fn serve(&self, tcp: TcpStream) {
        let _ = tcp.set_nodelay(true);
        let Ok(mut to) = tcp.try_clone() else { return };
        let mut from = BufReader::new(tcp);
        while let Ok(Some(req)) = read_message(&mut from) {
            let (status, body) = self.answer(&req);
            let headers = [("content-type", "application/json")];
            let reply = message(&format!("HTTP/1.1 {status}"), &headers, body.as_bytes());
            if write(&mut to, &reply).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> (&'static str, String) {
        let (method, target) = req.method_and_target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(path) = path.strip_prefix("/api/objects/") else {
            return ("404 Not Found", "{}".into());
        };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let body = String::from_utf8_lossy(&req.body);
        let spec = member(&body, "spec").unwrap_or("null");
        match method {
            "GET" if name.is_empty() => match parameter(query, "watch") {
                Some(after) => self.watch(kind, after, parameter(query, "poll_timeout_ms")),
                None => self.list(kind),
            },
            "POST" => {
                let name = member(&body, "meta").and_then(|m| member(m, "name"));
                let name = name.unwrap_or("").trim_matches('"');
                if self.revision_of(kind, name).is_some() {
                    return ("409 Conflict", "{}".into());
                }
                self.put(kind, name, spec);
                ("200 OK", "{}".into())
            }
            "PUT" if self.revision_of(kind, name).is_none() => ("404 Not Found", "{}".into()),
            "PUT" => {
                self.put(kind, name, spec);
                ("200 OK", "{}".into())
            }
            "DELETE" => match (self.revision_of(kind, name), parameter(query, "revision")) {
                (None, _) => ("404 Not Found", "{}".into()),
                (Some(is), Some(wanted)) if is != wanted => ("409 Conflict", "{}".into()),
                _ => {
                    self.remove(kind, name);
                    ("200 OK", "{}".into())
                }
            },
            _ => ("400 Bad Request", "{}".into()),
        }
    }

    fn revision_of(&self, kind: &str, name: &str) -> Option<u64> {
        let objects = self.objects.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        objects.live.get(&key).map(|(revision, _)| *revision)
    }

    fn list(&self, kind: &str) -> (&'static str, String) {
        let objects = self.objects.lock().unwrap();
        let live = objects.live.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<String> = live
            .map(|((_, name), (revision, spec))| object(name, *revision, spec))
            .collect();
        let body = format!(
            r#"{{"items":[{}],"has_more":false,"at":{}}}"#,
            items.join(","),
            objects.revision
        );
        ("200 OK", body)
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: Option<u64>) -> (&'static str, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(30_000));
        let mut objects = self.objects.lock().unwrap();
        loop {
            let changes = objects.history.iter();
            let changes = changes.filter(|c| c.kind == kind && c.revision > after);
            let events: Vec<String> = changes.map(event).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = objects.revision;
                let body = format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(","));
                return ("200 OK", body);
            }
            objects = self.changed.wait_timeout(objects, left).unwrap().0;
        }
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        r#"{{"meta":{{"name":"{name}","revision":{revision},"created":1,"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
    )
}

fn event(c: &Change) -> String {
    let object = object(&c.name, c.revision, c.spec.as_deref().unwrap_or("null"));
    format!(r#"{{"deleted":{},"object":{object}}}"#, c.spec.is_none())
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|p| p.split_once('='));
    let mut values = pairs.filter(|(n, _)| *n == name).map(|(_, v)| v);
    values.next()?.parse().ok()
}

/// Returns the text of a member of a JSON object.
fn member<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let key = format!("\"{name}\":");
    let at = json.find(&key)? + key.len();
    let (mut depth, mut in_text, mut is_escaped) = (0, false, false);
    for (n, c) in json[at..].char_indices() {
        match c {
            _ if is_escaped => is_escaped = false,
            '\\' if in_text => is_escaped = true,
            '"' => in_text = !in_text,
            '{' | '[' if !in_text => depth += 1,
            '}' | ']' | ',' if !in_text && depth == 0 => return Some(&json[at..at + n]),
            '}' | ']' if !in_text => depth -= 1,
            _ => {}
        }
    }
    None
}
