//! Stand-ins for requesters.

use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::message;
use crate::http::read_message;
use crate::http::write;
use crate::record::Record;

/// How one attempt of a requester ended.
#[derive(Clone)]
pub struct Attempt {
    pub id: String,
    pub route: &'static str,
    pub vm: String,
    /// The status; `None` if there was no answer until the requester left.
    pub status: Option<u16>,
    /// The `Retry-After` of the answer.
    pub retry_after: Option<Duration>,
    /// Seconds since the start at which it was sent.
    pub sent_at: f64,
    /// How long until the answer or until the requester left.
    pub took: Duration,
}

/// All attempts.
pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

/// A requester with one kept connection to one VM.
pub struct Caller {
    pub vm_name: String,
    pub vm: SocketAddr,
    pub record: Arc<Record>,
    pub attempts: Attempts,
    connection: Option<BufReader<TcpStream>>,
}

impl Caller {
    pub fn new(vm_name: &str, vm: SocketAddr, record: &Arc<Record>, attempts: &Attempts) -> Self {
        Self {
            vm_name: vm_name.to_owned(),
            vm,
            record: Arc::clone(record),
            attempts: Arc::clone(attempts),
            connection: None,
        }
    }

    /// Sends a request; waits for its answer until `patience` is over, and leaves then.
    pub fn send(
        &mut self,
        id: &str,
        route: &'static str,
        deadline: Duration,
        patience: Duration,
    ) -> Attempt {
        let sent_at = self.record.now();
        self.record
            .add(format!("caller sends {id} on {route} to {}", self.vm_name));
        let start = Instant::now();
        let answer = self.exchange(id, route, deadline, patience);
        let took = start.elapsed();
        let (status, retry_after) = match &answer {
            Ok((status, retry)) => (Some(*status), *retry),
            Err(_) => (None, None),
        };
        let text = match &answer {
            Ok((status, _)) => format!("answered {status}"),
            Err(e) => format!("without an answer ({})", e.kind()),
        };
        let ms = took.as_millis();
        self.record.add(format!("{id} {text} after {ms} ms"));
        if answer.is_err() {
            self.connection = None;
        }
        let attempt = Attempt {
            id: id.to_owned(),
            route,
            vm: self.vm_name.clone(),
            status,
            retry_after,
            sent_at,
            took,
        };
        self.attempts.lock().unwrap().push(attempt.clone());
        attempt
    }

    fn exchange(
        &mut self,
        id: &str,
        route: &str,
        deadline: Duration,
        patience: Duration,
    ) -> std::io::Result<(u16, Option<Duration>)> {
        if self.connection.is_none() {
            let tcp = TcpStream::connect_timeout(&self.vm, Duration::from_secs(1))?;
            tcp.set_nodelay(true)?;
            self.connection = Some(BufReader::new(tcp));
        }
        let connection = self.connection.as_mut().expect("it was opened above");
        connection.get_ref().set_read_timeout(Some(patience))?;
        let deadline = deadline.as_millis().to_string();
        let headers = [
            ("host", "quill.example"),
            ("attempt-id", id),
            ("deadline-ms", &deadline),
        ];
        let start = format!("POST /{route}/{id} HTTP/1.1");
        write(
            connection.get_mut(),
            &message(&start, &headers, id.as_bytes()),
        )?;
        let answer = read_message(connection)?
            .ok_or_else(|| std::io::Error::from(std::io::ErrorKind::ConnectionReset))?;
        let retry = answer.header("retry-after").and_then(|s| s.parse().ok());
        let is_closing = answer.header("connection") == Some("close");
        if is_closing {
            self.connection = None;
        }
        Ok((answer.status(), retry.map(Duration::from_secs_f64)))
    }
}
