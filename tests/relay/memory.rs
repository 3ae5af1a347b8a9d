//! Tests that what callers send and do not read does not use up a VM's memory.

use std::net::SocketAddr;
use std::time::Duration;

use gs_rig::site::BackendFaults;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::support::TestSite;
use crate::support::start_site_with;

/// The size of each body, in bytes: the largest that the site's configuration allows.
const BODY_BYTES: usize = 256 << 10;

/// What each body lacks at first, in bytes.
const LACKING_BYTES: usize = 144;

/// The size of each chunk of a chunked body, in bytes.
const CHUNK_BYTES: usize = 256;

/// The number of bodies that are sent at the same time.
const BODIES: usize = 800;

/// The most memory that a VM may use meanwhile, in bytes: under half of what it has by its settings.
const RESIDENT_BYTES_MAX: usize = 120 << 20;

/// How long an answer may take.
const ANSWERED_WITHIN: Duration = Duration::from_secs(9);

/// How the length of a body is given.
#[derive(Clone, Copy, Debug)]
enum Framing {
    ContentLength,
    Chunked,
}

/// Returns the memory that a VM uses, in bytes.
fn resident_bytes(r: &TestSite) -> usize {
    let path = format!("/proc/{}/status", r.site.vms[0].pid());
    let status = std::fs::read_to_string(path).expect("it runs");
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().nth(1));
    kib.and_then(|k| k.parse::<usize>().ok()).expect("a size") << 10
}

fn head(id: &str, framing: Framing, bytes: usize) -> String {
    let length = match framing {
        Framing::ContentLength => format!("content-length: {bytes}"),
        Framing::Chunked => "transfer-encoding: chunked".to_owned(),
    };
    format!(
        "POST /one/{id} HTTP/1.1\r\nhost: site.example\r\nattempt-id: {id}\r\ndeadline-ms: 3000\r\n{length}\r\n\r\n"
    )
}

/// Returns a head and a body without its last [`LACKING_BYTES`], and these.
fn request(id: &str, framing: Framing) -> (Vec<u8>, Vec<u8>) {
    let mut start = head(id, framing, BODY_BYTES).into_bytes();
    let end = match framing {
        Framing::ContentLength => {
            start.resize(start.len() + BODY_BYTES - LACKING_BYTES, b'a');
            vec![b'a'; LACKING_BYTES]
        }
        Framing::Chunked => {
            let chunk = format!("{:x}\r\n{}\r\n", CHUNK_BYTES, "a".repeat(CHUNK_BYTES));
            for _ in 0..(BODY_BYTES - LACKING_BYTES) / CHUNK_BYTES {
                start.extend_from_slice(chunk.as_bytes());
            }
            b"0\r\n\r\n".to_vec()
        }
    };
    (start, end)
}

