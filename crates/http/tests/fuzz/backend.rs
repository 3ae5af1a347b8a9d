//! The connections to backend servers, against a server that replies anything.

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

use crate::answer::Answer200;
use crate::answer::Framing;
use crate::answer::PART;
use crate::answer::PART_MAX;
use crate::answer::answer;
use crate::answer::whole;
use crate::bytes::Spoil;
use crate::bytes::spoil;
use crate::config;
use crate::panics;
use crate::runtime;

/// The connections that the pool may have open.
const SHARE: u32 = 8;

/// No reply comes near this unless it is lost.
const HANGS: Duration = Duration::from_secs(20);

/// What the server sends in answer to each attempt, by its id.
type Scripts = Arc<Mutex<HashMap<String, Script>>>;

/// The bytes of an answer, and whether the server closes the connection behind them.
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

/// Answers request after request by the scripts, as the pool has only one under way at a time.
async fn connection(mut tcp: TcpStream, scripts: Scripts) {
    let (mut seen, mut buf) = (Vec::new(), [0; 4096]);
    while let Ok(n @ 1..) = tcp.read(&mut buf).await {
        seen.extend_from_slice(&buf[..n]);
        let text = String::from_utf8_lossy(&seen).into_owned();
        // The query is the body, and the last that comes.
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

struct Tell(mpsc::UnboundedSender<Event>);

impl EventSink for Tell {
    fn on_event(&self, ev: Event) {
        let _ = self.0.send(ev);
    }
}

struct Bench {
    server: Arc<ServerDecl>,
    scripts: Scripts,
    pool: ConnectionPools,
    rx: mpsc::UnboundedReceiver<Event>,
    next: u64,
}

impl Bench {
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
            .connect_timeout(HANGS)
            .part_bytes_max(PART_MAX)
            .build();
        let pool = ConnectionPools::new(options, Arc::new(Tell(tx)));
        pool.set_shares(&[(server.name.clone(), Connections(SHARE))]);
        Self {
            server,
            scripts,
            pool,
            rx,
            next: 0,
        }
    }

    /// Hands out an attempt that the server answers by the script for its id.
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

    /// The replies until `n` have come.
    async fn replies(&mut self, n: usize) -> Vec<(AttemptId, PartReply)> {
        let mut out = Vec::new();
        while out.len() < n {
            let ev = tokio::time::timeout(HANGS, self.rx.recv()).await;
            let ev = ev.expect("a reply for each attempt");
            if let Event::Reply(id, reply) = ev.expect("the pool lives") {
                out.push((id, reply));
            }
        }
        out
    }

    /// Good replies are taken again once the connections that were spoilt are used up; no reply is
    /// left over from before.
    async fn assert_serves_on(&mut self) {
        let mut last = None;
        for _ in 0..=SHARE {
            let id = self.dispatch(HANGS, |id| Script {
                bytes: Answer200::good(Framing::Length).bytes(id),
                close: false,
            });
            let (of, reply) = self.replies(1).await.remove(0);
            assert_eq!(of, id, "a second reply: {reply:?}");
            if reply == whole() {
                return;
            }
            last = Some(reply);
        }
        panic!("no good reply is taken any more: {last:?}");
    }
}

#[test]
fn an_answer_means_what_the_protocol_says() {
    let rt = runtime();
    let _in = rt.enter();
    let mut b = rt.block_on(Bench::start());
    let b = std::cell::RefCell::new(&mut b);
    let mut runner = TestRunner::new(config());
    let run = runner.run(&vec(answer(), 16), |answers| {
        let mut b = b.borrow_mut();
        for a in answers {
            let id = b.dispatch(HANGS, |id| a.script(id));
            let got = rt.block_on(b.replies(1)).remove(0);
            prop_assert_eq!(got, (id, a.meaning()), "{:?}", a);
        }
        Ok(())
    });
    run.unwrap_or_else(|e| panic!("{e}\n{runner}"));
    rt.block_on(b.into_inner().assert_serves_on());
    assert_eq!(panics(), 0);
}

/// Spoilt answers, with whether the server closes behind them.
fn batch() -> impl Strategy<Value = Vec<(bool, bool, Spoil)>> {
    vec((any::<bool>(), any::<bool>(), spoil()), 16)
}

/// Whether a reply that was taken for whole was there in the bytes.
fn is_honest(reply: &PartReply, id: &AttemptId, sent: &[u8]) -> bool {
    let PartReply::Whole { part, .. } = reply else {
        return true;
    };
    let text = String::from_utf8_lossy(sent);
    let good: Part = serde_json::from_str(PART).expect("a part");
    **part == good && text.contains(" 200") && text.contains(&id.to_string())
}

#[test]
fn any_bytes_from_a_server_end_each_attempt_once() {
    let rt = runtime();
    let _in = rt.enter();
    let mut b = rt.block_on(Bench::start());
    let b = std::cell::RefCell::new(&mut b);
    let mut runner = TestRunner::new(config());
    let run = runner.run(&batch(), |batch| {
        let mut b = b.borrow_mut();
        let mut sent = HashMap::new();
        for (chunked, close, spoil) in batch {
            let framing = if chunked {
                Framing::Chunked
            } else {
                Framing::Length
            };
            let good = Answer200::good(framing);
            let mut bytes = Vec::new();
            let id = b.dispatch(Duration::from_millis(150), |id| {
                bytes = spoil.of(&good.bytes(id));
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
                is_honest(&reply, &id, &bytes),
                "{:?} from {}",
                reply,
                bytes.escape_ascii()
            );
        }
        Ok(())
    });
    run.unwrap_or_else(|e| panic!("{e}\n{runner}"));
    rt.block_on(b.into_inner().assert_serves_on());
    assert_eq!(panics(), 0);
}
