//! Requesters: send requests to the VMs and note their answers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::Record;

/// A request that was sent, with its answer.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub vm: usize,
    pub at: Instant,
    pub took: Duration,
    /// The status; 0 if the connection ended without an answer.
    pub status: u16,
    pub retry_after: Option<f64>,
    pub is_own_answer: bool,
}

/// Sends requests of one route; the tag keeps the ids of two clients apart.
pub struct Client {
    pub host: String,
    pub deadline: Duration,
    tag: u64,
    /// Who sends, in the header `From`.
    pub caller: Option<String>,
    next_id: AtomicU64,
    pub sent: Mutex<Vec<Sent>>,
    record: Arc<Record>,
}

impl Client {
    pub fn new(
        host: &str,
        tag: u64,
        caller: Option<&str>,
        deadline: Duration,
        record: Arc<Record>,
    ) -> Arc<Self> {
        Arc::new(Self {
            host: host.to_owned(),
            deadline,
            tag,
            caller: caller.map(str::to_owned),
            next_id: AtomicU64::new(1),
            sent: Mutex::default(),
            record,
        })
    }

    /// Sends a request on a connection, which is opened first if there is none, and notes its answer.
    ///
    /// `what` is the method and the target.
    pub fn send(
        &self,
        conn: &mut Option<Connection>,
        vm: usize,
        addr: SocketAddr,
        what: &str,
        body: &[u8],
    ) -> Sent {
        let number = self.next_id.fetch_add(1, Ordering::SeqCst);
        let id = format!(
            "{:016x}",
            (self.tag << 32 | number).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        );
        let at = Instant::now();
        let mut exchange = || {
            if conn.is_none() {
                *conn = Some(Connection::connect(
                    addr,
                    self.deadline + Duration::from_secs(2),
                )?);
            }
            let open = conn.as_mut().ok_or(std::io::ErrorKind::NotConnected)?;
            let mut headers = vec![
                ("Host", self.host.clone()),
                ("Attempt-Id", id.clone()),
                ("Deadline-Ms", self.deadline.as_millis().to_string()),
            ];
            if let Some(caller) = &self.caller {
                headers.push(("From", caller.clone()));
            }
            open.write(&format!("{what} HTTP/1.1"), &headers, body)?;
            open.read()
        };
        let answer: std::io::Result<_> = exchange();
        let mut sent = Sent {
            id: id.clone(),
            vm,
            at,
            took: at.elapsed(),
            status: 0,
            retry_after: None,
            is_own_answer: false,
        };
        match answer {
            Ok(res) => {
                sent.status = res.status();
                sent.retry_after = res.header("retry-after").and_then(|v| v.parse().ok());
                sent.is_own_answer = res.body == format!("answer to {id}").as_bytes();
                if res
                    .header("connection")
                    .is_some_and(|v| v.contains("close"))
                {
                    *conn = None;
                }
            }
            Err(_) => *conn = None,
        }
        self.record.line(&format!(
            "request {id} at vm {vm}, sent {:.3}, {what}: {} after {} ms{}",
            self.record.secs(at),
            sent.status,
            sent.took.as_millis(),
            sent.retry_after
                .map_or(String::new(), |s| format!(", retry after {s} s")),
        ));
        self.sent.lock().unwrap().push(sent.clone());
        sent
    }
}

/// Returns the unsafe requests of a VM's callers, each with a target and a body of its own.
pub fn unsafe_requests(
    prefix: &str,
    vm: usize,
) -> impl Fn(usize) -> (String, Vec<u8>) + Send + 'static {
    let prefix = prefix.to_owned();
    move |number| {
        (
            format!("POST {prefix}{vm}-{number}"),
            format!("body {vm}-{number}").into_bytes(),
        )
    }
}

/// Sends requests to one VM at a steady rate on kept connections until told to stop; `what` gives the method with the
/// target, and the body, of each.
pub fn steady_load(
    client: &Arc<Client>,
    stop: &Arc<AtomicBool>,
    vm: usize,
    addr: SocketAddr,
    gap: Duration,
    what: impl Fn(usize) -> (String, Vec<u8>) + Send + 'static,
) -> JoinHandle<()> {
    let (client, stop) = (Arc::clone(client), Arc::clone(stop));
    thread::spawn(move || {
        let mut workers = Vec::new();
        let mut number = 0;
        let idle: Arc<Mutex<Vec<Connection>>> = Arc::default();
        while !stop.load(Ordering::SeqCst) {
            number += 1;
            let (what, body) = what(number);
            let (client, idle) = (Arc::clone(&client), Arc::clone(&idle));
            workers.push(thread::spawn(move || {
                let mut conn = idle.lock().unwrap().pop();
                client.send(&mut conn, vm, addr, &what, &body);
                if let Some(conn) = conn {
                    idle.lock().unwrap().push(conn);
                }
            }));
            thread::sleep(gap);
        }
        for worker in workers {
            let _ = worker.join();
        }
    })
}
