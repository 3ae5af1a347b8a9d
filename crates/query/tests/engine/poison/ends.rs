//! Tests that the end of a server counts against the lookups that it had, and nothing else does.

use std::time::Duration;

use gs_query::Event;
use gs_query::PartReply;
use gs_types::prelude::*;

use crate::world::World;
use crate::world::report;

/// The most servers that a lookup may crash before it is refused.
const CRASHES_MAX: usize = 3;

/// Returns whether the lookup is refused on arrival.
fn is_refused(w: &mut World) -> bool {
    let seq = w.arrive("book");
    w.is_finished(seq) && matches!(w.outcome(seq), Outcome::NotRun(_))
}

/// Prevents a lookup from crashing server after server because its callers leave before each crash.
#[test]
fn a_lookup_whose_callers_leave_before_the_crash_is_quarantined() {
    let mut w = World::new(1, 3);
    let mut crashes = 0;
    for n in 0..20 {
        let seq = w.arrive("book");
        if let Some(d) = w.open.pop() {
            w.sent(&d);
            w.advance(Duration::from_millis(20));
            w.on(Event::Gone(seq));
            w.reply(&d, PartReply::Cancelled);
            w.advance(Duration::from_millis(20));
            w.on(Event::Lost(d.server.name.clone()));
            let mut down = report(d.server.name.clone(), 0, &[]);
            down.incarnation = None;
            w.on(Event::Report(down));
            w.advance(Duration::from_secs(3));
            w.on(Event::Report(report(d.server.name.clone(), 100 + n, &[1])));
            crashes += 1;
        }
        w.advance(Duration::from_millis(100));
    }
    assert!(crashes <= CRASHES_MAX, "{crashes} crashes");
}

/// Prevents a harmless lookup from being refused for half a minute because servers that live reset its connections.
#[test]
fn a_connection_reset_by_a_server_that_lives_is_no_crash() {
    let mut w = World::new(1, 3);
    for _ in 0..4 {
        w.arrive("book");
        while let Some(d) = w.open.pop() {
            w.sent(&d);
            w.reply(&d, PartReply::Broken);
            w.on(Event::Report(report(d.server.name.clone(), 1, &[1])));
        }
        w.advance(Duration::from_millis(100));
    }
    assert!(!is_refused(&mut w));
}
