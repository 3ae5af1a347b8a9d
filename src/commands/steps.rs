//! A step of a replay in a few words.

use std::fmt::Write as _;

use gs_query::Action;
use gs_query::Event;
use gs_query::PartReply;
use gs_trace::Step;
use gs_types::prelude::*;

/// The step with its event and its actions, a line each.
pub(super) fn spell(step: &Step) -> String {
    let at = humantime::format_duration(step.at);
    let mut s = format!("step {} at {at}: {}", step.number, event(&step.event));
    for a in &step.actions {
        let _ = write!(s, "\n    -> {}", action(a));
    }
    s
}

fn event(e: &Event) -> String {
    match e {
        Event::Config(c) => format!("config version {}", c.version),
        Event::Group(m) => {
            let held: Vec<_> = m.snapshots.iter().map(|s| s.id.to_string()).collect();
            let (group, revision) = (&m.group, m.revision);
            format!(
                "map of {group}, revision {revision}, snapshots {}",
                held.join(" ")
            )
        }
        Event::Arrive(a) => {
            let LookupRequest { lookup, query, .. } = &a.req;
            format!("lookup {} arrives: {lookup} {query:?}", a.seq)
        }
        Event::Claim(seq, verdict) => format!("claim of lookup {seq}: {verdict:?}"),
        Event::Sent(id) => format!("{id} is sent"),
        Event::Reply(id, PartReply::Whole { snapshot, part, .. }) => {
            format!(
                "{id} ends: whole from snapshot {snapshot}, docs [{}]",
                docs(&part.hits)
            )
        }
        Event::Reply(id, reply) => format!("{id} ends: {reply:?}"),
        Event::Gone(seq) => format!("the caller of lookup {seq} is gone"),
        Event::Connection(server, true) => format!("connection to {server} opened"),
        Event::Connection(server, false) => format!("connection to {server} closed"),
        other => format!("{other:?}"),
    }
}

fn action(a: &Action) -> String {
    match a {
        Action::Dispatch(d) => {
            let (id, server, snapshot) = (&d.attempt, &d.server.name, d.snapshot);
            format!(
                "dispatch {id} to {server}, snapshot {snapshot}, budget {:?}",
                d.budget
            )
        }
        Action::Cancel(id) => format!("cancel {id}"),
        Action::Claim(c) => format!("claim {} for lookup {}", c.key, c.seq),
        Action::Answer(seq, outcome) => format!("lookup {seq}: {}", spell_outcome(outcome)),
        Action::Wake(after) => format!("wake after {after:?}"),
        Action::Warm(server, n) => format!("hold {n} connections to {server}"),
        Action::Spread(sign) => format!("tell peers: {sign:?}"),
    }
}

fn spell_outcome(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Answered(a) => {
            let Coverage { shards, whole, .. } = a.coverage;
            format!(
                "answered from snapshot {}, {whole} of {shards} shards, missing [{}], docs [{}]",
                a.snapshot,
                missing(&a.coverage.missing),
                docs(&a.hits)
            )
        }
        Outcome::NotRun(r) => format!("not run: {}", spell_refusal(r)),
        Outcome::Unknown(r) => format!("unknown: {}", spell_refusal(r)),
    }
}

fn spell_refusal(r: &Refusal) -> String {
    let again = match r.retry_after {
        Some(after) => format!("again after {after:?}"),
        None => "never again".to_owned(),
    };
    format!("{}, {again}, missing [{}]", r.reason, missing(&r.missing))
}

fn missing(list: &[MissingShard]) -> String {
    let spell = |m: &MissingShard| format!("{} {}", m.shard, m.reason);
    list.iter().map(spell).collect::<Vec<_>>().join(", ")
}

fn docs(hits: &[Hit]) -> String {
    let docs: Vec<_> = hits.iter().map(|h| &*h.doc).collect();
    docs.join(", ")
}
