//! Formats the steps of a replay as text.

use std::fmt::Write as _;

use gs_query::Action;
use gs_query::Event;
use gs_query::PartReply;
use gs_trace::Step;
use gs_types::prelude::*;

/// Returns the step with its event and its actions, a line each.
pub(super) fn format_step(step: &Step) -> String {
    let at = humantime::format_duration(step.at);
    let mut s = format!(
        "step {} at {at}: {}",
        step.number,
        format_event(&step.event)
    );
    for a in &step.actions {
        let _ = write!(s, "\n    -> {}", format_action(a));
    }
    s
}

fn format_event(e: &Event) -> String {
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
        Event::Claim(seq, decision) => format!("claim of lookup {seq}: {decision:?}"),
        Event::Sent(id) => format!("{id} is sent"),
        Event::Reply(id, PartReply::Whole { snapshot, part, .. }) => {
            format!(
                "{id} ends: complete part from snapshot {snapshot}, docs [{}]",
                format_docs(&part.hits)
            )
        }
        Event::Reply(id, reply) => format!("{id} ends: {reply:?}"),
        Event::Gone(seq) => format!("the caller of lookup {seq} disconnected"),
        Event::Connection(server, true) => format!("connection to {server} opened"),
        Event::Connection(server, false) => format!("connection to {server} closed"),
        Event::Accepted(server, took) => format!("{server} accepted a connection in {took:?}"),
        Event::Refused(server) => format!("{server} refused a connection"),
        other => format!("{other:?}"),
    }
}

fn format_action(a: &Action) -> String {
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
        Action::Answer(seq, outcome) => format!("lookup {seq}: {}", format_outcome(outcome)),
        Action::Wake(after) => format!("wake after {after:?}"),
        Action::Warm(server, n) => format!("hold {n} connections to {server}"),
        Action::Spread(notice) => format!("send to peers: {notice:?}"),
        Action::Check(server) => format!("check {server}"),
    }
}

fn format_outcome(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Answered(a) => {
            let Coverage { shards, whole, .. } = a.coverage;
            format!(
                "answered from snapshot {}, {whole} of {shards} shards, missing [{}], docs [{}]",
                a.snapshot,
                format_missing(&a.coverage.missing),
                format_docs(&a.hits)
            )
        }
        Outcome::NotRun(r) => format!("not run: {}", format_refusal(r)),
        Outcome::Unknown(r) => format!("unknown: {}", format_refusal(r)),
    }
}

fn format_refusal(r: &Refusal) -> String {
    let retry = match r.retry_after {
        Some(after) => format!("retry after {after:?}"),
        None => "no retry".to_owned(),
    };
    format!(
        "{}, {retry}, missing [{}]",
        r.reason,
        format_missing(&r.missing)
    )
}

fn format_missing(list: &[MissingShard]) -> String {
    let describe = |m: &MissingShard| format!("{} {}", m.shard, m.reason);
    list.iter().map(describe).collect::<Vec<_>>().join(", ")
}

fn format_docs(hits: &[Hit]) -> String {
    let docs: Vec<_> = hits.iter().map(|h| &*h.doc).collect();
    docs.join(", ")
}
