//! A backend server: runs requests in its slots and answers them, as PROTOCOL.md describes it.

use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Message};
use crate::record::Record;
use crate::store::Store;

/// The longest queue of a server.
const QUEUE_MAX: usize = 12;

/// What a server saw of a request that it began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub server: String,
    pub id: String,
}

/// Which requests crash the servers that begin to run them.
#[derive(Clone, Debug)]
pub enum Deadly {
    /// Those to a path that ends so.
    Path(&'static str),
    /// Those of this caller.
    Caller(&'static str),
}

impl Deadly {
    fn fits(&self, req: &Message) -> bool {
        match self {
            Self::Path(end) => req.target().ends_with(end),
            Self::Caller(caller) => req.header("from") == Some(caller),
        }
    }
}

pub struct ServerOptions {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub work: Duration,
    /// Which requests crash the server.
    pub deadly: Option<Deadly>,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

pub struct Server {
    pub opts: ServerOptions,
    pub addr: SocketAddr,
    is_up: AtomicBool,
    is_leaving: AtomicBool,
    load: Mutex<Load>,
    freed: Condvar,
    connections: Mutex<Vec<TcpStream>>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Arc<Record>,
    /// When it crashed, for the driver.
    pub crashed_at: Mutex<Option<Instant>>,
}

impl Server {
    /// Starts a server and registers it.
    pub fn start(
        opts: ServerOptions,
        store: &Store,
        runs: Arc<Mutex<Vec<Run>>>,
        record: Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let this = Arc::new(Self {
            opts,
            addr: listener.local_addr()?,
            is_up: AtomicBool::new(true),
            is_leaving: AtomicBool::new(false),
            load: Mutex::default(),
            freed: Condvar::new(),
            connections: Mutex::default(),
            runs,
            record,
            crashed_at: Mutex::default(),
        });
        let server = Arc::clone(&this);
        thread::spawn(move || server.accept(listener));
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        let o = &this.opts;
        let entry = format!(
            r#"{{"backend":"{}","address":"{}","zone":"{}","version":"v1","max_concurrent":{},"state":"ready","warmup_left_ms":0,"sequence":1,"born":{born}}}"#,
            o.service, this.addr, o.zone, o.slots
        );
        store.put("servers", &o.id, &entry);
        this.record.line(&format!(
            "server {} up, zone {}, work {:?}",
            o.id, o.zone, o.work
        ));
        Ok(this)
    }

    /// Says `Connection: close` from now on, as a server that is leaving does.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Ends the process of the server: its address refuses connections, and open ones break.
    pub fn end(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        for tcp in self.connections.lock().unwrap().drain(..) {
            let _ = tcp.shutdown(Shutdown::Both);
        }
        self.freed.notify_all();
    }

    fn is_up(&self) -> bool {
        self.is_up.load(Ordering::SeqCst)
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        while self.is_up() {
            let Ok((tcp, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = tcp.set_nonblocking(false);
            if let Ok(handle) = tcp.try_clone() {
                self.connections.lock().unwrap().push(handle);
            }
            let this = Arc::clone(&self);
            thread::spawn(move || this.serve(Connection::new(tcp)));
        }
    }

    fn serve(&self, mut conn: Connection) {
        while let Ok(req) = conn.read() {
            if !self.is_up() {
                return;
            }
            let id = req.header("attempt-id").unwrap_or("").to_owned();
            let mut headers = vec![("Attempt-Id", id.clone())];
            if req
                .header("expect-instance")
                .is_some_and(|i| i != self.opts.id)
            {
                headers.push(("Instance-Id", self.opts.id.clone()));
                if conn
                    .write("HTTP/1.1 421 Misdirected Request", &headers, b"")
                    .is_err()
                {
                    return;
                }
                continue;
            }
            if !self.take_slot() {
                headers.push(("Not-Executed", "1".to_owned()));
                if conn
                    .write("HTTP/1.1 503 Service Unavailable", &headers, b"")
                    .is_err()
                {
                    return;
                }
                continue;
            }
            self.run(&req, &id);
            let load = {
                let load = self.load.lock().unwrap();
                format!("{},{},{}", load.running, load.waiting, self.opts.slots)
            };
            self.free_slot();
            if !self.is_up() {
                return;
            }
            headers.push(("Answer-Stamp", format!("3e1b.07.{}.c9f2a4d1", &id)));
            headers.push(("Server-Load", load));
            let is_leaving = self.is_leaving.load(Ordering::SeqCst);
            if is_leaving {
                headers.push(("Connection", "close".to_owned()));
            }
            let body = format!("answer to {id}");
            if conn
                .write("HTTP/1.1 200 OK", &headers, body.as_bytes())
                .is_err()
                || is_leaving
            {
                return;
            }
        }
    }

    fn run(&self, req: &Message, id: &str) {
        let run = Run {
            at: Instant::now(),
            server: self.opts.id.clone(),
            id: id.to_owned(),
        };
        self.runs.lock().unwrap().push(run);
        if self.opts.deadly.as_ref().is_some_and(|d| d.fits(req)) {
            *self.crashed_at.lock().unwrap() = Some(Instant::now());
            self.record.line(&format!(
                "server {} crashes under attempt {id}",
                self.opts.id
            ));
            self.end();
            return;
        }
        thread::sleep(self.opts.work);
    }

    /// Waits for a slot; returns `false` if the queue is full or the server has ended.
    fn take_slot(&self) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.running >= self.opts.slots && load.waiting >= QUEUE_MAX {
            return false;
        }
        load.waiting += 1;
        while load.running >= self.opts.slots && self.is_up() {
            load = self
                .freed
                .wait_timeout(load, Duration::from_millis(100))
                .unwrap()
                .0;
        }
        load.waiting -= 1;
        load.running += 1;
        true
    }

    fn free_slot(&self) {
        self.load.lock().unwrap().running -= 1;
        self.freed.notify_one();
    }
}
