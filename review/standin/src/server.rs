//! A stand-in for a backend server.

use std::collections::HashMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::http::message;
use crate::http::read_message;
use crate::http::write;
use crate::random::Random;
use crate::record::Record;

/// How often each request ran, by its id.
pub type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// What a server is like.
#[derive(Clone)]
pub struct ServerOptions {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Requests that wait for a slot.
    pub queue: u32,
    /// How long a run takes.
    pub work: Duration,
    /// The network latency in each direction.
    pub latency: Duration,
}

/// Requests that run and that wait.
#[derive(Default)]
struct Load {
    running: u32,
    waiting: u32,
}

/// A server.
pub struct Server {
    pub opts: ServerOptions,
    pub addr: SocketAddr,
    load: Mutex<Load>,
    freed: Condvar,
    /// The part of its answers of which a copy follows late, in millionths.
    extra_millionths: AtomicU64,
    /// Whether it is silent: it reads, answers and accepts nothing.
    is_dark: AtomicBool,
    /// How often it went dark; a run that began before is lost.
    darkenings: AtomicU64,
    pub answers: AtomicU64,
    pub extras: AtomicU64,
    runs: Runs,
    random: Arc<Random>,
    record: Arc<Record>,
}

impl Server {
    pub fn start(
        opts: ServerOptions,
        runs: Runs,
        random: Arc<Random>,
        record: Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.3:0")?;
        let this = Arc::new(Self {
            addr: listener.local_addr()?,
            opts,
            load: Mutex::default(),
            freed: Condvar::new(),
            extra_millionths: AtomicU64::new(0),
            is_dark: AtomicBool::new(false),
            darkenings: AtomicU64::new(0),
            answers: AtomicU64::new(0),
            extras: AtomicU64::new(0),
            runs,
            random,
            record,
        });
        let server = Arc::clone(&this);
        thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                server.wait_while_dark();
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(tcp));
            }
        });
        Ok(this)
    }

    /// Returns its entry in the store.
    pub fn entry(&self) -> String {
        format!(
            r#"{{"backend":"{}","address":"{}","zone":"{}","version":"v1","max_concurrent":{},"state":"ready","warmup_left_ms":0,"sequence":4,"born":1772390000000}}"#,
            self.opts.service, self.addr, self.opts.zone, self.opts.slots
        )
    }

    /// Sets the part of its answers of which a copy follows late.
    pub fn set_extras(&self, part: f64) {
        let millionths = (part * 1e6) as u64;
        self.extra_millionths.store(millionths, Ordering::Relaxed);
    }

    /// Starts or ends the silence; its connections break when it ends, as after a crash.
    pub fn set_dark(&self, is_dark: bool) {
        if is_dark {
            self.darkenings.fetch_add(1, Ordering::Relaxed);
        }
        self.is_dark.store(is_dark, Ordering::Relaxed);
    }

    fn wait_while_dark(&self) {
        while self.is_dark.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn serve(&self, tcp: TcpStream) {
        let _ = tcp.set_nodelay(true);
        let Ok(mut to) = tcp.try_clone() else { return };
        let mut from = BufReader::new(tcp);
        let mut late_copy: Option<Vec<u8>> = None;
        while let Ok(Some(req)) = read_message(&mut from) {
            thread::sleep(self.opts.latency);
            let epoch = self.darkenings.load(Ordering::Relaxed);
            if self.is_dark.load(Ordering::Relaxed) {
                self.wait_while_dark();
                return;
            }
            // The copy arrives where the answer to this request is expected.
            if let Some(copy) = late_copy.take() {
                self.extras.fetch_add(1, Ordering::Relaxed);
                let id = req.header("attempt-id").unwrap_or("");
                self.record.add(format!(
                    "server {} sends the copy of its last answer, now that {id} has arrived",
                    self.opts.id
                ));
                if write(&mut to, &copy).is_err() {
                    // The request has arrived all the same.
                    self.answer(&req);
                    return;
                }
            }
            let reply = self.answer(&req);
            if self.darkenings.load(Ordering::Relaxed) != epoch {
                self.wait_while_dark();
                return;
            }
            self.answers.fetch_add(1, Ordering::Relaxed);
            let part = self.extra_millionths.load(Ordering::Relaxed);
            if part > 0 && self.random.next() % 1_000_000 < part {
                late_copy = Some(reply.clone());
            }
            thread::sleep(self.opts.latency);
            if write(&mut to, &reply).is_err() {
                return;
            }
        }
    }

    /// Runs a request, or refuses it; returns the answer.
    fn answer(&self, req: &Message) -> Vec<u8> {
        let id = req.header("attempt-id").unwrap_or("").to_owned();
        let expected = req.header("expect-instance");
        if expected.is_some_and(|e| e != self.opts.id) {
            let headers = [("instance-id", self.opts.id.as_str())];
            return message("HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        let deadline = req.header("deadline-ms").and_then(|ms| ms.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(deadline.unwrap_or(60_000));
        if !self.take_slot(deadline) {
            self.record
                .add(format!("server {} refuses {id} as not run", self.opts.id));
            return self.reply("503 Service Unavailable", &id, false, b"");
        }
        *self.runs.lock().unwrap().entry(id.clone()).or_insert(0) += 1;
        self.record
            .add(format!("server {} runs {id}", self.opts.id));
        let work = self.opts.work.mul_f64(0.6 + 0.8 * self.random.fraction());
        thread::sleep(work);
        let reply = self.reply("200 OK", &id, true, b"done");
        self.load.lock().unwrap().running -= 1;
        self.freed.notify_one();
        reply
    }

    /// Takes a slot, after a wait in the queue if it has room; `false` if the request is not run.
    fn take_slot(&self, deadline: Instant) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.running < self.opts.slots && load.waiting == 0 {
            load.running += 1;
            return true;
        }
        if load.waiting >= self.opts.queue {
            return false;
        }
        load.waiting += 1;
        while load.running >= self.opts.slots {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                load.waiting -= 1;
                return false;
            }
            load = self.freed.wait_timeout(load, left).unwrap().0;
        }
        load.waiting -= 1;
        load.running += 1;
        true
    }

    fn reply(&self, status: &str, id: &str, is_run: bool, body: &[u8]) -> Vec<u8> {
        let load = self.load.lock().unwrap();
        let load = format!("{},{},{}", load.running, load.waiting, self.opts.slots);
        let stamp = format!("{:016x}", self.random.next());
        let mark = match is_run {
            true => ("answer-stamp", stamp.as_str()),
            false => ("not-executed", "1"),
        };
        let headers = [("attempt-id", id), ("server-load", &load), mark];
        message(&format!("HTTP/1.1 {status}"), &headers, body)
    }
}
