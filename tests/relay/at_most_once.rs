//! Requests that may run at most once.

use gs_rig::site::BackendFaults;
use gs_rig::site::CallOutcome;

use crate::support::assert_all;
use crate::support::is_right;
use crate::support::start_site;

/// Prevents a second run of an at-most-once request: its server ran it, the connection broke before the answer, and the
/// request was sent to a server again.
#[tokio::test]
async fn a_request_whose_answer_was_lost_has_run_once() {
    let mut r = start_site().await;
    for n in 0..3 {
        let loses = BackendFaults {
            loses: true,
            ..BackendFaults::default()
        };
        r.site
            .backend(&format!("i-desk-{n}"))
            .expect("a server")
            .set_faults(loses);
    }
    let route = r.route("/once/");
    let answers = r.request_all(5, &route).await;
    assert_all(&answers, |outcome| {
        matches!(outcome, CallOutcome::Failed(502))
    });
    for answer in &answers {
        assert_eq!(r.count_runs(&answer.id), 1, "{answer:?}");
    }
}

/// Prevents callers from repeating a request that has run, because its refusal says that nothing ran.
#[tokio::test]
async fn a_not_run_refusal_is_true_and_states_when_to_retry() {
    let mut r = start_site().await;
    for n in 0..3 {
        let sheds = BackendFaults {
            sheds: true,
            ..BackendFaults::default()
        };
        r.site
            .backend(&format!("i-desk-{n}"))
            .expect("a server")
            .set_faults(sheds);
    }
    let route = r.route("/once/");
    let answers = r.request_all(3, &route).await;
    assert_all(&answers, |outcome| {
        matches!(outcome, CallOutcome::NotRun(Some(1..)))
    });
    for answer in &answers {
        assert_eq!(r.count_runs(&answer.id), 0, "{answer:?}");
    }
}

/// Prevents a second run of a request whose server refused it, ran its next attempt, and sent the refusal once more
/// before the answer to that attempt.
#[tokio::test]
async fn a_late_copy_of_a_refusal_is_not_the_answer_to_the_next_attempt() {
    let mut r = start_site().await;
    for n in 0..3 {
        let server = r.site.backend(&format!("i-desk-{n}")).expect("a server");
        server.set_late_copies(true);
        server.set_faults(BackendFaults {
            sheds_first: true,
            ..BackendFaults::default()
        });
    }
    let route = r.route("/once/");
    let answers = r.request_all(4, &route).await;
    for answer in &answers {
        let runs_max = match answer.outcome {
            CallOutcome::NotRun(_) => 0,
            _ => 1,
        };
        let replies = || r.log_lines(&[&format!("event=reply id={} ", answer.id)]);
        assert!(
            r.count_runs(&answer.id) <= runs_max,
            "{answer:?}\n{}",
            replies()
        );
    }
    assert!(
        answers.iter().any(|a| is_right(&a.outcome)),
        "no request was sent to a server again: {answers:?}"
    );
}