/// Reads the head of an answer; what was read is empty if the connection ended.
async fn read_answer(tcp: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    while !answer.windows(4).any(|w| w == b"\r\n\r\n") {
        match tcp.read_buf(&mut answer).await {
            Ok(0) | Err(_) => break,
            Ok(_) => {}
        }
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Sends a body that stays incomplete until `complete` is notified, or until it is refused; returns the answer.
async fn send_late(
    addr: SocketAddr,
    id: String,
    framing: Framing,
    mut complete: tokio::sync::watch::Receiver<bool>,
) -> String {
    let (start, end) = request(&id, framing);
    let mut tcp = TcpStream::connect(addr).await.expect("it listens");
    // A refusal may come before all is sent.
    let _ = tcp.write_all(&start).await;
    let refused = tokio::select! {
        answer = read_answer(&mut tcp) => Some(answer),
        _ = complete.wait_for(|c| *c) => None,
    };
    if let Some(answer) = refused {
        return answer;
    }
    let _ = tcp.write_all(&end).await;
    read_answer(&mut tcp).await
}

/// Sends a small request with a body and returns the answer.
async fn send_small(addr: SocketAddr, id: &str) -> String {
    let mut tcp = TcpStream::connect(addr).await.expect("it listens");
    let mut text = head(id, Framing::ContentLength, 1000).into_bytes();
    text.resize(text.len() + 1000, b'a');
    tcp.write_all(&text).await.expect("it is sent");
    read_answer(&mut tcp).await
}

/// Prevents many incomplete bodies from using up a VM's memory, which would end it with all its requests, and from
/// keeping out small requests. What does not fit is refused before its body is complete.
#[rstest::rstest]
#[case::with_a_length(Framing::ContentLength)]
#[case::chunked(Framing::Chunked)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn incomplete_bodies_do_not_use_up_a_vms_memory(#[case] framing: Framing) {
    let r = start_site_with(1).await;
    let addr = r.site.vms[0].plan().callers;
    let (complete, completed) = tokio::sync::watch::channel(false);
    let mut bodies = JoinSet::new();
    for n in 0..BODIES {
        bodies.spawn(send_late(
            addr,
            format!("late{n}"),
            framing,
            completed.clone(),
        ));
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let resident = resident_bytes(&r);
    let small = tokio::time::timeout(ANSWERED_WITHIN, send_small(addr, "small")).await;
    complete.send_replace(true);
    let answers = tokio::time::timeout(ANSWERED_WITHIN, bodies.join_all()).await;
    let answers = answers.expect("every request is answered");
    assert!(resident <= RESIDENT_BYTES_MAX, "{resident} bytes");
    let small = small.expect("an answer");
    assert!(small.starts_with("HTTP/1.1 200"), "{small}");
    let (refused, admitted): (Vec<_>, Vec<_>) =
        answers.iter().partition(|a| a.starts_with("HTTP/1.1 503"));
    assert!(!refused.is_empty(), "none is refused");
    assert!(!admitted.is_empty(), "all are refused: {refused:?}");
    for answer in refused {
        assert!(answer.contains("retry-after: "), "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
    }
    for answer in admitted {
        assert!(answer.starts_with("HTTP/1.1 "), "{answer}");
    }
}

/// The size of each large answer, in bytes.
const ANSWER_BYTES: usize = 3 << 20;

/// The number of large answers that are not read.
const ANSWERS: usize = 100;

/// Sends a request and reads only the first bytes of its answer; returns them and the connection.
async fn start_reading(addr: SocketAddr, id: &str) -> (String, TcpStream) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a size");
    let mut tcp = socket.connect(addr).await.expect("it listens");
    let text = format!(
        "GET /one/{id} HTTP/1.1\r\nhost: site.example\r\nattempt-id: {id}\r\ndeadline-ms: 3000\r\n\r\n"
    );
    tcp.write_all(text.as_bytes()).await.expect("it is sent");
    let mut start = [0; 12];
    let read = tokio::time::timeout(ANSWERED_WITHIN, tcp.read_exact(&mut start)).await;
    read.expect("in time").expect("an answer");
    (String::from_utf8_lossy(&start).into_owned(), tcp)
}

/// Prevents large answers that callers do not read from using up a VM's memory, which would end it with all its
/// requests, and from keeping out small answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_that_are_not_read_do_not_use_up_a_vms_memory() {
    let r = start_site_with(1).await;
    let addr = r.site.vms[0].plan().callers;
    let set_answer_bytes = |answer_bytes| {
        for backend in &r.site.backends {
            backend.set_faults(BackendFaults {
                answer_bytes,
                ..BackendFaults::default()
            });
        }
    };
    set_answer_bytes(Some(ANSWER_BYTES));
    let mut unread = Vec::new();
    for n in 0..ANSWERS {
        unread.push(start_reading(addr, &format!("unread{n}")).await);
    }
    let resident = resident_bytes(&r);
    assert!(resident <= RESIDENT_BYTES_MAX, "{resident} bytes");
    let count = |start: &str| unread.iter().filter(|(s, _)| s == start).count();
    let (answered, failed) = (count("HTTP/1.1 200"), count("HTTP/1.1 502"));
    assert!(answered > 0, "{answered} answered, {failed} failed");
    assert_eq!(answered + failed, ANSWERS);
    set_answer_bytes(None);
    let (small, _) = start_reading(addr, "small").await;
    assert_eq!(small, "HTTP/1.1 200");
    drop(unread);
    let end = tokio::time::Instant::now() + ANSWERED_WITHIN;
    set_answer_bytes(Some(ANSWER_BYTES));
    while start_reading(addr, "after").await.0 != "HTTP/1.1 200" {
        assert!(
            tokio::time::Instant::now() < end,
            "the memory is not returned"
        );
    }
}

/// The number of requests whose answers have no end.
const ENDLESS_ANSWERS: usize = 60;

/// Prevents answers without an end from using up a VM's memory, which would end it with all its requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_without_an_end_do_not_use_up_a_vms_memory() {
    let r = start_site_with(1).await;
    let addr = r.site.vms[0].plan().callers;
    let set_endless = |endless| {
        for backend in &r.site.backends {
            backend.set_faults(BackendFaults {
                endless,
                ..BackendFaults::default()
            });
        }
    };
    set_endless(true);
    let mut answers = JoinSet::new();
    for n in 0..ENDLESS_ANSWERS {
        answers.spawn(async move { start_reading(addr, &format!("endless{n}")).await.0 });
    }
    let mut most = 0;
    while let Some(answer) = answers.join_next().await {
        let answer = answer.expect("an answer");
        assert_ne!(answer, "HTTP/1.1 200");
        most = most.max(resident_bytes(&r));
    }
    assert!(most <= RESIDENT_BYTES_MAX, "{most} bytes");
    set_endless(false);
    let end = tokio::time::Instant::now() + ANSWERED_WITHIN;
    while start_reading(addr, "after").await.0 != "HTTP/1.1 200" {
        assert!(tokio::time::Instant::now() < end, "it serves no longer");
    }
}
