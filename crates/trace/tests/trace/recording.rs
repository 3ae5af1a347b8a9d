//! What is recorded is read back as it was; what is lost is told.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

use gs_query::Action;
use gs_query::Event;
use gs_trace::Checker;
use gs_trace::Expectations;
use gs_trace::Reader;
use gs_trace::Record;
use gs_trace::Recorder;
use gs_trace::Replay;

use crate::common::Told;
use crate::common::events;
use crate::common::header;

/// A file in memory, whose next write can be held up.
#[derive(Clone)]
struct File {
    buf: Arc<Mutex<Vec<u8>>>,
    gate: Arc<Mutex<Option<Gate>>>,
}

/// Tells that a write has come, and holds it until it may go on.
struct Gate {
    held: mpsc::Sender<()>,
    go: mpsc::Receiver<()>,
}

impl File {
    fn new() -> Self {
        Self {
            buf: Arc::default(),
            gate: Arc::default(),
        }
    }

    fn bytes(&self) -> Vec<u8> {
        self.buf.lock().expect("the file").clone()
    }
}

impl Write for File {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let gate = self.gate.lock().expect("the gate").take();
        if let Some(gate) = gate {
            gate.held.send(()).expect("told");
            gate.go.recv().expect("let go");
        }
        self.buf.lock().expect("the file").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn read(buf: &[u8]) -> Vec<Record> {
    let reader = Reader::new(buf).expect("a trace");
    reader.collect::<Result<_, _>>().expect("records")
}

#[test]
fn events_come_back_with_their_times() {
    let events = events(
        r#"
        [[step]]
        at = "5ms"
        arrive = { seq = 1, lookup = "quote", query = "salmon" }
        [[step]]
        at = "9ms"
        reply = { to = ["1/0/0"], whole = { snapshot = 7, hits = [["a", 3]] } }
        "#,
    );
    let file = File::new();
    let now = Instant::now();
    let mut recorder = Recorder::start(file.clone(), &header(), now).expect("started");
    for (at, event) in &events {
        recorder.record_event(now + *at, event);
    }
    let done = recorder.finish().expect("written");
    let expected = events
        .into_iter()
        .map(|(at, event)| Record::Event { at, event })
        .collect::<Vec<_>>();
    assert_eq!((done.events, done.lost), (2, 0));
    assert_eq!(done.size.0, file.bytes().len() as u64);
    assert_eq!(read(&file.bytes()), expected);
}

/// Records a tick and a wake-up, then replays against a machine that asks for `wakes`.
fn replayed(wakes: [u64; 2]) -> Result<(), String> {
    let wake = |ms| Action::Wake(Duration::from_millis(ms));
    let file = File::new();
    let now = Instant::now();
    let mut recorder = Recorder::start(file.clone(), &header(), now).expect("started");
    for ms in [3, 5] {
        recorder.record_event(now, &Event::Tick);
        recorder.record_action(&wake(ms));
    }
    recorder.record_event(now, &Event::Tick);
    recorder.record_event(now, &Event::Leave);
    recorder.finish().expect("written");
    let machine = Told(wakes.map(|ms| vec![wake(ms)]).into_iter().collect());
    let bytes = file.bytes();
    let reader = Reader::new(bytes.as_slice()).expect("a trace");
    let mut checker = Checker::new(Expectations::default()).exact();
    for step in Replay::new(reader, machine, now) {
        checker
            .on(&step.expect("a step"))
            .map_err(|d| d.to_string())?;
    }
    Ok(())
}

#[test]
fn an_exact_replay_does_just_what_the_recorded_run_did() {
    assert_eq!(replayed([3, 5]), Ok(()));
    assert_eq!(
        replayed([3, 6]),
        Err("step 2 at 0s: its actions differ from the recorded ones".to_owned())
    );
}

#[test]
fn a_slow_disk_loses_events_and_never_holds_the_process_up() {
    // Story: the file stands still for a while, so the queue fills up. The process must not wait;
    // the events that find no room are counted, and the trace says where they are missing.
    let file = File::new();
    let now = Instant::now();
    let mut recorder = Recorder::start(file.clone(), &header(), now).expect("started");
    let (held, is_held) = mpsc::channel();
    let (let_go, go) = mpsc::channel();
    *file.gate.lock().expect("the gate") = Some(Gate { held, go });
    recorder.record_event(now, &Event::Tick);
    is_held.recv().expect("the writer stands still");
    for _ in 0..20_000 {
        recorder.record_event(now, &Event::Tick);
    }
    let_go.send(()).expect("let go");
    let done = recorder.finish().expect("written");
    // The queue holds 8,192 events.
    assert_eq!((done.events, done.lost), (1 + 8192, 20_000 - 8192));
    let gaps: Vec<_> = read(&file.bytes())
        .into_iter()
        .filter(|r| matches!(r, Record::Gap { .. }))
        .collect();
    assert_eq!(gaps, [Record::Gap { lost: 11_808 }]);
}

#[test]
fn a_full_disk_is_told_at_the_end() {
    struct Full(u32);
    impl Write for Full {
        fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
            self.0 += 1;
            match self.0 {
                1 => Ok(buf.len()),
                _ => Err(io::Error::other("no space left")),
            }
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let now = Instant::now();
    let mut recorder = Recorder::start(Full(0), &header(), now).expect("started");
    recorder.record_event(now + Duration::from_millis(1), &Event::Tick);
    let e = recorder.finish().expect_err("refused");
    assert_eq!(e.to_string(), "no space left (step: record)");
}
