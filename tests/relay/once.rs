//! Requests that may run at most once.

use gs_rig::site::BackendFaults;
use gs_rig::site::CallOutcome;

use crate::support::all;
use crate::support::site;

/// A reader gets two invoices: the server ran the renewal, its connection broke, and the renewal was
/// sent again.
#[tokio::test]
async fn a_request_whose_answer_was_lost_has_run_once() {
    let mut r = site().await;
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
    let answers = r.ask_all(5, &route).await;
    all(&answers, |v| matches!(v, CallOutcome::Failed(502)));
    for a in &answers {
        assert_eq!(r.ran(&a.id), 1, "{a:?}");
    }
}

/// A clerk books a levy again that was booked: the first answer said that nothing had run.
#[tokio::test]
async fn a_not_run_refusal_is_true_and_states_when_to_retry() {
    let mut r = site().await;
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
    let answers = r.ask_all(3, &route).await;
    all(&answers, |v| matches!(v, CallOutcome::NotRun(Some(1..))));
    for a in &answers {
        assert_eq!(r.ran(&a.id), 0, "{a:?}");
    }
}
