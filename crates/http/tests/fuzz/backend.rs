//! Fuzz tests of the connections to backend servers, against a server that replies with arbitrary bytes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use gs_http::ConnectionPools;
use gs_http::ConnectionPoolsOptions;
use gs_http::EventSink;
use gs_query::Dispatch;
use gs_query::Event;
use gs_query::PartReply;
use gs_types::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::TestRunner;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::answer::Framing;
use crate::answer::PART;
use crate::answer::PART_BYTES_MAX;
use crate::answer::ScriptedAnswer;
use crate::answer::answer;
use crate::answer::complete_reply;
use crate::bytes::Corruption;
use crate::bytes::corruption;
use crate::config;
use crate::panics;
use crate::runtime;

/// The number of connections that may be open.
const SHARE: u32 = 8;

/// A reply that takes this long counts as lost.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// The server's answer to each attempt, by its id.
type Scripts = Arc<Mutex<HashMap<String, Script>>>;

/// The bytes of an answer, and whether the server closes the connection after them.
#[derive(Clone, Debug)]
pub struct Script {
    pub bytes: Vec<u8>,
    pub close: bool,
}

async fn serve(scripts: Scripts) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((tcp, _)) = listener.accept().await {
            tokio::spawn(connection(tcp, Arc::clone(&scripts)));
        }
    });
    addr
}

/// Answers the requests on one connection by the scripts; only one is in flight at a time.
async fn connection(mut tcp: TcpStream, scripts: Scripts) {
    let (mut seen, mut buf) = (Vec::new(), [0; 4096]);
    while let Ok(n @ 1..) = tcp.read(&mut buf).await {
        seen.extend_from_slice(&buf[..n]);
        let text = String::from_utf8_lossy(&seen).into_owned();
        // The query is the body, and thus the end of the request.
        let (Some(id), true) = (attempt_of(&text), text.ends_with("\r\n\r\ntrout")) else {
            continue;
        };
        seen.clear();
        let script = scripts.lock().expect("not poisoned").get(id).cloned();
        let script = script.expect("a script for each attempt");
        if tcp.write_all(&script.bytes).await.is_err() || script.close {
            return;
        }
    }
}

fn attempt_of(head: &str) -> Option<&str> {
    head.lines().find_map(|l| l.strip_prefix("x-attempt: "))
}

/// Sends the events to a channel.
struct ChannelSink(mpsc::UnboundedSender<Event>);

impl EventSink for ChannelSink {
    fn on_event(&self, ev: Event) {
        let _ = self.0.send(ev);
    }
}

/// A scripted server and the pools under test.
struct Fixture {
    server: Arc<ServerDecl>,
    scripts: Scripts,
    pool: ConnectionPools,
    rx: mpsc::UnboundedReceiver<Event>,
    next: u64,
}

impl Fixture {
    async fn start() -> Self {
        let scripts = Scripts::default();
        let server = Arc::new(ServerDecl {
            name: "desk-01-a".parse().expect("a name"),
            service: "desk-01".parse().expect("a name"),
            addr: serve(Arc::clone(&scripts)).await,
            data_centre: "hobart-a".parse().expect("a name"),
            slots: Slots(2),
            connections: Connections(25),
        });
        let (tx, rx) = mpsc::unbounded_channel();
        let options = ConnectionPoolsOptions::builder()
            .connect_timeout(HANG_TIMEOUT)
            .part_bytes_max(PART_BYTES_MAX)
            .build();
        let pool = ConnectionPools::new(options, Arc::new(ChannelSink(tx)));
        pool.set_shares(&[(server.name.clone(), Connections(SHARE))]);
        Self {
            server,
            scripts,
            pool,
            rx,
            next: 0,
        }
    }

    /// Dispatches an attempt that the server answers by the script for its id.
    fn dispatch(&mut self, budget: Duration, script: impl FnOnce(&str) -> Script) -> AttemptId {
        self.next += 1;
        let attempt = AttemptId {
            vm: "vm-1".parse().expect("a name"),
            incarnation: Incarnation(1),
            lookup: LookupSeq(self.next),
            shard: ShardId(0),
            attempt: 0,
        };
        let id = attempt.to_string();
        let script = script(&id);
        self.scripts
            .lock()
            .expect("not poisoned")
            .insert(id, script);
        self.pool.dispatch(Dispatch {
            attempt: attempt.clone(),
            server: Arc::clone(&self.server),
            snapshot: SnapshotId(3),
            query: "trout".into(),
            key: None,
            page: 10,
            budget,
            once: false,
            idempotency_key: None,
        });
        attempt
    }

