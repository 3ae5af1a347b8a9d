//! Recorded events are read back unchanged, and lost ones are counted.

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

use crate::common::ScriptedMachine;
use crate::common::events;
use crate::common::header;

/// A file in memory whose next write can be blocked.
#[derive(Clone)]
struct File {
    buf: Arc<Mutex<Vec<u8>>>,
    gate: Arc<Mutex<Option<Gate>>>,
}

/// Signals that a write has started, and blocks it until it is released.
struct Gate {
    blocked: mpsc::Sender<()>,
    released: mpsc::Receiver<()>,
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
            gate.blocked.send(()).expect("signalled");
            gate.released.recv().expect("released");
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
fn recorded_events_are_read_with_their_times() {
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

/// Prevents a trace from lacking the signs by which the end of a server was seen, so that it replays differently.
#[test]
fn checks_of_servers_are_recorded_with_their_results() {
    let server: gs_types::ids::ServerName = "a0".parse().expect("a name");
    let file = File::new();
    let now = Instant::now();
    let mut recorder = Recorder::start(file.clone(), &header(), now).expect("started");
    let events = [
        Event::Accepted(server.clone(), Duration::from_micros(1_234)),
        Event::Refused(server.clone()),
    ];
    let check = Action::Check(server);
    for event in &events {
        recorder.record_event(now, event);
        recorder.record_action(&check);
    }
    recorder.finish().expect("written");
    let bytes = file.bytes();
    let reader = Reader::new(bytes.as_slice()).expect("a trace");
    let machine = ScriptedMachine([vec![check.clone()], vec![check]].into_iter().collect());
    let steps: Vec<_> = Replay::new(reader, machine, now)
        .map(|step| step.expect("a step"))
        .collect();
    assert!(steps.iter().map(|s| &s.event).eq(&events));
    let mut checker = Checker::new(Expectations::default()).exact();
    for step in &steps {
        checker.on(step).expect("the recorded actions");
    }
}

/// Prevents recordings of earlier builds from being read as other events.
#[test]
fn events_keep_their_numbers_in_a_recording() {
    let encode = |event: &Event| postcard::to_stdvec(event).expect("encoded");
    assert_eq!(encode(&Event::Tick), [12]);
    assert_eq!(encode(&Event::Leave), [13]);
    let shut_down = Event::ShutDown(Duration::from_secs(4));
    let bytes = encode(&shut_down);
    assert_eq!(bytes, [14, 4, 0]);
    assert_eq!(postcard::from_bytes(&bytes), Ok(shut_down));
}

/// Records ticks with wake-ups, and replays them exactly with a machine that requests `wakes`.
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
    let machine = ScriptedMachine(wakes.map(|ms| vec![wake(ms)]).into_iter().collect());
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
fn an_exact_replay_repeats_the_recorded_actions() {
    assert_eq!(replayed([3, 5]), Ok(()));
    assert_eq!(
        replayed([3, 6]),
        Err("step 2 at 0s: its actions differ from the recorded ones".to_owned())
    );
}

#[test]
fn a_slow_disk_loses_events_and_never_blocks_the_process() {
    // A write to the file blocks, so the queue fills up. The process must not block; the events
    // that do not fit are counted, and the trace contains a gap where they are missing.
    let file = File::new();
    let now = Instant::now();
    let mut recorder = Recorder::start(file.clone(), &header(), now).expect("started");
    let (blocked, is_blocked) = mpsc::channel();
    let (release, released) = mpsc::channel();
    *file.gate.lock().expect("the gate") = Some(Gate { blocked, released });
    recorder.record_event(now, &Event::Tick);
    is_blocked.recv().expect("the writer is blocked");
    for _ in 0..20_000 {
        recorder.record_event(now, &Event::Tick);
    }
    release.send(()).expect("released");
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
fn a_full_disk_is_reported_at_the_end() {
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
    let e = recorder.finish().expect_err("an error");
    assert_eq!(e.to_string(), "no space left (step: record)");
}