    /// Waits for `n` replies and returns them.
    async fn replies(&mut self, n: usize) -> Vec<(AttemptId, PartReply)> {
        let mut out = Vec::new();
        while out.len() < n {
            let ev = tokio::time::timeout(HANG_TIMEOUT, self.rx.recv()).await;
            let ev = ev.expect("a reply for each attempt");
            if let Event::Reply(id, reply) = ev.expect("the pool lives") {
                out.push((id, reply));
            }
        }
        out
    }

    /// Asserts that valid replies are accepted again after the connections with malformed bytes are used up, and that
    /// no earlier reply is left over.
    async fn assert_keeps_serving(&mut self) {
        let mut last = None;
        for _ in 0..=SHARE {
            let id = self.dispatch(HANG_TIMEOUT, |id| Script {
                bytes: ScriptedAnswer::valid(Framing::Length).bytes(id),
                close: false,
            });
            let (of, reply) = self.replies(1).await.remove(0);
            assert_eq!(of, id, "a second reply: {reply:?}");
            if reply == complete_reply() {
                return;
            }
            last = Some(reply);
        }
        panic!("no valid reply is accepted any more: {last:?}");
    }
}

#[test]
fn an_answer_is_parsed_as_the_protocol_specifies() {
    let rt = runtime();
    let _in = rt.enter();
    let mut b = rt.block_on(Fixture::start());
    let b = std::cell::RefCell::new(&mut b);
    let mut runner = TestRunner::new(config());
    let run = runner.run(&vec(answer(), 16), |answers| {
        let mut b = b.borrow_mut();
        for a in answers {
            let id = b.dispatch(HANG_TIMEOUT, |id| a.script(id));
            let got = rt.block_on(b.replies(1)).remove(0);
            prop_assert_eq!(got, (id, a.expected_reply()), "{:?}", a);
        }
        Ok(())
    });
    run.unwrap_or_else(|e| panic!("{e}\n{runner}"));
    rt.block_on(b.into_inner().assert_keeps_serving());
    assert_eq!(panics(), 0);
}

/// Malformed answers, each with whether it is chunked and whether the server closes the connection after it.
fn batch() -> impl Strategy<Value = Vec<(bool, bool, Corruption)>> {
    vec((any::<bool>(), any::<bool>(), corruption()), 16)
}

/// Returns whether a reply that was accepted as complete is contained in the sent bytes.
fn is_contained(reply: &PartReply, id: &AttemptId, sent: &[u8]) -> bool {
    let PartReply::Whole { part, .. } = reply else {
        return true;
    };
    let text = String::from_utf8_lossy(sent);
    let valid: Part = serde_json::from_str(PART).expect("a part");
    **part == valid && text.contains(" 200") && text.contains(&id.to_string())
}

#[test]
fn any_bytes_from_a_server_end_each_attempt_once() {
    let rt = runtime();
    let _in = rt.enter();
    let mut b = rt.block_on(Fixture::start());
    let b = std::cell::RefCell::new(&mut b);
    let mut runner = TestRunner::new(config());
    let run = runner.run(&batch(), |batch| {
        let mut b = b.borrow_mut();
        let mut sent = HashMap::new();
        for (chunked, close, corruption) in batch {
            let framing = if chunked {
                Framing::Chunked
            } else {
                Framing::Length
            };
            let valid = ScriptedAnswer::valid(framing);
            let mut bytes = Vec::new();
            let id = b.dispatch(Duration::from_millis(150), |id| {
                bytes = corruption.apply_to(&valid.bytes(id));
                Script {
                    bytes: bytes.clone(),
                    close,
                }
            });
            sent.insert(id, bytes);
        }
        for (id, reply) in rt.block_on(b.replies(sent.len())) {
            let bytes = sent.remove(&id);
            prop_assert!(bytes.is_some(), "a second reply for {}: {:?}", id, reply);
            let bytes = bytes.unwrap_or_default();
            prop_assert!(
                is_contained(&reply, &id, &bytes),
                "{:?} from {}",
                reply,
                bytes.escape_ascii()
            );
        }
        Ok(())
    });
    run.unwrap_or_else(|e| panic!("{e}\n{runner}"));
    rt.block_on(b.into_inner().assert_keeps_serving());
    assert_eq!(panics(), 0);
}
